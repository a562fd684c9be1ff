#pragma once

/// What a node remembers of requests that it no longer has, so that it can tell the sender of a
/// cancellation whether the request has run.

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "common/ids.h"

namespace bulrushgw::sidecar {

/// The node that sent a request, and the request's number, unique for that node and higher than
/// those of its earlier requests.
using request_key = std::pair<incarnation_id, std::uint64_t>;

/// The highest numbers that were added. Not thread-safe.
class recent_numbers {
public:
    /// Numbers that are kept. Requests that expire together have numbers close to each other.
    static constexpr std::size_t limit = 256;

    void add(std::uint64_t number);
    /// True if the number was added, or if it may have been added and was dropped since.
    [[nodiscard]] bool may_contain(std::uint64_t number) const;

private:
    std::vector<std::uint64_t> numbers_; ///< sorted
    std::uint64_t highest_dropped_ = 0;  ///< numbers start at 1
};

/// Requests that were sent to the target, and requests whose cancellation arrived first. Answers
/// only with certainty: for what it has forgotten, a request may have run, and a cancelled request
/// is dropped. Addresses bursts of requests whose time limits expire together while connections
/// between nodes are lost and replaced, so that a cancellation overtakes its request, or finds it
/// refused, expired or answered. Not thread-safe.
class request_history {
public:
    /// Limit on the senders that are remembered; each restart of a node is another sender.
    static constexpr std::size_t max_senders = 1024;

    /// The request is sent to the target now.
    void on_sent(request_key key);
    /// Cancels a request that the node does not have. Returns true if it certainly has not been
    /// sent to the target; `is_cancelled` is then true for it from now on.
    bool cancel(request_key key);
    /// True if the request, which arrives now, must be dropped, because its sender may have been
    /// told that it does not run.
    [[nodiscard]] bool is_cancelled(request_key key) const;

private:
    struct sender_history {
        recent_numbers sent;
        recent_numbers cancelled;
    };

    std::map<incarnation_id, sender_history> senders_;
};

} // namespace bulrushgw::sidecar
