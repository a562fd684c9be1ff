#include <algorithm>
#include <cmath>

#include "bench/policy_hosts.h"
#include "request/balance.h"

namespace bulrushgw::bench {

using request::outcome;
using request::reason;
using request::reply_kind;

namespace {

/// Factor on the execution time of a target during `cold_time` after its start, while its caches
/// are cold.
constexpr double cold_time_factor = 1.5;
constexpr std::chrono::seconds cold_time{10};

reply_kind reply_kind_of(reason why)
{
    switch (request::info_of(why).result) {
    case outcome::answered:
        return reply_kind::answered;
    case outcome::not_run:
        return reply_kind::not_run;
    case outcome::unknown:
        break;
    }
    return reply_kind::unknown;
}

} // namespace

std::optional<request::forward_choice> simulation::choose(std::size_t entry,
                                                          const request::forward_request& forward,
                                                          const std::vector<incarnation_id>& avoid)
{
    const placement_version version{known_version_};
    if (forward.kind == rules::service_kind::keyed) {
        const auto owner = known_assignment_[forward.range.value];
        if (owner == ownership_model::no_host) {
            return std::nullopt;
        }
        return request::forward_choice{incarnation_of(owner), version};
    }
    std::vector<request::balance_candidate> untried;
    std::vector<request::balance_candidate> all;
    for (std::size_t host = sizes_.keyed_hosts; host < sizes_.hosts(); ++host) {
        if (!known_up_[host]) {
            continue;
        }
        const auto id = incarnation_of(host);
        const request::balance_candidate candidate{id, hosts_[entry]->tracker->in_flight(id),
                                                   sizes_.zone_of(host) == sizes_.zone_of(entry)};
        all.push_back(candidate);
        if (std::find(avoid.begin(), avoid.end(), id) == avoid.end()) {
            untried.push_back(candidate);
        }
    }
    const auto picked = request::pick_of_two(untried.empty() ? all : untried, random_);
    if (!picked) {
        return std::nullopt;
    }
    return request::forward_choice{*picked, version};
}

bool simulation::try_spend_retry(time_point now, std::size_t entry, const std::string& service)
{
    return !policy_.retry_budget || hosts_[entry]->budgets[service].try_spend(now);
}

void simulation::process_entry_effects(std::size_t entry, reason replied)
{
    auto& node = *hosts_[entry];
    for (const auto& effect : node.tracker->take_effects()) {
        if (const auto* frame = std::get_if<request::send_forward>(&effect)) {
            send(entry, *frame);
        }
        else if (const auto* ended = std::get_if<request::end_forward>(&effect)) {
            end(node.request_indexes.at(ended->id), ended->why);
            node.request_indexes.erase(ended->id);
        }
        else if (const auto* accepted = std::get_if<request::accept_reply>(&effect)) {
            end(node.request_indexes.at(accepted->id), replied);
            node.request_indexes.erase(accepted->id);
        }
        else {
            const auto& message = std::get<request::send_cancel>(effect);
            const std::size_t peer = (message.peer.value - 1) % 1000;
            const auto generation = message.peer.value / 1000;
            schedule_after(network_delay(entry, peer),
                           [this, peer, generation, number = message.number, entry] {
                               cancel(peer, generation, number, entry);
                           });
        }
    }
}

void simulation::send(std::size_t entry, const request::send_forward& frame)
{
    const std::size_t peer = (frame.peer.value - 1) % 1000;
    const auto generation = frame.peer.value / 1000;
    auto& node = *hosts_[entry];
    const job work{node.request_indexes.at(frame.id), entry, node.generation, frame.number,
                   now_ + frame.deadline};
    schedule_after(network_delay(entry, peer),
                   [this, peer, generation, work] { deliver(peer, generation, work); });
}

void simulation::end(std::size_t number, reason why)
{
    auto& request = requests_[number];
    const auto& kind = sizes_.kinds[request.kind];
    request.ended = true;
    const auto& info = request::info_of(why);
    if (info.result != outcome::answered) {
        ++figures_.reasons[why];
    }
    if (info.result == outcome::not_run) {
        ++figures_.not_run;
        figures_.false_not_run += request.runs > 0 ? 1 : 0;
        return;
    }
    if (info.result == outcome::unknown) {
        ++figures_.unknown;
        return;
    }
    ++figures_.answered;
    if (kind.repeat == rules::repeat_kind::idempotent || request.runs == 1) {
        figures_.worth_correct_once += kind.worth;
    }
    const auto latency = now_ + sizes_.to_clients - request.sent;
    figures_.latency_ms.push_back(std::chrono::duration<float, std::milli>(latency).count());
}

void simulation::deliver(std::size_t owner, std::uint64_t generation, const job& work)
{
    if (!is_current(owner, generation)) {
        if (hosts_[owner]->up) {
            reply(owner, work, reply_kind::not_owner, reason::none);
        }
        else if (!hosts_[owner]->silent) {
            refuse_connection(owner, work);
        }
        return;
    }
    auto& node = *hosts_[owner];
    const auto& request = requests_[work.request];
    if (sizes_.kinds[request.kind].keyed && owners_.serving(request.range) != owner &&
        !node.frozen) {
        reply(owner, work, reply_kind::not_owner, reason::none);
        return;
    }
    const auto id = node.next_ticket++;
    node.jobs.emplace(id, work);
    node.admission_queue->offer(now_, {id, sizes_.kinds[request.kind].worth, work.deadline});
    process_owner_effects(owner);
}

void simulation::reply(std::size_t owner, const job& work, reply_kind kind, reason why)
{
    request::reply_facts facts;
    facts.number = work.number;
    facts.request_id = std::to_string(work.request);
    facts.kind = kind;
    facts.why = why;
    facts.version = placement_version{kind == reply_kind::not_owner ? owners_.version() : 0};
    schedule_after(network_delay(owner, work.entry),
                   [this, work, facts, peer = incarnation_of(owner)] {
                       if (is_current(work.entry, work.entry_generation)) {
                           hosts_[work.entry]->tracker->on_reply(now_, peer, facts);
                           process_entry_effects(work.entry, facts.why);
                       }
                   });
}

void simulation::refuse_connection(std::size_t owner, const job& work)
{
    schedule_after(network_delay(owner, work.entry), [this, work] {
        if (is_current(work.entry, work.entry_generation)) {
            hosts_[work.entry]->tracker->on_not_sent(now_, work.number);
            process_entry_effects(work.entry);
        }
    });
}

void simulation::process_owner_effects(std::size_t owner)
{
    auto& node = *hosts_[owner];
    for (auto effects = node.admission_queue->take_effects(); !effects.empty();
         effects = node.admission_queue->take_effects()) {
        for (const auto& effect : effects) {
            if (const auto* started = std::get_if<request::start_request>(&effect)) {
                start(owner, started->id);
            }
            else if (const auto* refused = std::get_if<request::refuse_request>(&effect)) {
                const auto found = node.jobs.find(refused->id);
                if (found != node.jobs.end()) {
                    reply(owner, found->second, reply_kind::not_run, refused->why);
                    node.jobs.erase(found);
                }
            }
            else if (std::holds_alternative<request::target_went_silent>(effect)) {
                end_silent_incarnation(owner);
            }
        }
    }
}

void simulation::start(std::size_t owner, request::ticket id)
{
    auto& node = *hosts_[owner];
    const auto& work = node.jobs.at(id);
    const auto& kind = sizes_.kinds[requests_[work.request].kind];
    const auto mean = std::chrono::duration<double>(kind.service_time).count();
    // Half of the mean execution time is fixed, the other half is exponentially distributed.
    double time = 0.5 * mean - 0.5 * mean * std::log(1.0 - uniform());
    if (now_ - node.started < cold_time) {
        time *= cold_time_factor;
    }
    if (node.admission_queue->in_flight() > node.connections) {
        node.connections = node.admission_queue->in_flight();
        time += std::chrono::duration<double>(sizes_.connection_cost).count();
    }
    const auto duration =
        std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(time));
    if (!node.frozen) {
        ++requests_[work.request].runs;
        node.busy_seconds += time;
    }
    const auto generation = node.generation;
    if (now_ + duration < work.deadline) {
        schedule_after(duration,
                       [this, owner, generation, id] { complete(owner, generation, id); });
    }
    else {
        schedule_after(work.deadline - now_, [this, owner, generation, id] {
            abort(owner, generation, id, reason::deadline_sent);
        });
    }
}

