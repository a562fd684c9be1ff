#include "dispatch/warm_up_limiter.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr start_bound bound{12, 1.5, 8};
constexpr std::size_t hard_bound = 26;
constexpr milliseconds second{1000};
/// Requests may arrive closer to each other by this than they were started.
constexpr milliseconds compression{100};

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

/// Starts as many requests as the limiter allows in the given time.
void start_all(warm_up_limiter& limiter, long from, long until, std::vector<time_point>& starts)
{
    for (auto now = limiter.next_start(at(from)); now < at(until); now = limiter.next_start(now)) {
        limiter.on_start(now);
        starts.push_back(now);
    }
}

/// Highest number of arrivals in one second, if they are as compressed as possible.
std::size_t highest_arrivals(const std::vector<time_point>& starts)
{
    std::size_t result = 0;
    for (const auto first : starts) {
        const auto count = std::count_if(starts.begin(), starts.end(), [&](time_point start) {
            return start >= first && start < first + second + compression;
        });
        result = std::max(result, static_cast<std::size_t>(count));
    }
    return result;
}

warm_up_limiter limiter_started_at(long ms, const start_bound& limit = bound)
{
    warm_up_limiter result(at(ms));
    result.set_bound(limit);
    return result;
}

} // namespace

TEST_GROUP(warm_up_limiter){};

// Guards against a cold target that gets more requests in a second than it tolerates, and against
// a limit far below its rate.
TEST(warm_up_limiter, saturated_starts_stay_below_the_hard_bound_and_near_the_rate)
{
    for (const auto& limit :
         {bound, start_bound{12, 1, 0}, start_bound{3, 1, 0}, start_bound{200, 1.2, 100}}) {
        auto limiter = limiter_started_at(0, limit);
        std::vector<time_point> starts;
        start_all(limiter, 5000, 15000, starts);
        const double rate = limit.requests_per_s * limit.overage;
        CHECK(static_cast<double>(highest_arrivals(starts)) <= 0.8 * (rate + limit.slack));
        CHECK(static_cast<double>(starts.size()) >= 10 * 0.6 * rate);
        CHECK(static_cast<double>(starts.size()) <= 10 * rate + limit.slack);
    }
}

// Guards against a request each second to a target that tolerates fewer.
TEST(warm_up_limiter, slow_rates_are_kept)
{
    auto limiter = limiter_started_at(0, {0.25, 1, 0});
    std::vector<time_point> starts;
    start_all(limiter, 5000, 45000, starts);
    LONGS_EQUAL(10, starts.size());
}

// Guards against a restarted process that sends its own full window directly after that of the
// process before it.
TEST(warm_up_limiter, two_processes_together_stay_below_the_hard_bound)
{
    for (long restart = 5000; restart < 6200; restart += 50) {
        auto earlier = limiter_started_at(0);
        std::vector<time_point> starts;
        start_all(earlier, 4900, restart, starts);
        auto later = limiter_started_at(restart);
        start_all(later, restart, restart + 5000, starts);
        CHECK(highest_arrivals(starts) < hard_bound);
    }
}

// Guards against a restarted process that cannot even check the health of its target.
TEST(warm_up_limiter, restarted_process_may_start_a_few_requests)
{
    auto limiter = limiter_started_at(1000);
    std::vector<time_point> starts;
    start_all(limiter, 1000, 2100, starts);
    CHECK(!starts.empty());
    CHECK(starts.front() <= at(1100));
}

// Guards against a full rate to a target that has just become cold.
TEST(warm_up_limiter, starts_at_the_warm_target_count)
{
    auto limiter = limiter_started_at(0);
    limiter.set_cold(false);
    for (long ms = 5000; ms < 5400; ms += 10) {
        CHECK(limiter.next_start(at(ms)) == at(ms));
        limiter.on_start(at(ms));
    }
    CHECK(limiter.is_window_full(at(5400)));
    limiter.set_cold(true);
    CHECK(limiter.next_start(at(5400)) > at(6000));
    CHECK_FALSE(limiter.is_window_full(at(6600)));
}

// Guards against limiting a service whose targets tolerate any rate.
TEST(warm_up_limiter, nothing_is_limited_without_a_bound)
{
    auto limiter = limiter_started_at(0, {});
    for (int i = 0; i < 100; ++i) {
        CHECK(limiter.next_start(at(1)) == at(1));
        limiter.on_start(at(1));
    }
    CHECK_FALSE(limiter.is_limiting());
    CHECK_FALSE(limiter.is_window_full(at(1)));
}
