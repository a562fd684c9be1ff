#include "fakes/matrix.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <memory>
#include <thread>

#include "fakes/random_run.h"
#include "fakes/recovery.h"

namespace bulrushgw::fakes {

namespace {

constexpr milliseconds join_time{8000};
/// The step counts as not reached if its trigger does not occur within this time.
constexpr milliseconds trigger_limit{6000};
/// Time after a kill at which the witnesses' promise of 1225 ms is about to expire.
constexpr milliseconds promise_expiring_delay{1200};
/// Period after the recovery in which every range must stay served.
constexpr milliseconds steady_time{3000};

/// Detects the trigger of a step in messages, audit events and store writes. Right after the first
/// detection it calls `action` once, with the host on which to inject the fault.
class trigger_watch {
public:
    trigger_watch(driver& world, step_trigger trigger, std::size_t actor,
                  std::function<void(std::size_t)> action)
        : world_(world), trigger_(trigger), actor_(actor), action_(std::move(action))
    {
        world_.set_filter([this](std::size_t from, std::size_t, const ownership::message& body) {
            on_message(from, body);
            return true;
        });
        world_.on_audit([this](std::size_t host, const ownership::audit_event& event) {
            on_audit(host, event);
        });
    }
    trigger_watch(const trigger_watch&) = delete;
    trigger_watch& operator=(const trigger_watch&) = delete;
    trigger_watch(trigger_watch&&) = delete;
    trigger_watch& operator=(trigger_watch&&) = delete;
    ~trigger_watch()
    {
        world_.set_filter({});
        world_.on_audit({});
    }

    void begin(incarnation_id subject)
    {
        subject_ = subject;
        armed_ = true;
        placements_ = placement_count();
        if (trigger_ == step_trigger::at_once) {
            fire(actor_);
        }
        if (trigger_ == step_trigger::promise_expiring) {
            world_.schedule(world_.now() + promise_expiring_delay, [this] { fire(other_host()); });
        }
    }
    /// Checks the recorded history for triggers that neither messages nor audit events show. Must
    /// be called after each short step of time.
    void check_records()
    {
        if (trigger_ == step_trigger::placement_written && placement_count() > placements_) {
            fire(actor_);
        }
    }
    [[nodiscard]] bool fired() const { return fired_; }

private:
    [[nodiscard]] std::size_t placement_count()
    {
        const auto& events = world_.record().placements;
        return static_cast<std::size_t>(std::count_if(
            events.begin(), events.end(), [](const version_event& event) { return !event.node; }));
    }

    /// The host with the next index after the actor's. In a takeover the actor is dead, so the
    /// fault is injected on this live host.
    [[nodiscard]] std::size_t other_host() const { return (actor_ + 1) % world_.host_count(); }

    void fire(std::size_t host)
    {
        if (armed_ && !fired_) {
            fired_ = true;
            world_.schedule(world_.now(), [this, host] { action_(host); });
        }
    }

    void on_message(std::size_t from, const ownership::message& body)
    {
        if (from != actor_) {
            return;
        }
        if (trigger_ == step_trigger::first_renewal &&
            std::holds_alternative<ownership::renew>(body)) {
            fire(actor_);
        }
        if (trigger_ == step_trigger::holder_seal &&
            std::holds_alternative<ownership::holder_seal>(body)) {
            fire(actor_);
        }
        const auto* items = std::get_if<ownership::gossip>(&body);
        if (items == nullptr) {
            return;
        }
        for (const auto& item : items->items) {
            const auto* adoption = std::get_if<ownership::adoption>(&item);
            if (adoption != nullptr && adoption->member == subject_) {
                const bool drains = !adoption->draining.empty();
                if (trigger_ ==
                    (drains ? step_trigger::draining_published : step_trigger::release_published)) {
                    fire(actor_);
                }
            }
        }
    }

    void on_audit(std::size_t host, const ownership::audit_event& event)
    {
        using ownership::audit_kind;
        const bool other = host != actor_;
        const bool about_actor = event.subject == subject_;
        if (event.kind == audit_kind::grant) {
            if (trigger_ == step_trigger::first_grant && !other) {
                fire(actor_);
            }
            if (trigger_ == step_trigger::successor_granted && other) {
                fire(host);
            }
        }
        else if (event.kind == audit_kind::seal && about_actor) {
            ++seals_;
            if (trigger_ == (seals_ == 1 ? step_trigger::first_seal : step_trigger::second_seal)) {
                fire(host);
            }
        }
        else if (event.kind == audit_kind::end && about_actor && other) {
            if (trigger_ == step_trigger::certificate) {
                fire(host);
            }
        }
        else if (event.kind == audit_kind::takeover && trigger_ == step_trigger::takeover) {
            fire(host);
        }
    }

