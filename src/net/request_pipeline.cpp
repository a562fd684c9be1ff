#include "net/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::net::detail {

request_pipeline::number request_pipeline::add(bool may_run_ahead, std::size_t bytes)
{
    entries_.push_back({next_++, stage::waiting, may_run_ahead, false, bytes});
    held_bytes_ += bytes;
    return entries_.back().id;
}

std::optional<request_pipeline::number> request_pipeline::start_next()
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        entry& item = entries_[i];
        const bool is_first = i == 0 && !sending_;
        const bool has_room = held_bytes_ < limits_.max_bytes + item.bytes;
        if (item.closes) {
            break; // the connection ends after this response
        }
        if (item.current_stage == stage::waiting &&
            (is_first || (item.may_run_ahead && has_room))) {
            item.current_stage = stage::running;
            held_bytes_ -= std::exchange(item.bytes, 0);
            return item.id;
        }
    }
    return std::nullopt;
}

bool request_pipeline::respond(number request, std::size_t bytes, bool closes)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const entry& item) { return item.id == request; });
    if (found == entries_.end() || found->current_stage == stage::answered) {
        return false;
    }
    held_bytes_ = held_bytes_ - found->bytes + bytes;
    found->bytes = bytes;
    found->current_stage = stage::answered;
    found->closes = closes;
    return true;
}

std::optional<request_pipeline::answer> request_pipeline::take_answer()
{
    if (entries_.empty() || entries_.front().current_stage != stage::answered) {
        return std::nullopt;
    }
    const entry first = entries_.front();
    entries_.pop_front();
    held_bytes_ -= first.bytes;
    sending_ = true;
    return answer{first.id, first.closes};
}

std::vector<request_pipeline::number> request_pipeline::cancel_all()
{
    std::vector<number> running;
    for (const auto& item : entries_) {
        if (item.current_stage == stage::running) {
            running.push_back(item.id);
        }
    }
    entries_.clear();
    held_bytes_ = 0;
    return running;
}

std::size_t request_pipeline::drop_waiting()
{
    std::size_t dropped = 0;
    while (!entries_.empty() && entries_.back().current_stage == stage::waiting) {
        held_bytes_ -= entries_.back().bytes;
        entries_.pop_back();
        ++dropped;
    }
    return dropped;
}

bool request_pipeline::may_read(std::size_t partial_bytes) const
{
    const bool has_closing = std::any_of(entries_.begin(), entries_.end(),
                                         [](const entry& item) { return item.closes; });
    // The first request of a connection is bounded by its own limits.
    return !has_closing && (entries_.empty() || (entries_.size() <= limits_.max_ahead &&
                                                 held_bytes_ + partial_bytes < limits_.max_bytes));
}

} // namespace bulrushgw::net::detail
