#include "dispatch/intake_schedule.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr std::uint64_t upload_bytes = 60000;
constexpr milliseconds round_trip{3};
constexpr milliseconds tick{50};
constexpr milliseconds max_small_delay{150};
constexpr double bytes_per_ms_at_1_mbps = 125;

// A link that carries bodies as the schedule credits them, and small frames in one queue with them.
class link_model {
public:
    explicit link_model(double mbps) : schedule(mbps), bytes_per_ms_(mbps * bytes_per_ms_at_1_mbps)
    {
    }

    bool announce(std::uint64_t sender, std::uint64_t number, std::uint64_t bytes,
                  milliseconds time, std::uint32_t rank = 0)
    {
        const body_key key{incarnation_id{sender}, number};
        if (schedule.announce(now,
                              {key, bytes, rank, milliseconds{50}, now + time / 2, now + time})) {
            ++refused_at_once;
            return false;
        }
        bodies_[key] = {bytes, 0, now + time};
        return true;
    }

    void run(milliseconds time, std::uint64_t small_bytes_per_ms = 0)
    {
        for (const auto end = now + time; now < end; now += milliseconds{1}) {
            step(small_bytes_per_ms);
        }
    }

    void remove(body_key key)
    {
        schedule.remove(key);
        bodies_.erase(key);
    }

    time_point now{std::chrono::hours{1}};
    intake_schedule schedule;
    std::set<std::uint64_t> silent; ///< senders that send nothing
    std::map<body_key, time_point> completed;
    std::size_t refused_at_once = 0;
    std::size_t refused_late = 0;
    std::size_t completed_too_late = 0;
    milliseconds longest_small_delay{0};
    std::uint64_t most_on_the_way = 0;
    std::vector<std::uint64_t> credited_by_ms;

    // Bytes credited within the one second that has the most of them.
    std::uint64_t most_credited_in_one_second() const
    {
        std::uint64_t sum = 0;
        std::uint64_t most = 0;
        for (std::size_t i = 0; i < credited_by_ms.size(); ++i) {
            sum += credited_by_ms[i] - (i >= 1000 ? credited_by_ms[i - 1000] : 0);
            most = std::max(most, sum);
        }
        return most;
    }

private:
    struct sent_body {
        std::uint64_t bytes = 0;
        std::uint64_t sent = 0;
        time_point deadline;
    };
    struct queued_frame {
        body_key key; ///< without a sender: a small frame
        std::uint64_t bytes = 0;
        time_point queued;
    };

    void step(std::uint64_t small_bytes_per_ms)
    {
        if ((now - time_point{}) % tick == milliseconds{0}) {
            schedule.take_stalled(now);
            for (const auto& late : schedule.take_late(now)) {
                ++refused_late;
                bodies_.erase(late.key);
            }
        }
        const auto before = schedule.counters().bytes_credited;
        while (const auto credit = schedule.next_credit(now)) {
            credits_.emplace_back(now + round_trip, *credit);
        }
        credited_by_ms.push_back(schedule.counters().bytes_credited - before);
        most_on_the_way = std::max(most_on_the_way, schedule.counters().bytes_credited -
                                                        schedule.counters().bytes_arrived -
                                                        schedule.counters().bytes_returned);
        for (; !credits_.empty() && credits_.front().first <= now; credits_.pop_front()) {
            send(credits_.front().second);
        }
        if (small_bytes_per_ms > 0) {
            link_.push_back({{}, small_bytes_per_ms, now});
        }
        carry();
    }

    void send(const body_credit& credit)
    {
        const auto found = bodies_.find(credit.key);
        if (found == bodies_.end() || silent.contains(credit.key.first.value)) {
            return;
        }
        auto& body = found->second;
        link_.push_back({credit.key, credit.bytes - body.sent, now});
        body.sent = credit.bytes;
    }

    void carry()
    {
        carried_ = link_.empty() ? 0 : carried_ + bytes_per_ms_;
        while (!link_.empty() && carried_ >= static_cast<double>(link_.front().bytes)) {
            const auto frame = link_.front();
            link_.pop_front();
            carried_ -= static_cast<double>(frame.bytes);
            arrive(frame);
        }
    }

