#include "fakes/driver.h"
#include "fakes/recovery.h"
#include "rules/acceptance.h"

#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

namespace {

/// An operator who submits a rules file at a host and repeats the submission
/// with the same id until its outcome is certain.
struct operator_session {
    driver& world;
    std::size_t host;
    rules::submission input;
    std::optional<rules::submission_result> result;
    std::shared_ptr<rules::submission_process> process;
    true_time asked{};

    void submit()
    {
        asked = world.now();
        process = std::make_shared<rules::submission_process>(input);
        go_on(process->start());
    }

    void go_on(const rules::submission_process::step& step)
    {
        if (const auto* request = std::get_if<store::request>(&step)) {
            world.ask_store(host, *request, [this, current = process](const store::reply& reply) {
                if (current == process) {
                    go_on(process->on_reply(reply));
                }
            });
            return;
        }
        result = std::get<rules::submission_result>(step);
        if (is_accepted()) {
            world.announce_rules(host, {result->record->version, result->record->digest});
        }
    }

    [[nodiscard]] bool is_accepted() const
    {
        return result && (result->status == rules::submission_status::accepted ||
                          result->status == rules::submission_status::repeated);
    }

    [[nodiscard]] bool is_certain() const
    {
        return is_accepted() || (result && result->status == rules::submission_status::lost_race);
    }

    /// Repeats at the next host when the answer is open or does not come.
    void tend()
    {
        constexpr milliseconds patience{12'000};
        if (!is_certain() && (result || world.now() - asked > patience)) {
            result.reset();
            host = (host + 1) % world.host_count();
            submit();
        }
    }
};

operator_session session_of(driver& world, std::size_t host, const std::string& name)
{
    const std::string text = "service ladder-front keyed ranges=64 deadline=800ms    # " + name +
                             ": standings before fixture nights\n";
    return {world, host, {"submission-" + std::to_string(host), 0, name, "now", text}, {}, {}, {}};
}

void race(store_mode mode, bool kill_first)
{
    driver world{driver_settings{}};
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.start(host);
    }
    world.run_for(milliseconds{8000});
    operator_session first = session_of(world, 0, "Amina Otieno");
    operator_session second = session_of(world, 3, "Brian Kiptoo");
    world.set_store(mode);
    first.submit();
    second.submit();
    if (kill_first) {
        world.run_for(milliseconds{5});
        world.kill(0);
    }
    constexpr int store_fault_seconds = 4;
    constexpr int most_seconds = 60;
    for (int second_count = 0;
         second_count < most_seconds && !(first.is_certain() && second.is_certain());
         ++second_count) {
        world.run_for(milliseconds{1000});
        if (second_count == store_fault_seconds) {
            world.set_store(store_mode::up);
        }
        first.tend();
        second.tend();
    }
    CHECK(first.is_certain());
    CHECK(second.is_certain());
    CHECK(first.is_accepted() != second.is_accepted());
    world.set_store(store_mode::up);
    world.run_for(rules_bound);
    history& record = world.record();
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (world.is_running(host)) {
            record.must_know_rules.push_back({world.now(), world.engine_of(host)->self(), 1});
        }
    }
    for (const violation& found : check(world.finish())) {
        FAIL((to_string(found.kind) + ": " + found.text).c_str());
    }
}

} // namespace

// Guards against two accepted submissions of one version, an accepted one that
// is lost, and a version that does not reach every node (P8).
TEST_GROUP(rules_submission){};

TEST(rules_submission, operators_race)
{
    race(store_mode::up, false);
}

TEST(rules_submission, operators_race_while_the_store_is_down)
{
    race(store_mode::down, false);
}

TEST(rules_submission, operators_race_while_the_store_is_slow)
{
    race(store_mode::slow, false);
}

TEST(rules_submission, operators_race_while_store_answers_are_lost)
{
    race(store_mode::answers_lost, false);
}

TEST(rules_submission, process_of_one_operator_is_killed)
{
    race(store_mode::up, true);
    race(store_mode::slow, true);
    race(store_mode::answers_lost, true);
}