    driver& world_;
    step_trigger trigger_;
    std::size_t actor_;
    std::function<void(std::size_t)> action_;
    incarnation_id subject_;
    bool armed_ = false;
    bool fired_ = false;
    int seals_ = 0;
    std::size_t placements_ = 0;
};

void perform_action(driver& world, const matrix_step& step, std::size_t actor)
{
    constexpr milliseconds restart_delay{2500};
    switch (step.action) {
    case step_action::none:
        break;
    case step_action::join:
        world.start(actor);
        break;
    case step_action::leave:
        world.leave(actor);
        break;
    case step_action::kill:
        world.kill(actor);
        break;
    case step_action::kill_and_restart:
        world.kill(actor);
        world.run_for(restart_delay);
        world.start(actor);
        break;
    case step_action::accept_rules:
        world.accept_rules(actor, 2);
        break;
    }
}

const char* reason_if_impossible(const matrix_step& step, const matrix_fault& fault)
{
    for (const impossible_cell& cell : impossible_cells()) {
        const bool any_fault = std::strcmp(cell.fault, "*") == 0;
        if (std::strcmp(cell.step, step.name) == 0 &&
            (any_fault || std::strcmp(cell.fault, fault.name) == 0)) {
            return cell.reason;
        }
    }
    return nullptr;
}

/// Checks P7: a planned stop must not cancel the requests that its target was executing. Valid
/// only for runs in which no fault stops requests.
void check_graceful(const history& record, std::vector<violation>& found)
{
    for (const departure& left : record.departures) {
        for (const execution& run : record.executions) {
            if (run.host == left.host && !run.completed && run.begin <= left.at &&
                run.end >= left.at) {
                found.push_back({violation_kind::untrue_not_run, run.end,
                                 "request " + std::to_string(run.request) +
                                     " was cancelled by a planned stop"});
            }
        }
    }
}

} // namespace

cell_result run_cell(const matrix_step& step, const matrix_fault& first, const matrix_fault* second,
                     std::uint64_t seed)
{
    cell_result result;
    result.step = step.name;
    result.seed = seed;
    result.fault =
        second == nullptr ? first.name : std::string{first.name} + " and " + second->name;
    for (const matrix_fault* fault : {&first, second}) {
        const char* reason = fault == nullptr ? nullptr : reason_if_impossible(step, *fault);
        if (reason != nullptr) {
            result.impossible = reason;
            return result;
        }
    }
    driver_settings settings;
    settings.seed = seed;
    settings.drift_at_bound = first.drift_at_bound;
    settings.checks_fences = first.checks_fences;
    // Enough ranges and requests for every host to own ranges and to have requests to drain.
    settings.ranges = 18;
    settings.requests_per_second = 20;
    settings.longest_work = milliseconds{40};
    driver world(settings);
    const std::size_t actor = seed % settings.hosts;
    for (std::size_t host = 0; host < settings.hosts; ++host) {
        if (step.action != step_action::join || host != actor) {
            world.start(host);
        }
    }
    world.run_for(join_time);
    const std::size_t submitting_host = (actor + 2) % settings.hosts;
    world.accept_rules(submitting_host, 1);
    world.run_for(milliseconds{200});

    milliseconds span{0};
    true_time injected{};
    trigger_watch watch(world, step.trigger, actor, [&](std::size_t host) {
        injected = world.now();
        const std::size_t other = (host + 1) % settings.hosts;
        inject(world, {first.kind, host, other, first.span});
        span = first.span;
        if (second != nullptr) {
            inject(world, {second->kind, other, host, second->span});
            span = std::max(span, second->span);
        }
    });
    const ownership::engine* engine = world.engine_of(actor);
    const true_time begin = world.now();
    if (engine != nullptr && step.action != step_action::kill_and_restart) {
        watch.begin(engine->self());
        perform_action(world, step, actor);
    }
    else {
        perform_action(world, step, actor);
        watch.begin(world.engine_of(actor)->self());
    }
    for (milliseconds waited{0}; waited < trigger_limit && !watch.fired(); ++waited) {
        world.run_for(milliseconds{1});
        watch.check_records();
    }
    result.reached = watch.fired();
    world.run_for(milliseconds{1});
    world.run_for(span + loss_bound);
    history& record = world.record();
    // The availability bounds hold for a single loss only. After a second loss, ranges may wait for
    // the lost voters, so only the recovery after the faults is checked.
    const bool is_single_loss = second == nullptr && !(step.includes_loss && first.is_loss);
    const bool is_fault_free_leave =
        second == nullptr && first.kind == fault_kind::none && step.action == step_action::leave;
    if (is_single_loss) {
        record.must_serve.push_back(
            {begin, world.now(), is_fault_free_leave ? planned_bound : loss_bound});
    }
    heal(world);
    world.accept_rules(submitting_host, step.action == step_action::accept_rules ? 3 : 2);
    const std::uint64_t rules_version = step.action == step_action::accept_rules ? 3 : 2;
    const true_time healed = world.now();
    world.run_for(rules_bound);
    for (std::size_t host = 0; host < settings.hosts; ++host) {
        if (world.is_running(host)) {
            record.must_know_rules.push_back(
                {healed + rules_bound, world.engine_of(host)->self(), rules_version});
        }
    }
    if (!wait_until_settled(world)) {
        result.violations.push_back({violation_kind::unavailable, world.now(), "not settled"});
    }
    const true_time settled = world.now();
    world.run_for(steady_time);
    record.must_serve.push_back({settled, world.now(), planned_bound});
    world.finish();
    result.unavailable = longest_gap(record, begin, settled);
    const std::vector<violation> found = check(record);
    result.violations.insert(result.violations.end(), found.begin(), found.end());
    if (is_fault_free_leave) {
        check_graceful(record, result.violations);
    }
    if (!result.reached) {
        result.violations.push_back(
            {violation_kind::unavailable, world.now(), "the step was not reached"});
    }
    return result;
}

std::vector<cell_result> run_matrix(std::uint64_t seed)
{
    struct job {
        const matrix_step* step;
        const matrix_fault* first;
        const matrix_fault* second;
    };
    std::vector<job> jobs;
    for (const matrix_step& step : matrix_steps()) {
        for (const matrix_fault& fault : matrix_faults()) {
            jobs.push_back({&step, &fault, nullptr});
        }
    }
    static constexpr std::array paired_steps{"takeover: first seal", "hand-over: release",
                                             "spread rules"};
    for (const matrix_step& step : matrix_steps()) {
        const bool paired =
            std::any_of(paired_steps.begin(), paired_steps.end(),
                        [&](const char* name) { return std::strcmp(name, step.name) == 0; });
        const auto faults = matrix_faults();
        for (std::size_t i = 1; paired && i < faults.size(); ++i) {
            for (std::size_t j = i + 1; j < faults.size(); ++j) {
                if (faults[i].kind != fault_kind::none && faults[j].kind != fault_kind::none) {
                    jobs.push_back({&step, &faults[i], &faults[j]});
                }
            }
        }
    }
    std::vector<cell_result> results(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    constexpr unsigned max_threads = 10;
    const unsigned thread_count = std::clamp(std::thread::hardware_concurrency(), 1U, max_threads);
    for (unsigned i = 0; i < thread_count; ++i) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < jobs.size(); at = next++) {
                const job& each = jobs[at];
                // With some seeds the actor owns no range, so that no takeover occurs.
                constexpr std::uint64_t max_attempts = 4;
                for (std::uint64_t attempt = 0; attempt < max_attempts; ++attempt) {
                    results[at] = run_cell(*each.step, *each.first, each.second,
                                           seed + at + attempt * jobs.size());
                    if (results[at].reached || !results[at].impossible.empty()) {
                        break;
                    }
                }
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return results;
}

std::string format_line(const cell_result& result)
{
    std::string verdict = result.passed() ? "passed" : "FAILED";
    if (!result.impossible.empty()) {
        verdict = "cannot occur: " + result.impossible;
    }
    return result.step + ", " + result.fault + ", " + verdict + ", " +
           (result.impossible.empty() ? std::to_string(result.unavailable.count()) : "-");
}

} // namespace bulrushgw::fakes
