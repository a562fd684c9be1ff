#pragma once

/// The witness's side of the lease protocol. A seal is a permanent refusal to renew the lease of a
/// holder. A witness promises not to seal a holder for some time. Each renewal extends the promise,
/// and the witness seals the holder when the promise expires.

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/messages.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// State of one witness for all holders that it watches. Not thread-safe.
class witness_table {
public:
    /// Bound on watched and sealed holders. A full table refuses new holders instead of evicting
    /// old ones, because an ended holder whose seal is dropped could renew again.
    static constexpr std::size_t limit = 16384;

    witness_table(incarnation_id self, const lease_times& times, bool skip_seal_permanence);

    /// Returns the answer to a renewal: a refusal if this witness has made a seal for the holder,
    /// otherwise an acknowledgement. None if a certificate already proves the holder's end without
    /// a seal of this witness, or if the holder is new and the table has no room for it.
    std::optional<message> on_renew(time_point now, incarnation_id holder, const renew& body);
    /// Seals the holder on the holder's own request. If this witness has sealed the holder before,
    /// the existing seal stays, because a seal never changes. Returns this witness's seal, or none
    /// if this witness does not watch the holder.
    std::optional<seal> on_holder_seal(incarnation_id holder, const holder_seal& body);
    /// Updates a holder's witness set from its row. A higher set version restarts the promise,
    /// because the holder's lease may still depend on an acknowledgement of a witness of the older
    /// set. Returns true if this witness now watches the holder at the version in `row` or higher.
    bool update_witness_set(time_point now, const member_row& row);
    /// Call when the end of the holder is proven. Renewals of the holder are then no longer
    /// acknowledged.
    void on_certificate(incarnation_id holder);
    /// Seals holders whose promise expired, and returns the new seals. After a pause of this
    /// process, restarts all promises instead, because unread renewals may be waiting.
    std::vector<seal> on_tick(time_point now);

    [[nodiscard]] const seal* seal_of(incarnation_id holder) const;
    /// Number of holders whose lease still depends on this witness.
    [[nodiscard]] std::size_t active_holders() const;
    [[nodiscard]] std::size_t size() const { return watches_.size(); }
    [[nodiscard]] std::uint32_t set_version_of(incarnation_id holder) const;

private:
    struct watch {
        std::uint32_t set_version = 0; ///< 0: renewals arrived, but no row with a witness set yet
        bool in_set = false;           ///< this witness is in the set
        bool ended = false;
        placement_version adopted; ///< highest version in the holder's renewals and rows
        time_point promise_end;    ///< this witness does not seal the holder before this time
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