void simulation::complete(std::size_t owner, std::uint64_t generation, request::ticket id)
{
    if (!is_current(owner, generation)) {
        return;
    }
    auto& node = *hosts_[owner];
    const auto found = node.jobs.find(id);
    if (found == node.jobs.end()) {
        return;
    }
    if (node.frozen) {
        schedule_after(found->second.deadline - now_, [this, owner, generation, id] {
            abort(owner, generation, id, reason::deadline_sent);
        });
        return;
    }
    reply(owner, found->second, reply_kind::answered, reason::none);
    node.jobs.erase(found);
    node.admission_queue->finish(now_, id, request::finish_kind::answered);
    process_owner_effects(owner);
}

void simulation::abort(std::size_t owner, std::uint64_t generation, request::ticket id, reason why)
{
    if (!is_current(owner, generation)) {
        return;
    }
    auto& node = *hosts_[owner];
    const auto found = node.jobs.find(id);
    if (found == node.jobs.end()) {
        return;
    }
    reply(owner, found->second, reply_kind_of(why), why);
    node.jobs.erase(found);
    node.admission_queue->finish(now_, id, request::finish_kind::no_answer);
    process_owner_effects(owner);
}

void simulation::cancel(std::size_t owner, std::uint64_t generation, std::uint64_t number,
                        std::size_t entry)
{
    if (!is_current(owner, generation)) {
        return;
    }
    auto& node = *hosts_[owner];
    for (auto found = node.jobs.begin(); found != node.jobs.end(); ++found) {
        if (found->second.number == number && found->second.entry == entry) {
            const auto id = found->first;
            node.jobs.erase(found);
            if (!node.admission_queue->cancel_queued(now_, id)) {
                node.admission_queue->finish(now_, id, request::finish_kind::no_answer);
            }
            process_owner_effects(owner);
            return;
        }
    }
}

} // namespace bulrushgw::bench
