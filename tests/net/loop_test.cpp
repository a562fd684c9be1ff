#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/errors.h"
#include "net/loop.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

namespace {

constexpr milliseconds wait_limit{3000};

} // namespace

TEST_GROUP(loop)
{
    net::loop loop;
    std::vector<int> recorded_numbers;

    std::function<void()> record_number(int number)
    {
        return [this, number] { recorded_numbers.push_back(number); };
    }
    bool wait_for_count(std::size_t count)
    {
        return loop.run_until([&] { return recorded_numbers.size() >= count; }, wait_limit);
    }
};

// Guards against timers that fire early or out of order.
TEST(loop, timers_fire_in_order_and_not_early)
{
    const auto start = loop.now();
    loop.after(milliseconds{30}, record_number(3));
    loop.after(milliseconds{10}, record_number(1));
    loop.after(milliseconds{10}, record_number(2));
    CHECK(wait_for_count(3));
    CHECK(loop.now() - start >= milliseconds{30});
    CHECK((recorded_numbers == std::vector<int>{1, 2, 3}));
}

// Guards against a cancelled timer that still fires, including a repeating timer that is cancelled
// by its own action.
TEST(loop, cancelled_timers_do_not_fire)
{
    net::loop::timer_id repeating = 0;
    const auto cancelled = loop.after(milliseconds{5}, record_number(9));
    loop.cancel(cancelled);
    loop.cancel(cancelled);
    loop.cancel(0);
    repeating = loop.every(milliseconds{2}, [&] {
        recorded_numbers.push_back(1);
        if (recorded_numbers.size() == 3) {
            loop.cancel(repeating);
        }
    });
    CHECK(wait_for_count(3));
    CHECK(!loop.run_until([&] { return recorded_numbers.size() > 3; }, milliseconds{20}));
}

// Guards against a burst of calls for the periods missed while the process was paused.
TEST(loop, missed_periods_are_skipped)
{
    loop.every(milliseconds{1}, record_number(1));
    const auto end = loop.now() + milliseconds{30};
    while (loop.now() < end) {
    }
    CHECK(wait_for_count(1));
    CHECK(recorded_numbers.size() <= 2);
}

// Guards against deferred actions that run only after the next timer or socket event, or that
// prevent the loop from serving its sockets.
TEST(loop, deferred_actions_run_at_the_end_of_the_iteration)
{
    loop.after(milliseconds{0}, [&] {
        loop.defer(record_number(2));
        recorded_numbers.push_back(1);
    });
    const auto start = loop.now();
    CHECK(wait_for_count(2));
    CHECK(loop.now() - start < milliseconds{500});
    CHECK((recorded_numbers == std::vector<int>{1, 2}));
}

// Guards against exceptions that the loop discards.
TEST(loop, exceptions_propagate_out_of_run)
{
    loop.after(milliseconds{0}, [] { throw std::runtime_error("fault"); });
    CHECK_THROWS(std::runtime_error, loop.run());
}

// Guards against a lost stop signal, and against handling only the first one.
TEST(loop, each_signal_calls_the_action)
{
    loop.on_signal(record_number(1));
    CHECK_THROWS(error, net::loop{}.on_signal([] {}));
    std::raise(SIGTERM);
    CHECK(wait_for_count(1));
    std::raise(SIGINT);
    CHECK(wait_for_count(2));
    loop.after(milliseconds{0}, [&] { loop.stop(); });
    loop.run();
}

// Guards against one unexpected exception that ends the process.
TEST(loop, error_hook_keeps_the_loop_running)
{
    std::vector<std::string> errors;
    loop.on_error([&](const std::exception& failure) { errors.emplace_back(failure.what()); });
    loop.defer([] { throw std::runtime_error("deferred"); });
    loop.defer(record_number(1));
    loop.after(milliseconds{1}, [] { throw error("timer"); });
    loop.after(milliseconds{2}, record_number(2));
    int calls = 0;
    const auto repeated = loop.every(milliseconds{5}, [&] {
        ++calls;
        throw std::out_of_range("repeated");
    });
    CHECK(loop.run_until([&] { return calls >= 2; }, wait_limit));
    loop.cancel(repeated);
    LONGS_EQUAL(2, recorded_numbers.size());
    CHECK((std::vector<std::string>(errors.begin(), errors.begin() + 3) ==
           std::vector<std::string>{"deferred", "timer", "repeated"}));
}
