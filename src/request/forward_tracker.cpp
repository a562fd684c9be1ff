#include "request/forward_tracker.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::request {

namespace {

milliseconds time_left(time_point now, const forward_request& request)
{
    return std::chrono::floor<milliseconds>(request.deadline - now);
}

/// The reason of a reply. A peer of another build may send a reason that contradicts the outcome of
/// the reply. Such a reason is replaced by one with the outcome of the reply.
reason reason_for(const reply_facts& reply)
{
    const bool not_run = reply.kind == reply_kind::not_run;
    if (info_of(reply.why).result == (not_run ? outcome::not_run : outcome::unknown)) {
        return reply.why;
    }
    return not_run ? reason::target_refused : reason::connection_lost;
}

} // namespace

forward_tracker::forward_tracker(forward_settings settings, choose_peer choose, spend_retry spend)
    : settings_(settings), choose_(std::move(choose)), spend_(std::move(spend))
{
}

forward_id forward_tracker::submit(time_point now, forward_request request)
{
    const forward_id id = next_id_++;
    ++counters_.submitted;
    record added;
    added.request = std::move(request);
    requests_.emplace(id, std::move(added));
    attempt(now, id);
    return id;
}

void forward_tracker::schedule_next_attempt(time_point now, record& entry, reason why)
{
    entry.last_failure = why;
    const unsigned doublings = std::min(entry.resends, 10U);
    entry.next_try = now + std::min(settings_.max_resend_interval,
                                    settings_.first_resend_interval * (1 << doublings));
}

void forward_tracker::attempt(time_point now, forward_id id)
{
    auto& entry = requests_.at(id);
    const milliseconds for_peer = time_left(now, entry.request) - settings_.hop_margin;
    if (for_peer < min_attempt_time) {
        end(id, entry.last_failure);
        return;
    }
    const auto choice = choose_(entry.request, entry.avoid);
    if (!choice) {
        schedule_next_attempt(now, entry, reason::no_owner);
        return;
    }
    if (choice->version < entry.min_version) {
        schedule_next_attempt(now, entry, reason::not_owner);
        return;
    }
    entry.number = next_number_++;
    entry.peer = choice->peer;
    entry.sent_at = now;
    ++entry.sends;
    ++counters_.sent;
    ++in_flight_[entry.peer];
    numbers_.emplace(entry.number, id);
    effects_.emplace_back(send_forward{id, entry.number, entry.peer, for_peer, entry.sends});
}

void forward_tracker::clear_attempt(record& entry)
{
    if (entry.number == 0) {
        return;
    }
    numbers_.erase(entry.number);
    entry.number = 0;
    const auto count = in_flight_.find(entry.peer);
    if (--count->second == 0) {
        in_flight_.erase(count);
    }
}

void forward_tracker::end(forward_id id, reason why, bool replied)
{
    const auto found = requests_.find(id);
    auto& entry = found->second;
    clear_attempt(entry);
    const bool hides_earlier_run = entry.may_have_run && info_of(why).result == outcome::not_run;
    if (hides_earlier_run) {
        effects_.emplace_back(end_forward{id, *entry.may_have_run});
    }
    else if (replied) {
        effects_.emplace_back(accept_reply{id});
    }
    else {
        effects_.emplace_back(end_forward{id, why});
    }
    requests_.erase(found);
}

void forward_tracker::resend(time_point now, forward_id id, reason why, bool replied)
{
    auto& entry = requests_.at(id);
    if (entry.resends >= settings_.max_resends) {
        end(id, why, replied);
        return;
    }
    schedule_next_attempt(now, entry, why);
    ++entry.resends;
    ++counters_.resent;
    if (entry.request.kind == rules::service_kind::balanced) {
        const bool tried =
            std::find(entry.avoid.begin(), entry.avoid.end(), entry.peer) != entry.avoid.end();
        // Another node may serve the request at once. If the node of the failed attempt was tried
        // before, the next attempt waits until `next_try`.
        if (!tried) {
            entry.avoid.push_back(entry.peer);
            attempt(now, id);
        }
    }
}

void forward_tracker::on_attempt_failed(time_point now, forward_id id, reason why, bool replied)
{
    auto& entry = requests_.at(id);
    clear_attempt(entry);
    if (info_of(why).result == outcome::unknown) {
        entry.may_have_run = why;
    }
    const failed_attempt attempted{why, entry.request.repeat, entry.retries + 1,
                                   time_left(now, entry.request)};
    switch (decide_retry(attempted, entry.request.kind, settings_.retry)) {
    case retry_kind::resend:
        resend(now, id, why, replied);
        return;
    case retry_kind::retry:
        if (!spend_(now, entry.request.service)) {
            ++counters_.retries_refused;
            break;
        }
        ++counters_.retried;
        ++entry.retries;
        entry.last_failure = why;
        entry.avoid.push_back(entry.peer);
        attempt(now, id);
        return;
    case retry_kind::give_up:
        break;
    }
    end(id, why, replied);
}

