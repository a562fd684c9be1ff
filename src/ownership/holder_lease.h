#pragma once

/// The holder side of the lease protocol: renewals, adoption, witness sets.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/messages.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Lease of one incarnation. Not thread-safe.
class holder_lease {
public:
    explicit holder_lease(const lease_times& times) : times_{times} {}

    /// Begins to renew with the first witness set, whose row is in the store.
    void start(std::uint32_t set_version, std::vector<incarnation_id> witnesses);

    /// The renewal to send now, or none. Send it to every one of `renew_targets`.
    std::optional<renew> due(time_point now);
    [[nodiscard]] std::vector<incarnation_id> renew_targets() const;
    /// Makes the next renewal due at once.
    void renew_at_once() { next_renewal_ = time_point{}; }

    /// Counts an acknowledgement. Those of a witness that is being replaced, or
    /// not yet confirmed, do not count. Returns true when one extended the lease
    /// or confirmed the adoption.
    bool on_ack(time_point now, incarnation_id from, const renew_ack& ack);
    void on_refused(incarnation_id from);

    /// Raises the version that renewals carry. Never lowers it.
    void adopt(placement_version version);
    /// Highest version that a counted witness recorded.
    [[nodiscard]] placement_version adopted() const { return adopted_; }
    /// Highest version that any renewal carried or will carry.
    [[nodiscard]] placement_version offered() const { return offered_; }

    /// Stops counting `lost`. Precondition: no change is open. After this the
    /// row with the new set may be written.
    void begin_change(incarnation_id lost, incarnation_id added, std::uint32_t set_version);
    /// The row of the change certainly was not and will not be written.
    void abandon_change();
    /// The witness that stays moved to the new set.
    void confirm_change();
    struct set_change_state {
        incarnation_id lost;
        incarnation_id added;
        incarnation_id stays;
        std::uint32_t set_version = 0;
    };
    [[nodiscard]] const std::optional<set_change_state>& change() const { return change_; }

    /// Witnesses that may receive a holder seal. While a change is open it is
    /// only the one that stays: the others could complete certificates of two
    /// set versions with different adopted versions.
    [[nodiscard]] std::vector<incarnation_id> holder_seal_targets() const;

    [[nodiscard]] bool started() const { return set_version_ != 0; }
    [[nodiscard]] bool is_running(time_point now) const { return now < end_; }
    [[nodiscard]] time_point end() const { return end_; }
    [[nodiscard]] bool ever_ran() const { return end_ != time_point{}; }
    [[nodiscard]] std::uint32_t set_version() const { return set_version_; }
    [[nodiscard]] const std::vector<incarnation_id>& witnesses() const { return witnesses_; }
    [[nodiscard]] bool refused_by(incarnation_id witness) const;
    /// Time of the witness's last acknowledgement, or of its first renewal.
    [[nodiscard]] time_point last_heard(incarnation_id witness) const;

private:
    [[nodiscard]] bool counts(incarnation_id witness) const;

    /// Renewals whose acknowledgement can still extend the lease.
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
    std::map<incarnation_id, time_point> heard_;
    std::vector<incarnation_id> refused_;
};

/// Throws `error` unless the times keep the protocol safe and live.
void validate(const lease_times& times);

} // namespace bulrushgw::ownership
