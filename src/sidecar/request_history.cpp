#include "sidecar/request_history.h"

#include <algorithm>

namespace bulrushgw::sidecar {

void recent_numbers::add(std::uint64_t number)
{
    const auto at = std::lower_bound(numbers_.begin(), numbers_.end(), number);
    if (at != numbers_.end() && *at == number) {
        return;
    }
    numbers_.insert(at, number);
    if (numbers_.size() > limit) {
        highest_dropped_ = std::max(highest_dropped_, numbers_.front());
        numbers_.erase(numbers_.begin());
    }
}

bool recent_numbers::may_contain(std::uint64_t number) const
{
    return number <= highest_dropped_ ||
           std::binary_search(numbers_.begin(), numbers_.end(), number);
}

void request_history::on_sent(request_key key)
{
    const auto found = senders_.find(key.first);
    if (found != senders_.end()) {
        found->second.sent.add(key.second);
    }
    else if (senders_.size() < max_senders) {
        senders_[key.first].sent.add(key.second);
    }
}

// Once the limit on senders is reached, nothing is known of senders that are not in the table.
bool request_history::cancel(request_key key)
{
    const auto found = senders_.find(key.first);
    const bool is_known = found != senders_.end();
    const bool is_certain =
        is_known ? !found->second.sent.may_contain(key.second) : senders_.size() < max_senders;
    if (is_certain) {
        senders_[key.first].cancelled.add(key.second);
    }
    return is_certain;
}

bool request_history::is_cancelled(request_key key) const
{
    const auto found = senders_.find(key.first);
    return found != senders_.end() && found->second.cancelled.may_contain(key.second);
}

} // namespace bulrushgw::sidecar
