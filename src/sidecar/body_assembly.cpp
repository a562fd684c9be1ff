#include "sidecar/body_assembly.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace bulrushgw::sidecar {

namespace {

/// Reserved for each request in addition to its texts: the objects that hold it.
constexpr std::size_t request_object_bytes = 2048;
/// Reserved for each header in addition to its texts.
constexpr std::size_t header_object_bytes = 64;

milliseconds time_left(time_point until, time_point now)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(until - now));
}

} // namespace

std::size_t held_bytes(const wire::forward& request)
{
    std::size_t result = request_object_bytes + request.path.size() + request.body.size();
    for (const auto& [name, value] : request.headers) {
        result += header_object_bytes + name.size() + value.size();
    }
    return result;
}

bool body_assembly::begin(time_point now, request_key key, const std::string& reply_address,
                          const wire::forward& request)
{
    const auto head_bytes = held_bytes(request);
    if (!request.body.empty() || bodies_.contains(key) ||
        request.body_bytes > std::numeric_limits<std::size_t>::max() - head_bytes) {
        return false;
    }
    net::memory_charge memory(budget_);
    if (!memory.try_resize(head_bytes + std::size_t{request.body_bytes})) {
        return false;
    }
    auto& body = bodies_
                     .emplace(key, incomplete{request, reply_address, std::move(memory),
                                              now + request.aim, now + request.deadline})
                     .first->second;
    // Growing the text by doubling would take more memory than is reserved.
    body.request.body.reserve(request.body_bytes);
    return true;
}

part_verdict body_assembly::add(request_key key, const wire::forward_part& part)
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end()) {
        return part_verdict::not_expected;
    }
    auto& body = found->second;
    const auto missing = body.request.body_bytes - body.request.body.size();
    if (part.index != body.next_part || part.bytes.empty() || part.bytes.size() > missing) {
        bodies_.erase(found);
        return part_verdict::invalid;
    }
    body.request.body += part.bytes;
    ++body.next_part;
    return part.bytes.size() == missing ? part_verdict::complete : part_verdict::more_expected;
}

std::string body_assembly::request_id(request_key key) const
{
    const auto found = bodies_.find(key);
    return found == bodies_.end() ? std::string{} : found->second.request.request_id;
}

std::optional<body_assembly::assembled> body_assembly::take(time_point now, request_key key)
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end() ||
        found->second.request.body.size() != found->second.request.body_bytes) {
        return std::nullopt;
    }
    auto& body = found->second;
    body.request.aim = time_left(body.aim, now);
    body.request.deadline = time_left(body.deadline, now);
    assembled result{std::move(body.request), std::move(body.reply_address),
                     std::move(body.memory)};
    bodies_.erase(found);
    return result;
}

bool body_assembly::cancel(request_key key)
{
    return bodies_.erase(key) > 0;
}

std::size_t body_assembly::drop_sender(incarnation_id sender)
{
    return std::erase_if(bodies_, [&](const auto& body) { return body.first.first == sender; });
}

std::size_t body_assembly::expire(time_point now)
{
    return std::erase_if(bodies_, [&](const auto& body) { return body.second.deadline <= now; });
}

} // namespace bulrushgw::sidecar
