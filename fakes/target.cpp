#include "fakes/target.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::fakes {

target::target(std::size_t host, drifting_clock clock, bool checks_fences, history& record)
    : host_(host), clock_(clock), checks_fences_(checks_fences), record_(record)
{
}

void target::grant(true_time now, const target_grants& grants)
{
    if (frozen_) {
        unread_.emplace_back([this, grants](true_time at) { grant(at, grants); });
        return;
    }
    grants_ = grants;
    for (const auto& [range, token] : grants.tokens) {
        fence& highest = highest_fences_[range];
        highest = std::max(highest, token);
    }
    (void)now;
}

void target::run(true_time now, const target_request& request)
{
    if (frozen_) {
        unread_.emplace_back([this, request](true_time at) { start(at, request); });
        return;
    }
    start(now, request);
}

void target::start(true_time now, const target_request& request)
{
    if (checks_fences_) {
        const auto granted = grants_.tokens.find(request.range);
        if (granted == grants_.tokens.end() || clock_.local(now) >= grants_.expires) {
            finish_(request, target_result::no_grant);
            return;
        }
        if (request.token < highest_fences_[request.range]) {
            finish_(request, target_result::stale_fence);
            return;
        }
    }
    const true_time deadline = clock_.when(clock_.local(now) + request.deadline);
    running_.push_back({request, now, now + request.work, deadline});
}

void target::finish(const running& work, true_time end, target_result result)
{
    record_.executions.push_back({host_, work.request.range, work.request.token,
                                  work.request.number, work.request.idempotent, work.begin, end,
                                  result == target_result::executed});
    finish_(work.request, result);
}

void target::advance(true_time now)
{
    if (frozen_) {
        return;
    }
    std::vector<running> finished;
    std::erase_if(running_, [&](const running& work) {
        const bool ended = std::min(work.end, work.deadline) <= now;
        if (ended) {
            finished.push_back(work);
        }
        return ended;
    });
    for (const running& work : finished) {
        const bool in_time = work.end <= work.deadline;
        finish(work, in_time ? work.end : work.deadline,
               in_time ? target_result::executed : target_result::cancelled);
    }
}

void target::cancel_all(true_time now)
{
    for (const running& work : std::exchange(running_, {})) {
        finish(work, std::min({now, work.end, work.deadline}), target_result::cancelled);
    }
}

void target::freeze(true_time now)
{
    advance(now);
    frozen_ = true;
}

void target::resume(true_time now)
{
    frozen_ = false;
    advance(now);
    for (const auto& message : std::exchange(unread_, {})) {
        message(now);
    }
}

void target::restart(true_time now)
{
    cancel_all(now);
    frozen_ = false;
    unread_.clear();
    grants_ = {};
    highest_fences_.clear();
    ++run_id_;
}

} // namespace bulrushgw::fakes
