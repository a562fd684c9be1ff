#include "bench/dispatch_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <stdexcept>
#include <tuple>
#include <vector>

#include "bench/dispatch_parties.h"
#include "dispatch/retry_allowance.h"
#include "dispatch/slot_queue.h"
#include "dispatch/target_picker.h"
#include "dispatch/time_spent.h"

namespace bulrushgw::bench {

namespace {

constexpr milliseconds hop_delay{1};
/// As in `sidecar::entry`.
constexpr milliseconds default_retry_after{150};
constexpr std::uint32_t max_tries = 4;
constexpr milliseconds tick_interval{50};
/// Clients wait for at most this part of the time that they have left before they return.
constexpr int retry_wait_divisor = 3;
constexpr std::uint32_t availability_zones = 3;
constexpr std::array<std::string_view, availability_zones> zone_names{"a", "b", "c"};

using callback = std::function<void()>;

class model {
public:
    model(const load_scenario& scenario, const decision_policy& policy, std::uint64_t seed);
    load_figures run();

private:
    struct event {
        time_point at;
        std::uint64_t order;
        callback action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void after(boot_clock::duration delay, callback action);
    [[nodiscard]] double uniform();
    [[nodiscard]] const load_kind& kind_of(const std::string& name) const;
    [[nodiscard]] double strength(target_fault kind, const model_target& target) const;
    /// Time until the link of the target's host transfers again.
    [[nodiscard]] boot_clock::duration silence_left(const model_target& target) const;

    // Clients.
    void schedule_arrival(const load_kind& kind);
    void send(const load_kind& kind, std::size_t entry, time_point first_sent, time_point deadline,
              int returns, outcome_callback on_call_end);
    void end(const request_ptr& request, bool answered, std::optional<milliseconds> retry_after);

    // Entry nodes.
    void dispatch(const request_ptr& request);
    void on_refusal(const request_ptr& request, model_target& target, bool reached_target,
                    milliseconds retry_after);

    void report_intake(const request_ptr& request, const model_target& target);

    // Targets.
    void receive(const request_ptr& request, model_target& target);
    void admit(const request_ptr& request, model_target& target);
    void apply(model_target& target, const dispatch::slot_decisions& decisions);
    void start(model_target& target, dispatch::ticket id);
    void call(model_target& target, dispatch::ticket id, const nested_call& wanted, int done,
              milliseconds rest);
    void finish(model_target& target, dispatch::ticket id, bool answered);
    void on_reply(const request_ptr& request, const model_target& target, bool answered, int load);
    void tick();