    void arrive(const queued_frame& frame)
    {
        if (!frame.key.first) {
            longest_small_delay = std::max(
                longest_small_delay, std::chrono::duration_cast<milliseconds>(now - frame.queued));
            return;
        }
        schedule.on_arrived(now, frame.key, frame.bytes);
        auto& body = arrived_[frame.key];
        body += frame.bytes;
        const auto found = bodies_.find(frame.key);
        if (found != bodies_.end() && body == found->second.bytes) {
            completed[frame.key] = now;
            completed_too_late += now > found->second.deadline ? 1 : 0;
            remove(frame.key);
        }
    }

    double bytes_per_ms_;
    double carried_ = 0;
    std::map<body_key, sent_body> bodies_;
    std::map<body_key, std::uint64_t> arrived_;
    std::deque<std::pair<time_point, body_credit>> credits_;
    std::deque<queued_frame> link_;
};

} // namespace

TEST_GROUP(intake_schedule){};

// Guards against a queue of bodies on a slow link that delays leases and short calls, and against
// bodies that take more than four fifths of the link: 83 senders with five uploads each, six times
// what the link carries until their deadlines.
TEST(intake_schedule, small_frames_pass_many_uploads_on_a_slow_link)
{
    link_model link(10);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        for (std::uint64_t sender = 1; sender <= 83; ++sender) {
            link.announce(sender, number, upload_bytes, milliseconds{4000});
        }
    }
    link.run(milliseconds{5000}, 200);
    CHECK(link.longest_small_delay < max_small_delay);
    CHECK(link.most_on_the_way <= 62500);
    CHECK(link.most_credited_in_one_second() <= 1000000);
    LONGS_EQUAL(0, link.completed_too_late);
    LONGS_EQUAL(0, link.schedule.waiting());
}

// Guards against uploads that wait for their deadline although it is known at once that they will
// miss it, and against the refusal of uploads that the link carries in time.
TEST(intake_schedule, burst_is_refused_at_once_beyond_what_the_link_carries_in_time)
{
    link_model link(10);
    for (std::uint64_t sender = 1; sender <= 83; ++sender) {
        link.announce(sender, 1, upload_bytes, milliseconds{1500});
    }
    const auto accepted = 83 - link.refused_at_once;
    // 0.75 of 1.25 MB/s for 1.475 s are 23 uploads; four fifths of the link are 24.
    CHECK(accepted >= 22 && accepted <= 24);
    const auto refusal = link.schedule.announce(link.now, {{incarnation_id{100}, 1},
                                                           upload_bytes,
                                                           0,
                                                           milliseconds{50},
                                                           link.now,
                                                           link.now + milliseconds{1000}});
    CHECK(refusal.has_value());
    CHECK(*refusal >= milliseconds{1000} && *refusal <= milliseconds{1500});
    link.run(milliseconds{1600}, 200);
    CHECK(link.completed.size() + 1 >= accepted);
    LONGS_EQUAL(0, link.completed_too_late);
}

// Guards against a window that stays full after senders disappeared with their credit, while other
// bodies wait.
TEST(intake_schedule, credit_of_silent_senders_returns)
{
    link_model link(10);
    link.silent = {1, 2};
    link.announce(1, 1, upload_bytes, milliseconds{8000});
    link.run(milliseconds{100});
    link.announce(2, 1, upload_bytes, milliseconds{9000});
    link.announce(3, 1, upload_bytes, milliseconds{9000}, 1);
    link.run(milliseconds{300});
    LONGS_EQUAL(upload_bytes, link.schedule.counters().bytes_credited);
    link.run(milliseconds{300});
    LONGS_EQUAL(2 * upload_bytes, link.schedule.counters().bytes_credited);
    LONGS_EQUAL(upload_bytes, link.schedule.counters().bytes_returned);
    // Without a stall: the sender disconnected.
    link.remove({incarnation_id{2}, 1});
    link.run(milliseconds{200});
    LONGS_EQUAL(1, link.completed.size());
    LONGS_EQUAL(2 * upload_bytes, link.schedule.counters().bytes_returned);
    // A sender that continues is served again.
    link.schedule.on_arrived(link.now, {incarnation_id{1}, 1}, upload_bytes);
    LONGS_EQUAL(2 * upload_bytes, link.schedule.counters().bytes_arrived);
    link.remove({incarnation_id{1}, 1});
    LONGS_EQUAL(0, link.schedule.wait(link.now).count());
}

