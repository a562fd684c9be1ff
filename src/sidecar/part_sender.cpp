#include "sidecar/part_sender.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar {

namespace {

/// A part that the transport refused is offered again after this time.
constexpr milliseconds refused_part_delay{50};

} // namespace

void part_sender::begin(std::uint64_t number, const std::string& address, incarnation_id to)
{
    bodies_.insert_or_assign(number, unsent_body{address, to});
}

void part_sender::on_credit(incarnation_id from, std::uint64_t number, std::uint64_t bytes)
{
    const auto found = bodies_.find(number);
    if (found == bodies_.end() || found->second.to != from ||
        bytes <= found->second.credited_bytes) {
        return;
    }
    found->second.credited_bytes = bytes;
    if (!std::exchange(found->second.has_turn, true)) {
        turns_.push_back(number);
    }
    send_parts();
}

bool part_sender::stop(std::uint64_t number)
{
    const auto found = bodies_.find(number);
    if (found == bodies_.end()) {
        return false;
    }
    if (found->second.has_turn) {
        std::erase(turns_, number);
    }
    bodies_.erase(found);
    // The counts of queued parts are forgotten with the last body: at most one more set of parts is
    // queued on a connection if another body follows at once.
    if (bodies_.empty()) {
        queued_parts_.clear();
    }
    return true;
}

void part_sender::on_drained(const std::string& address)
{
    if (queued_parts_.erase(address) > 0 || !turns_.empty()) {
        send_parts();
    }
}

void part_sender::on_rate()
{
    is_call_pending_ = false;
    send_parts();
}

void part_sender::send_parts()
{
    // Each body whose connection is full is passed over once.
    for (auto left = turns_.size(); left > 0 && !turns_.empty();) {
        const auto number = turns_.front();
        auto& unsent = bodies_.at(number);
        const auto result = send_part(number, unsent);
        if (result == part_result::link_full) {
            return;
        }
        turns_.pop_front();
        if (result == part_result::connection_full) {
            turns_.push_back(number);
            --left;
            continue;
        }
        const std::string* body = hooks_.body_of(number);
        if (body == nullptr || unsent.sent_bytes >= body->size()) {
            bodies_.erase(number);
        }
        else if (unsent.sent_bytes < unsent.credited_bytes) {
            turns_.push_back(number);
        }
        else {
            unsent.has_turn = false;
        }
        left = turns_.size();
    }
    if (bodies_.empty()) {
        queued_parts_.clear();
    }
}

void part_sender::call_on_rate_after(milliseconds time)
{
    if (!std::exchange(is_call_pending_, true)) {
        hooks_.call_on_rate_after(time);
    }
}

part_sender::part_result part_sender::send_part(std::uint64_t number, unsent_body& unsent)
{
    const std::string* body = hooks_.body_of(number);
    if (body == nullptr) {
        return part_result::sent;
    }
    auto& queued = queued_parts_[unsent.address];
    if (queued >= max_queued_parts) {
        return part_result::connection_full;
    }
    const auto end = std::min<std::uint64_t>(unsent.credited_bytes, body->size());
    const auto size =
        std::min({std::uint64_t{body_part_bytes}, pacer_.window_bytes(), end - unsent.sent_bytes});
    const auto now = hooks_.now();
    if (const auto wait = pacer_.wait(now, size); wait.count() > 0) {
        call_on_rate_after(wait);
        return part_result::link_full;
    }
    const wire::forward_part part{number, unsent.next_part, body->substr(unsent.sent_bytes, size)};
    // After a refused part, the connection has broken, which ends the request, or there is no room
    // for the part: in the queue of the connection or in memory.
    if (!hooks_.send(unsent.address, unsent.to, part)) {
        call_on_rate_after(refused_part_delay);
        return part_result::connection_full;
    }
    pacer_.try_take(now, size);
    ++queued;
    ++unsent.next_part;
    unsent.sent_bytes += size;
    return part_result::sent;
}

} // namespace bulrushgw::sidecar
