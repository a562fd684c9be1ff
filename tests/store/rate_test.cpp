#include "store/client.h"

#include <algorithm>
#include <deque>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::store;

namespace {

constexpr std::size_t nodes = 18000;
constexpr milliseconds tick{100};
constexpr std::size_t ticks_per_second = 10;

/// Maximum number of events within any second; the window slides by one tick.
std::size_t peak(const std::vector<std::size_t>& counts)
{
    std::size_t largest = 0;
    for (std::size_t i = 0; i + ticks_per_second <= counts.size(); ++i) {
        const auto begin = counts.begin() + static_cast<std::ptrdiff_t>(i);
        largest =
            std::max(largest, std::accumulate(begin, begin + ticks_per_second, std::size_t{0}));
    }
    return largest;
}

struct node_fleet {
    time_point now{std::chrono::hours{1}};
    std::vector<client> clients;
    std::vector<std::size_t> writes;
    std::vector<std::size_t> reads;
    std::uint64_t answered = 0;
    bool idle = false;

    explicit node_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            clients.emplace_back(client_settings{.nodes = nodes}, 1000 + i, now);
        }
    }

    /// Unless `idle`, submits a write and a read when fewer than two requests are pending.
    void keep_busy(client& subject)
    {
        if (!idle && subject.pending() < 2) {
            const auto count = [this](const reply& result) {
                answered += result.result == status::ok ? 1 : 0;
            };
            subject.submit(now, transact{{}, {{"k", "1", false}}}, priority::urgent, count);
            subject.submit(now, read_row{"k"}, priority::urgent, count);
        }
    }

    void step(bool store_up)
    {
        writes.push_back(0);
        reads.push_back(0);
        for (client& subject : clients) {
            keep_busy(subject);
            subject.on_tick(now);
            for (const outgoing& sent : subject.take_messages()) {
                const bool is_write = sent.message.method == "POST";
                ++(is_write ? writes : reads).back();
                if (!store_up) {
                    subject.on_not_sent(now, sent.id);
                }
                else if (is_write) {
                    subject.on_answer(now, sent.id, 200, R"({"versions":{"k":1}})");
                }
                else {
                    subject.on_answer(now, sent.id, 200, R"({"key":"k","version":1,"value":"1"})");
                }
            }
        }
        now += tick;
    }
};

} // namespace

TEST_GROUP(store_rate){};

// Guards against a burst of tokens that accumulated on idle nodes: after the loss of an
// availability zone, all nodes write in the same second.
TEST(store_rate, simultaneous_writes_of_idle_nodes_stay_within_the_budget)
{
    node_fleet all(nodes);
    all.idle = true;
    for (std::size_t i = 0; i < 100 * ticks_per_second; ++i) {
        all.step(true);
    }
    all.idle = false;
    for (std::size_t i = 0; i < 10 * ticks_per_second; ++i) {
        all.step(true);
    }
    CHECK(peak(all.writes) < 300);
    CHECK(peak(all.reads) < 1500);
}

// Guards against an overload by 18,000 nodes in the minute after the store becomes available again:
// the budget is 300 writes/s and 1,500 reads/s for all nodes together.
TEST(store_rate, all_nodes_stay_within_the_budget_after_a_store_outage)
{
    node_fleet all(nodes);
    for (std::size_t i = 0; i < 30 * ticks_per_second; ++i) {
        all.step(false);
    }
    for (std::size_t i = 0; i < 90 * ticks_per_second; ++i) {
        all.step(true);
    }
    CHECK(peak(all.writes) < 300);
    CHECK(peak(all.reads) < 1500);
    // The nodes must also use the budget: this is more than three answers per node on average, with
    // reads and writes together.
    CHECK(all.answered > 60000);
}

// Guards against a burst when an availability zone comes back and the token buckets of its nodes
// start full.
TEST(store_rate, nodes_that_start_together_stay_within_the_budget)
{
    node_fleet zone(nodes / 19);
    for (std::size_t i = 0; i < 60 * ticks_per_second; ++i) {
        zone.step(true);
    }
    CHECK(peak(zone.writes) < 300 / 5);
    CHECK(peak(zone.reads) < 1500 / 5);
}

// Guards against a change of the number of nodes that starts a new period for the send slots: if
// the number changes often, a node with a slot late in the period would never send.
TEST(store_rate, frequent_membership_changes_do_not_starve_a_node)
{
    time_point now{std::chrono::hours{1}};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        rate_limit limit(300, nodes, seed, now);
        int taken = 0;
        for (int i = 0; i < 3000; ++i) {
            now += tick;
            limit.set_nodes(now, nodes + static_cast<std::size_t>(i % 2));
            taken += limit.take(now) ? 1 : 0;
        }
        CHECK(taken >= 3);
        CHECK(taken <= 4);
    }
}

// Guards against a burst that exceeds the budget in a small deployment, and against a rate so low
// that a node has to wait when it joins.
TEST(store_rate, ten_nodes_share_the_budget)
{
    const time_point start{std::chrono::hours{1}};
    std::size_t taken = 0;
    std::size_t at_once = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        rate_limit limit(300, 10, seed, start);
        time_point now = start + std::chrono::seconds{10};
        while (limit.take(now)) {
            ++at_once;
        }
        for (int i = 0; i < 100; ++i) {
            now += milliseconds{10};
            taken += limit.take(now) ? 1 : 0;
        }
    }
    CHECK(at_once <= 45);
    CHECK(at_once + taken < 300);
    CHECK(taken > 150);
}
