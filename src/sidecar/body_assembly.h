#pragma once

/// Bodies that peers send in parts, until they are complete.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "net/memory_budget.h"
#include "sidecar/gate.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

enum class part_verdict {
    more_expected, ///< the part was taken; others follow
    complete,      ///< the part was the last one: call `take`
    invalid,       ///< the part does not continue the body, which was dropped
    not_expected,  ///< the body is unknown: it was refused, cancelled or dropped before
};

/// Collects the bodies of forwards whose parts follow them, by sender and number, within a memory
/// budget. The memory of a body is reserved with its first credit, so that bodies which wait for
/// the link take no room from others. Parts beyond the credit are refused. A body is dropped, and
/// its memory released, when the sender disconnects or cancels, when the deadline passes, or when a
/// part is missing: it never runs in part. Addresses many large uploads at once to the target of a
/// host with little memory, and senders that disappear midway. Not thread-safe.
class body_assembly {
public:
    /// A request whose body is complete, with times that count from now.
    struct assembled {
        wire::forward request;
        std::string reply_address;
        net::memory_charge memory; ///< to be kept as long as the request
    };

    explicit body_assembly(std::shared_ptr<net::memory_budget> budget) : budget_(std::move(budget))
    {
    }

    /// Who sends a body.
    struct origin {
        std::string reply_address;
        std::string request_id;
        std::uint64_t credited_bytes = 0; ///< see `credit`
    };

    /// Begins to collect the body of `request`. Returns false if there is no room for the request,
    /// if the body can never have room, or if the request carries a part of the body itself, which
    /// no sender does.
    bool begin(time_point now, request_key key, const std::string& reply_address,
               const wire::forward& request);
    /// Accepts the first `bytes` of a body. The first call reserves the memory of the whole body.
    /// Returns false if there is no room for it, or if the body is unknown.
    bool credit(request_key key, std::uint64_t bytes);
    /// Adds the next part of a body.
    part_verdict add(request_key key, const wire::forward_part& part);
    /// The origin of a body that is being collected, or empty texts.
    [[nodiscard]] origin origin_of(request_key key) const;
    /// The request of a body that has no credit yet; null otherwise. Valid until the next change.
    [[nodiscard]] const wire::forward* uncredited_request(request_key key) const;
    /// The bodies with a credit whose sender has the address.
    [[nodiscard]] std::vector<request_key> credited_from(const std::string& reply_address) const;
    /// Removes a complete request, after `add` returned `complete`.
    std::optional<assembled> take(time_point now, request_key key);
    /// Drops the body, if it is being collected. Returns whether it was.
    bool cancel(request_key key);
    /// Drops and returns all bodies of a sender.
    std::vector<request_key> drop_sender(incarnation_id sender);
    /// Drops and returns the bodies whose deadline has passed.
    std::vector<request_key> expire(time_point now);

    [[nodiscard]] std::size_t size() const { return bodies_.size(); }

private:
    struct incomplete {
        wire::forward request;
        std::string reply_address;
        net::memory_charge memory;
        time_point aim;
        time_point deadline;
        std::uint64_t next_part = 0;
        std::uint64_t credited_bytes = 0;
    };

    template <typename Predicate>
    std::vector<request_key> drop_if(Predicate predicate);

    std::shared_ptr<net::memory_budget> budget_;
    std::map<request_key, incomplete> bodies_;
};

/// Bytes that a request takes in memory, with its head. A shared body counts with its owner.
std::size_t held_bytes(const wire::forward& request);

} // namespace bulrushgw::sidecar
