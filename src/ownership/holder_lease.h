#pragma once

/// The holder's side of the lease protocol: renewals, adoption of placement versions, and changes
/// of the witness set. A seal is a permanent refusal to renew the lease, and a certificate proves
/// that the lease ended permanently.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/messages.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Lease of one incarnation. Acknowledgements of the witnesses extend it. Not thread-safe.
class holder_lease {
public:
    explicit holder_lease(const lease_times& times) : times_{times} {}

    /// Starts renewing with the first witness set. Precondition: the row with this set is in the
    /// store.
    void start(std::uint32_t set_version, std::vector<incarnation_id> witnesses);

    /// The renewal to send now to all `renew_recipients`, or none if it is not due yet.
    std::optional<renew> due(time_point now);
    [[nodiscard]] std::vector<incarnation_id> renew_recipients() const;
    /// Makes the next renewal due at once.
    void renew_at_once() { next_renewal_ = time_point{}; }

    /// Processes an acknowledgement. During a change of the witness set, acknowledgements of the
    /// replaced and of the added witness have no effect on the lease. Returns true if the
    /// acknowledgement extended the lease or raised `adopted`.
    bool on_ack(time_point now, incarnation_id from, const renew_ack& ack);
    /// A witness refused a renewal because it sealed this incarnation.
    void on_refused(incarnation_id from);

    /// Sends `version` in renewals from now on, unless it is lower than the version in use.
    void adopt(placement_version version);
    /// Highest version that was recorded by a witness whose acknowledgements extend the lease.
    [[nodiscard]] placement_version adopted() const { return adopted_; }
    /// Highest version that any renewal contained or will contain.
    [[nodiscard]] placement_version offered() const { return offered_; }

    /// Begins to replace the witness `replaced` by `added`. From this call on, acknowledgements of
    /// `replaced` do not extend the lease. Only after this call may the row with the new set be
    /// written. Precondition: no change is in progress.
    void begin_change(incarnation_id replaced, incarnation_id added, std::uint32_t set_version);
    /// Reverts a change. Precondition: the row with the new set was not written and cannot be
    /// written any more.
    void abandon_change();
    /// Completes a change, after the remaining witness acknowledged the new set.
    void confirm_change();
    /// A change of the witness set in progress.
    struct set_change_state {
        incarnation_id replaced;
        incarnation_id added;
        incarnation_id remaining;
        std::uint32_t set_version = 0;
    };
    [[nodiscard]] const std::optional<set_change_state>& change() const { return change_; }

    /// Witnesses that may receive a holder seal. During a change, only the remaining witness may.
    /// Otherwise the replaced and the added witness could complete certificates of two set versions
    /// with different adopted versions.
    [[nodiscard]] std::vector<incarnation_id> holder_seal_recipients() const;

    [[nodiscard]] bool started() const { return set_version_ != 0; }
    [[nodiscard]] bool is_running(time_point now) const { return now < end_; }
    [[nodiscard]] time_point end() const { return end_; }
    [[nodiscard]] bool ever_ran() const { return end_ != time_point{}; }
    [[nodiscard]] std::uint32_t set_version() const { return set_version_; }
    [[nodiscard]] const std::vector<incarnation_id>& witnesses() const { return witnesses_; }
    [[nodiscard]] bool refused_by(incarnation_id witness) const;
    /// Time of the witness's last acknowledgement. If it has not acknowledged a renewal yet, the
    /// time at which the first renewal was sent to it.
    [[nodiscard]] time_point last_ack_time(incarnation_id witness) const;

private:
    /// True if acknowledgements of the witness extend the lease.
    [[nodiscard]] bool is_counted(incarnation_id witness) const;

    /// Number of latest renewals whose acknowledgements are still accepted.
    static constexpr std::size_t remembered_renewals = 16;
    struct sent_renewal {
        std::uint64_t sequence = 0;
        time_point at;
    };

    lease_times times_;
    std::uint32_t set_version_ = 0;
    std::vector<incarnation_id> witnesses_;
    std::optional<set_change_state> change_;
    std::uint64_t sequence_ = 0;
    std::array<sent_renewal, remembered_renewals> sent_{};
    time_point next_renewal_{};
    time_point end_{};
    placement_version adopted_;
    placement_version offered_;
    std::map<incarnation_id, time_point> last_ack_;
    std::vector<incarnation_id> refused_;
};

/// Throws `error` if the times would make the protocol unsafe or prevent it from making progress.
void validate(const lease_times& times);

} // namespace bulrushgw::ownership
