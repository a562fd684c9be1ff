#include "tests/assignment/balance_trial.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;
using namespace bulrushgw::assignment::test;

namespace {

/// Figures of several seeds together. With the environment variable `BALANCE_FIGURES` they are
/// printed, and more seeds are run.
struct trial_summary {
    trial_figures start;                  ///< first 2 s of traffic
    trial_figures later;                  ///< the 8 s after that
    trial_figures steady;                 ///< the 10 s after that
    trial_figures join;                   ///< first 4 s after further targets joined
    trial_figures joined;                 ///< the 4 s after that
    trial_figures even;                   ///< the 10 s after that
    std::vector<milliseconds> half_share; ///< sorted, see `balance_trial::times_to_half_share`
};

bool is_printing()
{
    return std::getenv("BALANCE_FIGURES") != nullptr;
}

trial_summary run_trials()
{
    const std::uint64_t seeds = is_printing() ? 20 : 3;
    trial_summary result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        balance_trial trial(seed);
        const auto run = [&](milliseconds time, trial_figures& figures) {
            trial.run(time);
            figures += trial.take_figures();
        };
        trial.run(milliseconds{3000});
        trial.start_traffic();
        run(milliseconds{2000}, result.start);
        run(milliseconds{8000}, result.later);
        run(milliseconds{10000}, result.steady);
        trial.join();
        run(milliseconds{4000}, result.join);
        run(milliseconds{4000}, result.joined);
        const auto times = trial.times_to_half_share();
        result.half_share.insert(result.half_share.end(), times.begin(), times.end());
        run(milliseconds{10000}, result.even);
    }
    std::sort(result.half_share.begin(), result.half_share.end());
    return result;
}

milliseconds part(const std::vector<milliseconds>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void print(const trial_summary& result)
{
    std::printf("\nfirst 2 s       %s\nnext 8 s        %s\nnext 10 s       %s\nafter join 4 s  %s\n"
                "next 4 s        %s\nnext 10 s       %s\nhalf of the share: median %ld ms, 95 %% "
                "%ld ms, longest %ld ms\n",
                result.start.text().c_str(), result.later.text().c_str(),
                result.steady.text().c_str(), result.join.text().c_str(),
                result.joined.text().c_str(), result.even.text().c_str(),
                static_cast<long>(part(result.half_share, 0.5).count()),
                static_cast<long>(part(result.half_share, 0.95).count()),
                static_cast<long>(part(result.half_share, 1).count()));
}

} // namespace

TEST_GROUP(key_balance){};

// Guards against a placement that follows the load too slowly: targets stay full while others have
// room, and targets that have just joined wait for keys.
TEST(key_balance, load_is_even_within_seconds)
{
    const auto result = run_trials();
    if (is_printing()) {
        print(result);
    }
    CHECK(result.joined.full_share() < 0.01);
    CHECK(result.even.full_share() < 0.005);
    CHECK(part(result.half_share, 0.9) <= milliseconds{2000});
}

// Guards against keys that move back and forth although neither loads nor speeds change, and
// against moves that wait for the longest of many runs.
TEST(key_balance, few_keys_move_under_a_steady_load)
{
    const auto result = run_trials();
    // One and a half times the share that moved each second with moves bounded by number.
    CHECK(result.steady.moved_per_s() < 0.053);
    CHECK(result.steady.keys_returned < result.steady.keys_moved / 10);
    // Half of the time after which a request for a moving key is refused.
    CHECK(result.join.mean_move_ms() < 475);
}

// Guards against moves of a key that no target can serve: while it moves, all its requests wait,
// and its next target is full as well.
TEST(key_balance, hot_key_rarely_moves)
{
    constexpr std::uint32_t hot_key = 30001;
    const std::uint64_t seeds = is_printing() ? 20 : 3;
    trial_figures figures;
    std::uint64_t moves_of_key = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        balance_trial trial(seed);
        trial.run(milliseconds{3000});
        trial.start_traffic();
        trial.run(milliseconds{10000});
        trial.take_figures();
        trial.set_hot_key(hot_key, 0.2);
        auto owner = trial.owner_of(hot_key);
        for (int i = 0; i < 500; ++i) {
            trial.run(milliseconds{10});
            moves_of_key +=
                owner != trial.owner_of(hot_key) && owner != balance_trial::no_owner ? 1 : 0;
            owner = trial.owner_of(hot_key);
        }
        figures += trial.take_figures();
    }
    if (is_printing()) {
        std::printf("\nhot key: %.2f moves, refused in all %.2f %%, %s\n",
                    static_cast<double>(moves_of_key) / static_cast<double>(seeds),
                    100.0 * static_cast<double>(figures.found_full + figures.refused_moving) /
                        static_cast<double>(figures.requests),
                    figures.text().c_str());
    }
    CHECK(moves_of_key <= seeds);
}
