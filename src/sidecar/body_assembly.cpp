#include "sidecar/body_assembly.h"

#include <algorithm>
#include <chrono>

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
        request.body_bytes > budget_->limit() - std::min(head_bytes, budget_->limit())) {
        return false;
    }
    net::memory_charge memory(budget_);
    if (!memory.try_resize(head_bytes)) {
        return false;
    }
    bodies_.emplace(key, incomplete{request, reply_address, std::move(memory), now + request.aim,
                                    now + request.deadline});
    return true;
}

bool body_assembly::credit(request_key key, std::uint64_t bytes)
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end()) {
        return false;
    }
    auto& body = found->second;
    if (body.credited_bytes == 0) {
        const auto size = static_cast<std::size_t>(body.request.body_bytes);
        if (!body.memory.try_resize(body.memory.bytes() + size)) {
            return false;
        }
        // Growing the text by doubling would take more memory than is reserved.
        body.request.body.reserve(size);
    }
    body.credited_bytes = std::min(std::max(bytes, body.credited_bytes), body.request.body_bytes);
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
    const auto expected = body.credited_bytes - body.request.body.size();
    if (part.index != body.next_part || part.bytes.empty() || part.bytes.size() > expected) {
        bodies_.erase(found);
        return part_verdict::invalid;
    }
    body.request.body += part.bytes;
    ++body.next_part;
    return part.bytes.size() == missing ? part_verdict::complete : part_verdict::more_expected;
}

body_assembly::origin body_assembly::origin_of(request_key key) const
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end()) {
        return {};
    }
    const auto& body = found->second;
    return {body.reply_address, body.request.request_id, body.credited_bytes};
}

const wire::forward* body_assembly::uncredited_request(request_key key) const
{
    const auto found = bodies_.find(key);
    const bool waits = found != bodies_.end() && found->second.credited_bytes == 0;
    return waits ? &found->second.request : nullptr;
}

std::vector<request_key> body_assembly::credited_from(const std::string& reply_address) const
{
    std::vector<request_key> result;
    for (const auto& [key, body] : bodies_) {
        if (body.credited_bytes > 0 && body.reply_address == reply_address) {
            result.push_back(key);
        }
    }
    return result;
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

template <typename Predicate>
std::vector<request_key> body_assembly::drop_if(Predicate predicate)
{
    std::vector<request_key> result;
    std::erase_if(bodies_, [&](const auto& body) {
        const bool drops = predicate(body);
        if (drops) {
            result.push_back(body.first);
        }
        return drops;
    });
    return result;
}

std::vector<request_key> body_assembly::drop_sender(incarnation_id sender)
{
    return drop_if([&](const auto& body) { return body.first.first == sender; });
}

std::vector<request_key> body_assembly::expire(time_point now)
{
    return drop_if([&](const auto& body) { return body.second.deadline <= now; });
}

} // namespace bulrushgw::sidecar
