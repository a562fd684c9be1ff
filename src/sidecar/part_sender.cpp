#include "sidecar/part_sender.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar {

void part_sender::begin(std::uint64_t number, const std::string& address, incarnation_id to)
{
    bodies_.insert_or_assign(number, unsent_body{address, to});
    connections_[address].turns.push_back(number);
    send_parts(address);
}

bool part_sender::stop(std::uint64_t number)
{
    const auto found = bodies_.find(number);
    if (found == bodies_.end()) {
        return false;
    }
    const auto conn = connections_.find(found->second.address);
    bodies_.erase(found);
    if (conn != connections_.end()) {
        std::erase(conn->second.turns, number);
        // The count of queued parts is forgotten with the last body: at most one more set of parts
        // is queued if another body follows at once.
        if (conn->second.turns.empty()) {
            connections_.erase(conn);
        }
    }
    return true;
}

void part_sender::on_drained(const std::string& address)
{
    const auto found = connections_.find(address);
    if (found != connections_.end()) {
        found->second.queued_parts = 0;
        send_parts(address);
    }
}

void part_sender::send_parts(const std::string& address)
{
    auto& conn = connections_.at(address);
    while (!conn.turns.empty() && conn.queued_parts < max_queued_parts) {
        const auto number = conn.turns.front();
        if (!send_part(conn, number)) {
            return;
        }
        conn.turns.pop_front();
        if (bodies_.contains(number)) {
            conn.turns.push_back(number);
        }
    }
    if (conn.turns.empty()) {
        connections_.erase(address);
    }
}

bool part_sender::send_part(connection& conn, std::uint64_t number)
{
    auto& unsent = bodies_.at(number);
    const std::string* body = hooks_.body_of(number);
    if (body == nullptr) {
        bodies_.erase(number);
        return true;
    }
    const auto offset = unsent.next_part * body_part_bytes;
    const wire::forward_part part{number, unsent.next_part, body->substr(offset, body_part_bytes)};
    // After a refused part, either the connection has broken, which ends the request, or its queue
    // is full of other frames, and the end of a write follows.
    if (!hooks_.send(unsent.address, unsent.to, part)) {
        return false;
    }
    ++conn.queued_parts;
    ++unsent.next_part;
    if (offset + part.bytes.size() >= body->size()) {
        bodies_.erase(number);
    }
    return true;
}

} // namespace bulrushgw::sidecar
