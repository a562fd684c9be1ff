#pragma once

/// The witness side of the lease protocol: promises to holders, and seals.

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/messages.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// What one witness keeps for every holder that it watches. Not thread-safe.
class witness_table {
public:
    /// Bound on watched and sealed holders. A full table refuses new holders;
    /// forgetting a seal could let an ended holder renew again.
    static constexpr std::size_t limit = 16384;

    witness_table(incarnation_id self, const lease_times& times, bool skip_seal_permanence);

    /// Answers a renewal. None when the holder is known to have ended otherwise,
    /// or the table is full.
    std::optional<message> on_renew(time_point now, incarnation_id holder, const renew& body);
    /// Seals together with the holder; a seal that exists stays as it is. The
    /// result is the seal that is in force.
    std::optional<seal> on_holder_seal(incarnation_id holder, const holder_seal& body);
    /// Learns a holder's set. A higher set version restarts the promise, because
    /// the holder may still live on an acknowledgement of a witness of the older
    /// set. Returns true when this witness now watches the holder at that set.
    bool learn(time_point now, const member_row& row);
    /// The holder's end is proven; renewals are refused from now on.
    void on_certificate(incarnation_id holder);
    /// Seals holders whose promise expired. Restarts all promises after a pause
    /// of this process, since renewals may wait unread.
    std::vector<seal> on_tick(time_point now);

    [[nodiscard]] const seal* seal_of(incarnation_id holder) const;
    /// Holders whose lease still depends on this witness.
    [[nodiscard]] std::size_t active() const;
    [[nodiscard]] std::size_t size() const { return watches_.size(); }
    [[nodiscard]] std::uint32_t set_version_of(incarnation_id holder) const;

private:
    struct watch {
        std::uint32_t set_version = 0; ///< 0: only renewals are known, no row
        bool in_set = false;
        bool ended = false;
        placement_version adopted;
        time_point promise_end;
        std::optional<seal> sealed;
    };
    watch* find_or_add(time_point now, incarnation_id holder);

    incarnation_id self_;
    milliseconds promise_;
    milliseconds pause_threshold_;
    bool skip_seal_permanence_;
    std::map<incarnation_id, watch> watches_;
    std::optional<time_point> last_tick_;
};

} // namespace bulrushgw::ownership