// Guards against a sender with many early deadlines that keeps another one waiting, or causes the
// refusal of its body.
TEST(intake_schedule, sender_of_many_bodies_does_not_starve_another)
{
    link_model link(10);
    for (std::uint64_t number = 1; number <= 100; ++number) {
        link.announce(1, number, upload_bytes, milliseconds{5000});
    }
    CHECK(link.announce(2, 1, upload_bytes, milliseconds{5010}));
    link.run(milliseconds{500});
    CHECK((link.completed.contains({incarnation_id{2}, 1})));
    CHECK(link.completed.size() >= 6);
    // Nor does a body that takes the whole link for seconds.
    link_model large(10);
    large.announce(1, 1, 5000000, milliseconds{20000});
    large.run(milliseconds{1000});
    large.announce(2, 1, upload_bytes, milliseconds{20000});
    large.run(milliseconds{500});
    CHECK((large.completed.contains({incarnation_id{2}, 1})));
}

// Guards against a large body that leaves a part of its share of the link unused, because each of
// its pieces waits for a round trip.
TEST(intake_schedule, single_large_body_gets_the_whole_share)
{
    link_model link(100);
    constexpr std::uint64_t bytes = std::uint64_t{64} * 1024 * 1024;
    CHECK(link.announce(1, 1, bytes, milliseconds{20000}));
    link.run(milliseconds{10000}, 2000);
    LONGS_EQUAL(1, link.completed.size());
    const auto took = std::chrono::duration<double>(link.completed.begin()->second -
                                                    (link.now - milliseconds{10000}));
    constexpr double link_bytes_per_s = 12500000;
    CHECK(static_cast<double>(bytes) / took.count() >= 0.7 * link_bytes_per_s);
    CHECK(static_cast<double>(link.most_credited_in_one_second()) <= 0.8 * link_bytes_per_s);
    CHECK(link.longest_small_delay < max_small_delay);
}

// Guards against urgent bodies that wait behind others, and against a body that is kept although
// urgent ones have taken its time.
TEST(intake_schedule, lower_ranks_go_first_and_displace_others)
{
    link_model link(10);
    for (std::uint64_t sender = 1; sender <= 10; ++sender) {
        CHECK(link.announce(sender, 1, upload_bytes, milliseconds{1000}, 1));
    }
    for (std::uint64_t sender = 11; sender <= 20; ++sender) {
        CHECK(link.announce(sender, 1, upload_bytes, milliseconds{1000}, 0));
    }
    link.run(milliseconds{60});
    CHECK(link.refused_late >= 4);
    link.run(milliseconds{1000});
    for (std::uint64_t sender = 11; sender <= 20; ++sender) {
        CHECK((link.completed.contains({incarnation_id{sender}, 1})));
    }
    LONGS_EQUAL(0, link.completed_too_late);
}

// Guards against hosts that learn nothing of a backlog, or of its end.
TEST(intake_schedule, wait_follows_the_backlog)
{
    link_model link(10);
    LONGS_EQUAL(0, link.schedule.wait(link.now).count());
    for (std::uint64_t sender = 1; sender <= 20; ++sender) {
        link.announce(sender, 1, upload_bytes, milliseconds{4000});
    }
    // 1.2 MB at three quarters of 1.25 MB/s.
    const auto wait = link.schedule.wait(link.now);
    CHECK(wait >= milliseconds{1200} && wait <= milliseconds{1400});
    link.run(milliseconds{2000});
    LONGS_EQUAL(0, link.schedule.wait(link.now).count());
}

// Guards against a timer for each millisecond while bodies wait, and against a wait without one.
TEST(intake_schedule, next_attempt_is_when_the_rate_allows_the_next_piece)
{
    intake_schedule tested(10);
    const time_point now{std::chrono::hours{1}};
    const auto announce = [&](std::uint64_t number) {
        tested.announce(now, {{incarnation_id{1}, number},
                              50000,
                              0,
                              milliseconds{0},
                              now + milliseconds{4000},
                              now + milliseconds{4000}});
    };
    announce(1);
    announce(2);
    CHECK(tested.next_credit(now).has_value());
    CHECK_FALSE(tested.next_credit(now).has_value());
    // The window is full: the next credit follows the arrival, not a time.
    CHECK_FALSE(tested.next_attempt(now).has_value());
    tested.on_arrived(now, {incarnation_id{1}, 1}, 50000);
    CHECK_FALSE(tested.next_credit(now).has_value());
    const auto wait = tested.next_attempt(now);
    CHECK(wait.has_value());
    CHECK_FALSE(tested.next_credit(now + *wait - milliseconds{1}).has_value());
    CHECK(tested.next_credit(now + *wait).has_value());
}
