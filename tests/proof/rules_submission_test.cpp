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

/// An operator who submits a rules file to a host and repeats the submission with the same id until
/// its outcome is known.
struct operator_session {
    driver& world;
    std::size_t host;
    rules::submission input;
    std::optional<rules::submission_result> result;
    std::shared_ptr<rules::submission_process> process;
    true_time submitted_at{};

    void submit()
    {
        submitted_at = world.now();
        process = std::make_shared<rules::submission_process>(input);
        take_step(process->start());
    }

    void take_step(const rules::submission_process::step& step)
    {
        if (const auto* request = std::get_if<store::request>(&step)) {
            world.ask_store(host, *request, [this, current = process](const store::reply& reply) {
                if (current == process) {
                    take_step(process->on_reply(reply));
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

    [[nodiscard]] bool is_outcome_known() const
    {
        return is_accepted() || (result && result->status == rules::submission_status::lost_race);
    }

    /// Repeats the submission at the next host if its outcome is unknown or no result came in time.
    void retry_if_unknown()
    {
        constexpr milliseconds result_timeout{12'000};
        if (!is_outcome_known() && (result || world.now() - submitted_at > result_timeout)) {
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

void run_race(store_mode mode, bool kill_first)
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
    constexpr int max_seconds = 60;
    for (int elapsed_seconds = 0;
         elapsed_seconds < max_seconds && !(first.is_outcome_known() && second.is_outcome_known());
         ++elapsed_seconds) {
        world.run_for(milliseconds{1000});
        if (elapsed_seconds == store_fault_seconds) {
            world.set_store(store_mode::up);
        }
        first.retry_if_unknown();
        second.retry_if_unknown();
    }
    CHECK(first.is_outcome_known());
    CHECK(second.is_outcome_known());
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

// Guards against two accepted submissions with the same version, the loss of an accepted
// submission, and a version that does not reach every node in time (P8).
TEST_GROUP(rules_submission){};

TEST(rules_submission, operators_race)
{
    run_race(store_mode::up, false);
}

TEST(rules_submission, operators_race_while_the_store_is_down)
{
    run_race(store_mode::down, false);
}

TEST(rules_submission, operators_race_while_the_store_is_slow)
{
    run_race(store_mode::slow, false);
}

TEST(rules_submission, operators_race_while_store_answers_are_lost)
{
    run_race(store_mode::answers_lost, false);
}

TEST(rules_submission, process_of_one_operator_is_killed)
{
    run_race(store_mode::up, true);
    run_race(store_mode::slow, true);
    run_race(store_mode::answers_lost, true);
}