    const load_scenario& scenario_;
    decision_policy policy_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    time_point begin_ = now_;
    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    dispatch::ticket next_ticket_ = 1;
    std::vector<entry_node> entries_;
    std::vector<std::unique_ptr<model_target>> targets_;
    load_figures figures_;
    silence_counts silences_;
};

model::model(const load_scenario& scenario, const decision_policy& policy, std::uint64_t seed)
    : scenario_(scenario), policy_(policy), random_(seed), silences_(scenario)
{
    for (const auto& service : scenario.services) {
        for (std::size_t i = 0; i < service.speeds.size(); ++i) {
            auto target = std::make_unique<model_target>();
            target->service = &service;
            target->index = i;
            target->zone = targets_.size() % availability_zones;
            target->node = incarnation_id{targets_.size() + 1};
            target->queue = dispatch::slot_queue(service.slots, policy.queue);
            if (!service.link_mbps.empty()) {
                target->link = body_link(service.link_mbps.at(i));
            }
            targets_.push_back(std::move(target));
        }
    }
    const std::size_t entries = scenario.entries > 0 ? scenario.entries : targets_.size();
    for (std::size_t i = 0; i < entries; ++i) {
        entry_node entry;
        entry.zone = i % availability_zones;
        entry.picker = dispatch::target_picker(policy.picks);
        entries_.push_back(std::move(entry));
    }
}

void model::after(boot_clock::duration delay, callback action)
{
    events_.push({now_ + delay, next_order_++, std::move(action)});
}

double model::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

const load_kind& model::kind_of(const std::string& name) const
{
    const auto found = std::find_if(scenario_.kinds.begin(), scenario_.kinds.end(),
                                    [&](const auto& kind) { return kind.name == name; });
    if (found == scenario_.kinds.end()) {
        throw std::invalid_argument("scenario " + scenario_.name + " has no kind " + name);
    }
    return *found;
}

double model::strength(target_fault kind, const model_target& target) const
{
    return fault_strength(scenario_, kind, target.service->name, target.index, now_ - begin_);
}

boot_clock::duration model::silence_left(const model_target& target) const
{
    return bench::silence_left(scenario_, target.service->name, target.index, now_ - begin_);
}

void model::schedule_arrival(const load_kind& kind)
{
    constexpr double ms_per_s = 1000;
    std::exponential_distribution<double> gap_ms(kind.per_s / ms_per_s);
    after(std::chrono::microseconds{std::llround(gap_ms(random_) * ms_per_s)}, [this, &kind] {
        if (now_ < begin_ + scenario_.length) {
            ++figures_.kinds[kind.name].asked;
            figures_.worth_owed += kind.worth;
            send(kind, random_() % entries_.size(), now_, now_ + kind.deadline, 0, {});
            schedule_arrival(kind);
        }
    });
}

void model::send(const load_kind& kind, std::size_t entry, time_point first_sent,
                 time_point deadline, int returns, outcome_callback on_call_end)
{
    auto request = std::make_shared<request_state>();
    request->kind = &kind;
    request->entry = entry;
    request->first_sent = first_sent;
    request->deadline = deadline;
    request->returns = returns;
    request->body_bytes = random_body_bytes(kind, random_);
    request->on_call_end = std::move(on_call_end);
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - now_);
    const auto observed = entries_[entry].spent.observe(kind.name, left);
    const auto spent = policy_.uses_time_spent ? observed : milliseconds{0};
    request->aim = now_ + std::clamp(kind.aim - spent, milliseconds{0}, left);
    entries_[entry].allowances[kind.service].on_request(now_);
    after(left, [this, request] {
        if (std::exchange(request->in_flight, false)) {
            auto& picker = entries_[request->entry].picker;
            picker.on_overdue(now_, sent_of(*request));
            picker.on_cancelled(now_, sent_of(*request));
        }
        end(request, false, std::nullopt);
    });
    dispatch(request);
}

void model::end(const request_ptr& request, bool answered, std::optional<milliseconds> retry_after)
{
    if (std::exchange(request->ended, true)) {
        return;
    }
    if (request->on_call_end) {
        request->on_call_end(answered);
        return;
    }
    const auto& kind = *request->kind;
    auto& counts = figures_.kinds[kind.name];
    auto& zone = figures_.zones[entries_[request->entry].zone];
    ++zone.ended;
    const auto left = std::chrono::duration_cast<milliseconds>(request->deadline - now_);
    if (answered) {
        const bool in_aim = now_ <= request->first_sent + kind.aim;
        zone.answered_in_aim += in_aim ? 1 : 0;
        ++(in_aim ? counts.in_aim : counts.late);
        figures_.worth_earned += kind.worth * (in_aim ? 1 : kind.late_worth);
    }
    else if (retry_after && request->returns < kind.client_retries && left > *retry_after) {
        --zone.ended;
        const auto wait = std::min(*retry_after, left / retry_wait_divisor);
        after(wait, [this, request] {
            send(*request->kind, random_() % entries_.size(), request->first_sent,
                 request->deadline, request->returns + 1, {});
        });
    }
    else if (retry_after) {
        ++counts.refused;
        counts.refused_again += request->returns > 0 ? 1 : 0;
    }
    else {
        ++counts.failed;
    }
}

void model::dispatch(const request_ptr& request)
{
    auto& entry = entries_[request->entry];
    std::vector<dispatch::pick_candidate> candidates;
    for (const auto& target : targets_) {
        if (target->service->name == request->kind->service &&
            strength(target_fault::stop, *target) <= 0) {
            candidates.push_back({target->node, target->service->slots, target->zone == entry.zone,
                                  false, zone_names.at(target->zone)});
        }
    }
    const auto aim =
        std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(request->aim - now_));
    const auto picked =
        entry.picker.pick(now_, candidates, request->avoid, aim, random_,
                          {request->kind->service, request->kind->rank, request->body_bytes});
    if (!picked) {
        const auto retry_ms = static_cast<double>(default_retry_after.count());
        const auto extra = milliseconds{std::lround(uniform() * retry_ms / 2)};
        end(request, false, default_retry_after + extra);
        return;
    }
    ++request->tries;
    request->node = *picked;
    request->sent = now_;
    request->in_flight = true;
    entry.picker.on_sent(sent_of(*request));
    auto& target = **std::find_if(targets_.begin(), targets_.end(),
                                  [&](const auto& item) { return item->node == *picked; });
    silences_.on_sent(now_ - begin_, target.service->name, target.index);
    auto& zone = figures_.zones[entry.zone];
    ++zone.sent;
    zone.sent_to_other += target.zone == entry.zone ? 0 : 1;
    after(hop_delay + silence_left(target), [this, request, &target] { receive(request, target); });
}

void model::on_refusal(const request_ptr& request, model_target& target, bool reached_target,
                       milliseconds retry_after)
{
    if (!std::exchange(request->in_flight, false)) {
        return;
    }
    auto& entry = entries_[request->entry];
    const bool counts = reached_target && policy_.counts_target_refusals;
    const auto report =
        counts ? &dispatch::target_picker::on_target_refusal : &dispatch::target_picker::on_refusal;
    report_intake(request, target);
    (entry.picker.*report)(now_, sent_of(*request),
                           static_cast<int>(target.queue.running() + target.queue.queued()));
    request->avoid.push_back(target.node);
    const bool may_repeat =
        !reached_target || entry.allowances[request->kind->service].try_spend(now_);
    if (!may_repeat || request->tries >= max_tries) {
        end(request, false, std::max(retry_after, milliseconds{20}));
        return;
    }
    dispatch(request);
}

// The target's host is told of the request. A body that cannot arrive in time is refused at once.
void model::receive(const request_ptr& request, model_target& target)
{
    const auto arrival = request->body_bytes > 0 ? target.link.arrival(now_, request->body_bytes)
                                                 : target.link.small_message_delay(now_);
    if (now_ + arrival + request->kind->work > request->deadline) {
        const auto wait =
            std::chrono::duration_cast<milliseconds>(target.link.wait(now_)) + tick_interval;
        after(hop_delay,
              [this, request, &target, wait] { on_refusal(request, target, false, wait); });
        return;
    }
    target.link.add(now_, request->body_bytes);
    after(arrival, [this, request, &target] { admit(request, target); });
}

void model::report_intake(const request_ptr& request, const model_target& target)
{
    entries_[request->entry].picker.on_intake_wait(
        now_, target.node, std::chrono::duration_cast<milliseconds>(target.link.wait(now_)));
}

void model::admit(const request_ptr& request, model_target& target)
{
    if (!request->in_flight) {
        return;
    }
    const dispatch::ticket id = next_ticket_++;
    target.jobs[id] = {request, now_, {}};
    apply(target, target.queue.offer(now_, {id, request->kind->name, request->kind->rank,
                                            request->aim, request->deadline}));
}

void model::apply(model_target& target, const dispatch::slot_decisions& decisions)
{
    for (const auto& refused : decisions.refuse) {
        const auto job = target.jobs.extract(refused.id);
        after(hop_delay + silence_left(target),
              [this, request = job.mapped().request, &target, wait = refused.retry_after] {
                  on_refusal(request, target, false, wait);
              });
    }
    for (const auto id : decisions.start) {
        start(target, id);
    }
}

void model::start(model_target& target, dispatch::ticket id)
{
    const auto& request = target.jobs.at(id).request;
    if (uniform() < strength(target_fault::shed, target)) {
        after(hop_delay, [this, id, &target] {
            const auto job = target.jobs.extract(id);
            on_refusal(job.mapped().request, target, true, milliseconds{0});
            apply(target, target.queue.finish(now_, id, false));
        });
        return;
    }
    const auto& kind = *request->kind;
    const double slow = std::max(1.0, strength(target_fault::slow, target));
    const double speed = target.service->speeds[target.index];
    std::normal_distribution<double> logarithm(-kind.work_spread * kind.work_spread / 2,
                                               kind.work_spread);
    const double mean_ms = static_cast<double>(kind.work.count()) * slow / speed;
    const milliseconds work{std::max(1L, std::lround(mean_ms * std::exp(logarithm(random_))))};
    if (!kind.calls.empty() && uniform() < kind.calls.front().share) {
        after(work / 2, [this, id, &target, &kind, work] {
            call(target, id, kind.calls.front(), 0, work - work / 2);
        });
        return;
    }
    after(work, [this, id, &target] { finish(target, id, true); });
}

// Makes the call number `done` of a run. After the last one the run goes on for `rest`.
void model::call(model_target& target, dispatch::ticket id, const nested_call& wanted, int done,
                 milliseconds rest)
{
    const auto& request = target.jobs.at(id).request;
    if (done == wanted.times) {
        after(rest, [this, id, &target] { finish(target, id, true); });
        return;
    }
    const auto& kind = kind_of(wanted.kind);
    const auto deadline = std::min(request->deadline, now_ + kind.deadline);
    if (deadline <= now_) {
        finish(target, id, false);
        return;
    }
    const std::size_t entry = target.node.value - 1;
    send(kind, entry, now_, deadline, 0, [this, id, &target, &wanted, done, rest](bool answered) {
        if (answered) {
            call(target, id, wanted, done + 1, rest);
        }
        else {
            finish(target, id, false);
        }
    });
}

void model::finish(model_target& target, dispatch::ticket id, bool answered)
{
    const auto job = target.jobs.extract(id);
    const auto& request = job.mapped().request;
    const bool in_time = answered && now_ <= request->deadline;
    const int load = static_cast<int>(target.queue.running() + target.queue.queued());
    const auto delay = silence_left(target);
    if (delay > boot_clock::duration{}) {
        after(delay, [this, request, &target, in_time, load] {
            on_reply(request, target, in_time, load);
        });
    }
    else {
        on_reply(request, target, in_time, load);
    }
    apply(target, target.queue.finish(now_, id, in_time));
}

void model::on_reply(const request_ptr& request, const model_target& target, bool answered,
                     int load)
{
    if (!std::exchange(request->in_flight, false)) {
        return;
    }
    auto& picker = entries_[request->entry].picker;
    const auto sent = sent_of(*request);
    report_intake(request, target);
    if (answered) {
        picker.on_answer(now_, sent, std::chrono::duration_cast<milliseconds>(now_ - request->sent),
                         load,
                         std::chrono::duration_cast<milliseconds>(request->aim - request->sent));
    }
    else {
        picker.on_failure(now_, sent);
    }
    end(request, answered, std::nullopt);
}

void model::tick()
{
    for (const auto& target : targets_) {
        apply(*target, target->queue.on_tick(now_));
    }
    if (now_ < begin_ + scenario_.length) {
        after(tick_interval, [this] { tick(); });
    }
}

load_figures model::run()
{
    dispatch::allowance_settings limits;
    limits.nodes = static_cast<std::uint32_t>(entries_.size());
    for (auto& entry : entries_) {
        for (const auto& service : scenario_.services) {
            entry.allowances[service.name].configure(limits);
        }
    }
    for (const auto& kind : scenario_.kinds) {
        if (kind.per_s > 0) {
            schedule_arrival(kind);
        }
    }
    tick();
    while (!events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    figures_.silence = silences_.figures();
    return std::move(figures_);
}

} // namespace

load_figures play_load(const load_scenario& scenario, const decision_policy& policy,
                       std::uint64_t seed)
{
    return model(scenario, policy, seed).run();
}

} // namespace bulrushgw::bench
