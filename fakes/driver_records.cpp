/// The part of the driver that connects an engine with its target and records the history.

#include <algorithm>
#include <utility>

#include "common/hash.h"
#include "fakes/driver_state.h"
#include "ownership/rows.h"
#include "rules/acceptance.h"

namespace bulrushgw::fakes {

namespace {

using namespace std::chrono_literals;

/// A node reads its target's clock at this interval. After `max_unanswered_polls` polls without an
/// answer (1 s) it treats the target as frozen.
constexpr milliseconds target_poll_interval{200};
constexpr int max_unanswered_polls = 5;
/// The deadline of a request is this long before the end of the lease.
constexpr milliseconds deadline_margin{50};
/// Largest relative drift of two clocks with rate errors of 1% each, rounded up.
constexpr int grant_reduction_permille = 21;
constexpr std::uint32_t slots = 6;

std::uint64_t list_hash(const ownership::placement_list& list)
{
    std::uint64_t hash = hash_pair(list.version.value, list.members.size());
    for (const auto& member : list.members) {
        hash = hash_pair(hash, hash_pair(member.incarnation.value, member.weight));
    }
    for (const auto& [range, owner] : list.overrides) {
        hash = hash_pair(hash, hash_pair(range.value, owner.value));
    }
    return hash;
}

std::uint64_t content_hash(const ownership::placement& placement)
{
    return hash_pair(list_hash(placement.current), list_hash(placement.previous));
}

} // namespace

void driver::poll_target(host_state& host)
{
    const time_point local = host.clock.local(now_);
    if (local < host.next_poll) {
        return;
    }
    host.next_poll = local + target_poll_interval;
    if (host.server->is_frozen()) {
        if (host.announced && !host.stopping && ++host.unanswered_polls >= max_unanswered_polls) {
            stop_serving_and_end(host, "target silent");
        }
        return;
    }
    host.unanswered_polls = 0;
    host.last_poll_at = local;
    host.target_clock_at_poll = host.server->local(now_);
    if (!std::exchange(host.announced, true)) {
        host.engine->on_target(local, {service_name, slots, host.server->checks_fences()});
        process_effects(host);
    }
    send_grants(host);
}

// A holder seal lets a successor serve immediately. A frozen target, however, still holds grants
// and executes the requests in its socket buffer when it resumes. The engine therefore makes the
// holder seal only after the target has read the release of its grants, or after the last grant
// expired.
void driver::stop_serving_and_end(host_state& host, const std::string& cause)
{
    const time_point local = host.clock.local(now_);
    const bool frozen = host.server->is_frozen();
    host.stopping = true;
    host.granted.clear();
    if (!frozen) {
        host.server->grant(now_, {});
        host.server->advance(now_);
        host.server->cancel_all(now_);
    }
    host.engine->end(local, cause, frozen ? std::max(local, host.grants_end) : local);
    process_effects(host);
}

void driver::send_grants(host_state& host)
{
    if (host.engine == nullptr || host.stopping) {
        return;
    }
    target_grants grants;
    grants.tokens = host.granted;
    if (const auto end = host.engine->lease_end(host.clock.local(now_))) {
        const auto left = std::max<std::chrono::nanoseconds>(*end - host.last_poll_at, 0ns);
        grants.expires = host.target_clock_at_poll + left - left * grant_reduction_permille / 1000;
        host.grants_end = std::max(host.grants_end, *end);
    }
    host.server->grant(now_, grants);
}

void driver::start_requests(host_state& host)
{
    if (host.stopping) {
        return;
    }
    const time_point local = host.clock.local(now_);
    const double probability_per_tick =
        settings_.requests_per_second * std::chrono::duration<double>(settings_.times.tick).count();
    for (const auto& [range, span] : std::map{host.open_spans}) {
        if (!draw_bool(probability_per_tick)) {
            continue;
        }
        const ownership::serve_decision decision =
            host.engine->may_serve(local, service_name, range);
        const auto left = decision.lease_end - local - deadline_margin;
        if (!decision.allowed || left <= 0ns || host.in_flight[range] >= slots) {
            continue;
        }
        target_request request;
        request.number = ++next_request_;
        request.range = range;
        request.token = decision.token;
        request.idempotent = draw_bool(0.5);
        const auto longest = static_cast<std::uint64_t>(settings_.longest_work.count());
        request.work = milliseconds{1 + draw(longest)};
        request.deadline = std::chrono::duration_cast<milliseconds>(left);
        host.engine->on_in_flight(local, service_name, range, ++host.in_flight[range]);
        host.server->run(now_, request);
        process_effects(host);
        if (host.engine == nullptr) {
            return;
        }
    }
}

void driver::on_finished(std::size_t index, const target_request& request)
{
    host_state& host = state(index);
    std::size_t& count = host.in_flight[request.range];
    count -= std::min<std::size_t>(count, 1);
    host.engine->on_in_flight(host.clock.local(now_), service_name, request.range, count);
}

void driver::observe(host_state& host)
{
    if (!settings_.observe || !host.is_active()) {
        return;
    }
    const time_point local = host.clock.local(now_);
    for (std::uint32_t i = 0; i < settings_.ranges; ++i) {
        const range_id range{i};
        const auto decision = host.engine->may_serve(local, service_name, range);
        const auto open = host.open_spans.find(range);
        if (!decision.allowed) {
            if (open != host.open_spans.end()) {
                serve_span& span = record_.served[open->second];
                span.end = std::min(span.end, now_);
                host.open_spans.erase(open);
            }
            continue;
        }
        // With the lease check disabled, a node keeps serving until the next tick even if its lease
        // has ended.
        const true_time end =
            std::max(host.clock.when(decision.lease_end),
                     decision.lease_end <= local ? now_ + settings_.times.tick : true_time{});
        if (open != host.open_spans.end()) {
            serve_span& span = record_.served[open->second];
            if (span.token == decision.token && span.end >= now_) {
                span.end = end;
                continue;
            }
            span.end = std::min(span.end, now_);
        }
        host.open_spans[range] = record_.served.size();
        record_.served.push_back({host.index, host.engine->self(), range, decision.token, now_, end,
                                  !host.server->is_frozen()});
    }
}

void driver::close_serve_spans(host_state& host)
{
    for (const auto& [range, index] : host.open_spans) {
        serve_span& span = record_.served[index];
        span.end = std::min(span.end, now_);
    }
    host.open_spans.clear();
}

void driver::observe_versions(host_state& host)
{
    const ownership::rules_stamp rules = host.engine->newest_rules();
    if (rules.version != host.recorded_rules_version) {
        host.recorded_rules_version = rules.version;
        record_.rules.push_back({now_, host.engine->self(), rules.version, rules.version});
        if (rules.version > host.rules.version) {
            host.rules = rules;
        }
    }
    const auto placement = host.engine->placement_of(service_name);
    if (placement && placement->current.version.value != host.recorded_placement_version) {
        host.recorded_placement_version = placement->current.version.value;
        record_.placements.push_back(
            {now_, host.engine->self(), host.recorded_placement_version, content_hash(*placement)});
    }
}

void driver::record_write(const store::row& row, bool erased)
{
    if (row.key == rules::head_row) {
        const std::uint64_t version = erased ? 0 : rules::parse_record(row.value).version;
        record_.rules.push_back({now_, {}, version, version});
    }
    if (row.key != ownership::placement_key(service_name)) {
        return;
    }
    version_event event{now_, {}, 0, 0};
    if (!erased) {
        const ownership::placement placement = ownership::parse_placement(row.key, row.value);
        event.version = placement.current.version.value;
        event.content = content_hash(placement);
    }
    record_.placements.push_back(event);
}

std::size_t encoded_size(const ownership::message& body)
{
    constexpr std::size_t frame = 40;
    constexpr std::size_t number = 9;
    constexpr std::size_t row = 150;
    struct item_size {
        std::size_t operator()(const ownership::member_row& r) const
        {
            return row + r.witnesses.size() * number;
        }
        std::size_t operator()(const ownership::placement& p) const
        {
            return row + 2 * number *
                             (p.current.members.size() + p.previous.members.size() +
                              p.current.overrides.size() + p.previous.overrides.size());
        }
        std::size_t operator()(const ownership::seal&) const { return 4 * number; }
        std::size_t operator()(const ownership::certificate&) const { return 4 * number; }
        std::size_t operator()(const ownership::adoption& a) const
        {
            return 4 * number + a.draining.size() * number;
        }
        std::size_t operator()(const ownership::rules_stamp&) const { return 5 * number; }
    };
    if (const auto* items = std::get_if<ownership::gossip>(&body)) {
        std::size_t size = frame;
        for (const auto& item : items->items) {
            size += std::visit(item_size{}, item);
        }
        return size;
    }
    if (const auto* change = std::get_if<ownership::set_change>(&body)) {
        return frame + item_size{}(change->row);
    }
    return frame + 5 * number;
}

} // namespace bulrushgw::fakes
