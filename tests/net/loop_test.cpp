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
    std::vector<int> order;

    std::function<void()> add(int number)
    {
        return [this, number] { order.push_back(number); };
    }
    bool wait_for(std::size_t count)
    {
        return loop.run_until([&] { return order.size() >= count; }, wait_limit);
    }
};

// Guards against timers that fire early or in another order than their times.
TEST(loop, timers_fire_in_order_and_not_early)
{
    const auto start = loop.now();
    loop.after(milliseconds{30}, add(3));
    loop.after(milliseconds{10}, add(1));
    loop.after(milliseconds{10}, add(2));
    CHECK(wait_for(3));
    CHECK(loop.now() - start >= milliseconds{30});
    CHECK((order == std::vector<int>{1, 2, 3}));
}

// Guards against a cancelled timer that still acts, also from within a timer.
TEST(loop, cancelled_timers_do_not_fire)
{
    net::loop::timer_id repeating = 0;
    const auto cancelled = loop.after(milliseconds{5}, add(9));
    loop.cancel(cancelled);
    loop.cancel(cancelled);
    loop.cancel(0);
    repeating = loop.every(milliseconds{2}, [&] {
        order.push_back(1);
        if (order.size() == 3) {
            loop.cancel(repeating);
        }
    });
    CHECK(wait_for(3));
    CHECK(!loop.run_until([&] { return order.size() > 3; }, milliseconds{20}));
}

// Guards against a burst of missed calls after the process was paused.
TEST(loop, missed_periods_are_skipped)
{
    loop.every(milliseconds{1}, add(1));
    const auto end = loop.now() + milliseconds{30};
    while (loop.now() < end) {
    }
    CHECK(wait_for(1));
    CHECK(order.size() <= 2);
}

// Guards against deferred actions that wait for the next timer or socket, or that
// keep the loop from its sockets.
TEST(loop, deferred_actions_run_at_the_end_of_the_turn)
{
    loop.after(milliseconds{0}, [&] {
        loop.defer(add(2));
        order.push_back(1);
    });
    const auto start = loop.now();
    CHECK(wait_for(2));
    CHECK(loop.now() - start < milliseconds{500});
    CHECK((order == std::vector<int>{1, 2}));
}

// Guards against a failure that is swallowed by the loop.
TEST(loop, exceptions_end_the_run)
{
    loop.after(milliseconds{0}, [] { throw std::runtime_error("fault"); });
    CHECK_THROWS(std::runtime_error, loop.run());
}

// Guards against a stop request that is lost, or of which only the first counts.
TEST(loop, each_signal_calls_the_action)
{
    loop.on_signal(add(1));
    CHECK_THROWS(error, net::loop{}.on_signal([] {}));
    std::raise(SIGTERM);
    CHECK(wait_for(1));
    std::raise(SIGINT);
    CHECK(wait_for(2));
    loop.after(milliseconds{0}, [&] { loop.stop(); });
    loop.run();
}

// Guards against one unexpected error that takes the whole process down.
TEST(loop, error_hook_keeps_the_loop_running)
{
    std::vector<std::string> errors;
    loop.on_error([&](const std::exception& failure) { errors.emplace_back(failure.what()); });
    loop.defer([] { throw std::runtime_error("deferred"); });
    loop.defer(add(1));
    loop.after(milliseconds{1}, [] { throw error("timer"); });
    loop.after(milliseconds{2}, add(2));
    int calls = 0;
    const auto repeated = loop.every(milliseconds{5}, [&] {
        ++calls;
        throw std::out_of_range("repeated");
    });
    CHECK(loop.run_until([&] { return calls >= 2; }, wait_limit));
    loop.cancel(repeated);
    LONGS_EQUAL(2, order.size());
    CHECK((std::vector<std::string>(errors.begin(), errors.begin() + 3) ==
           std::vector<std::string>{"deferred", "timer", "repeated"}));
}