void forward_tracker::on_reply(time_point now, incarnation_id peer, const reply_facts& reply)
{
    const auto found = numbers_.find(reply.number);
    if (found == numbers_.end()) {
        ++counters_.late;
        return;
    }
    const forward_id id = found->second;
    auto& entry = requests_.at(id);
    // A new process at the peer's address answers not_owner under its own incarnation. Because the
    // new process received the frame, the previous one did not.
    const bool from_peer = entry.peer == peer || reply.kind == reply_kind::not_owner;
    if (!from_peer || entry.request.request_id != reply.request_id) {
        ++counters_.mismatched;
        return;
    }
    switch (reply.kind) {
    case reply_kind::answered:
        ++counters_.answered;
        end(id, reply.why, true);
        return;
    case reply_kind::not_owner:
        ++counters_.not_owner;
        entry.min_version = std::max(entry.min_version, reply.version);
        on_attempt_failed(now, id, reason::not_owner, false);
        return;
    case reply_kind::not_run:
    case reply_kind::unknown:
        break;
    }
    on_attempt_failed(now, id, reason_for(reply), true);
}

void forward_tracker::on_not_sent(time_point now, std::uint64_t number)
{
    const auto found = numbers_.find(number);
    if (found != numbers_.end()) {
        on_attempt_failed(now, found->second, reason::peer_unreachable, false);
    }
}

std::vector<forward_id>
forward_tracker::select(const std::function<bool(const record&)>& wanted) const
{
    std::vector<forward_id> ids;
    for (const auto& [id, entry] : requests_) {
        if (wanted(entry)) {
            ids.push_back(id);
        }
    }
    return ids;
}

void forward_tracker::on_disconnect(time_point now, incarnation_id peer)
{
    const auto ids =
        select([peer](const record& entry) { return entry.number != 0 && entry.peer == peer; });
    for (const auto id : ids) {
        ++counters_.broken;
        on_attempt_failed(now, id, reason::connection_lost, false);
    }
}

void forward_tracker::on_unreachable(time_point now, incarnation_id peer, time_point unsent_since)
{
    const auto unsent = select([&](const record& entry) {
        return entry.number != 0 && entry.peer == peer && entry.sent_at >= unsent_since;
    });
    // These requests were sent over an earlier connection. Both lists are made before any request
    // is handled, because a handled request may be sent to the same peer again.
    const auto earlier = select([&](const record& entry) {
        return entry.number != 0 && entry.peer == peer && entry.sent_at < unsent_since;
    });
    for (const auto id : earlier) {
        ++counters_.broken;
        on_attempt_failed(now, id, reason::connection_lost, false);
    }
    for (const auto id : unsent) {
        on_attempt_failed(now, id, reason::peer_unreachable, false);
    }
}

void forward_tracker::on_placement(time_point now, const std::string& service)
{
    const auto ids = select([&service](const record& entry) {
        return entry.number == 0 && entry.request.service == service;
    });
    for (const auto id : ids) {
        attempt(now, id);
    }
}

void forward_tracker::cancel(time_point, forward_id id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.number != 0) {
        effects_.emplace_back(send_cancel{found->second.number, found->second.peer});
    }
    clear_attempt(found->second);
    requests_.erase(found);
}

void forward_tracker::expire(forward_id id)
{
    const auto& entry = requests_.at(id);
    if (entry.number == 0) {
        end(id, entry.last_failure);
        return;
    }
    effects_.emplace_back(send_cancel{entry.number, entry.peer});
    end(id, reason::deadline_sent);
}

void forward_tracker::on_tick(time_point now)
{
    for (const auto id : select([now](const record& entry) {
             return entry.request.deadline <= now || (entry.number == 0 && entry.next_try <= now);
         })) {
        if (requests_.at(id).request.deadline <= now) {
            expire(id);
        }
        else {
            attempt(now, id);
        }
    }
}

std::vector<forward_effect> forward_tracker::take_effects()
{
    return std::exchange(effects_, {});
}

std::uint32_t forward_tracker::in_flight(incarnation_id peer) const
{
    const auto found = in_flight_.find(peer);
    return found == in_flight_.end() ? 0 : found->second;
}

} // namespace bulrushgw::request
