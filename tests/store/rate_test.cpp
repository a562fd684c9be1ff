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

/// Largest number of events in any second, sliding by one tick.
std::size_t peak(const std::vector<std::size_t>& counts)
{
    std::size_t most = 0;
    for (std::size_t i = 0; i + ticks_per_second <= counts.size(); ++i) {
        const auto begin = counts.begin() + static_cast<std::ptrdiff_t>(i);
        most = std::max(most, std::accumulate(begin, begin + ticks_per_second, std::size_t{0}));
    }
    return most;
}

struct crowd {
    time_point now{std::chrono::hours{1}};
    std::vector<client> clients;
    std::vector<std::size_t> writes;
    std::vector<std::size_t> reads;
    std::uint64_t answered = 0;
    bool idle = false;

    explicit crowd(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            clients.emplace_back(client_settings{.nodes = nodes}, 1000 + i, now);
        }
    }

    /// Unless idle, every client always has a write and a read to send.
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
            for (const outgoing& sent : subject.take_sends()) {
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

// Guards against tokens that idle nodes save up: after the loss of an
// availability zone, all nodes want to write in the same second.
TEST(store_rate, idle_nodes_keep_the_budget_when_all_write_at_once)
{
    crowd all(nodes);
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

// Guards against a rush of 18,000 nodes on the store in the minute after it
// returns: the budget is 300 writes/s and 1,500 reads/s for all nodes together.
TEST(store_rate, all_nodes_keep_the_budget_when_the_store_returns)
{
    crowd all(nodes);
    for (std::size_t i = 0; i < 30 * ticks_per_second; ++i) {
        all.step(false);
    }
    for (std::size_t i = 0; i < 90 * ticks_per_second; ++i) {
        all.step(true);
    }
    CHECK(peak(all.writes) < 300);
    CHECK(peak(all.reads) < 1500);
    // The budget is also used: most of the 18,000 nodes get an answer to a write.
    CHECK(all.answered > 60000);
}

// Guards against nodes of a returning availability zone that send at once
// because their buckets start full.
TEST(store_rate, nodes_that_start_together_keep_the_budget)
{
    crowd zone(nodes / 19);
    for (std::size_t i = 0; i < 60 * ticks_per_second; ++i) {
        zone.step(true);
    }
    CHECK(peak(zone.writes) < 300 / 5);
    CHECK(peak(zone.reads) < 1500 / 5);
}

// Guards against a slot that starts anew with each change of the number of
// nodes: a node with a late slot would never send.
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

// Guards against a burst allowance that exceeds the budget of a small
// deployment, and against one so small that a join waits.
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
