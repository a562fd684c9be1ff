#pragma once

/// Compact models of two lease and takeover protocols for one range: the standby protocol (way C of
/// the design page) and the shipped lease quorums (way D). All times are whole units relative to
/// the present. The number of states is therefore finite, although a run may last for any time.
/// Messages are never removed, so that each may be delivered late, twice, in any order or not at
/// all. A paused process is modelled as one that takes no step while time passes.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bulrushgw::fakes {

namespace detail {

/// Emits the successors of a state with their labels. `take` applies a step to a state and returns
/// the label of the step, or null if the step is not possible.
template <typename State, typename Emit, typename Take>
void emit_steps(const State& from, std::size_t step_count, Emit& emit, Take take)
{
    for (std::size_t step = 0; step < step_count; ++step) {
        State next = from;
        const char* label = take(next, step);
        if (label != nullptr && !(next == from)) {
            emit(next, label);
        }
    }
}

} // namespace detail

/// The state of a witness for one lease, and its decisions. A test compares the decisions with
/// those of the engine; the exploration uses the same functions.
struct witness_record {
    std::int32_t promise_until = 0; ///< in the time unit of the caller
    std::uint8_t watches_lease = 0; ///< 1 if the witness has learned of the lease
    std::uint8_t set_version = 0;
    std::uint8_t adopted = 0; ///< highest adopted version that the holder reported
    std::uint8_t sealed = 0;
    std::uint8_t seal_set = 0;     ///< set version in the seal
    std::uint8_t seal_adopted = 0; ///< adopted version in the seal
    std::uint8_t with_holder = 0;  ///< 1 if the seal was made at the request of the holder
    std::uint8_t unused = 0; ///< fills the padding, because states are compared by their bytes
    bool operator==(const witness_record&) const = default;

    void watch(std::int32_t now, std::int32_t promise, std::uint8_t set, std::uint8_t version);
    /// Returns true if the witness acknowledges the renewal, false if it has already sealed.
    bool on_renew(std::int32_t now, std::int32_t promise, std::uint8_t version);
    void on_set_change(std::int32_t now, std::int32_t promise, std::uint8_t set,
                       std::uint8_t version);
    /// Seals if the promise has ended. Returns true if a seal was made.
    bool on_time(std::int32_t now);
    /// Seals at the request of the holder. Returns true if a seal was made.
    bool on_holder_seal(std::uint8_t version);

private:
    void make_seal(std::uint8_t version, bool holder);
};

/// Rules of way D. Each can be disabled to show that the protocol is unsafe without it.
struct lease_rules {
    bool certificate_version = true; ///< a candidate ignores certificates above its own version
    bool previous_version = true; ///< a candidate serves only after the previous version is closed
    bool seal_permanence = true;  ///< a witness acknowledges no renewal after its seal
    bool promise_covers_lease = true; ///< a promise is not shorter than the lease
    /// Acknowledgements of a new witness count only after the staying witness, which is in both
    /// sets, has confirmed the new set.
    bool set_change_acked = true;
    /// Once the store may contain the new set, a holder seal no longer goes to the replaced
    /// witness. From then until the set change is confirmed, it goes only to the staying witness.
    bool seal_with_staying_witness = true;
};

inline constexpr int model_lease_units = 2; ///< length of a lease

/// Way D. The holder h owns the range, and w1 and w2 are its witnesses. The candidates for
/// ownership are, in this order, h, w1, w2 in placement version 0 and h, w2, w1 in version 1. With
/// `replacement`, a third witness w3 replaces w1 in set version 1.
class quorum_model {
public:
    struct state {
        std::array<witness_record, 3> witnesses;
        std::uint8_t renewals = 0;          ///< one bit for each age and adopted version
        std::array<std::uint8_t, 3> acks{}; ///< one bit for each renewal age and adopted version
        std::uint8_t lease_left = 0;
        std::uint8_t sent_version = 0; ///< highest adopted version in a renewal
        std::uint8_t adopted = 0; ///< highest adopted version that was acknowledged and published
        std::uint8_t stopped = 0; ///< holder seal sent
        std::uint8_t phase = 0;   ///< of the witness replacement; values in lease_model.cpp
        std::uint8_t row_stored = 0;  ///< the store has set version 1
        std::uint8_t row_adopted = 0; ///< adopted version in the member row of set version 1
        std::array<std::uint8_t, 2> candidates{}; ///< version adopted by w1 and w2
        std::array<std::uint8_t, 3> unused{};
        bool operator==(const state&) const = default;
    };

    quorum_model(lease_rules rules, bool replacement) : rules_(rules), replacement_(replacement) {}

    [[nodiscard]] state initial() const;
    template <typename Emit>
    void steps(const state& from, Emit emit) const
    {
        detail::emit_steps(from, step_count, emit,
                           [this](state& next, std::size_t step) { return take_step(next, step); });
    }
    [[nodiscard]] std::string violation(const state& at) const;

private:
    static constexpr std::size_t step_count = 54;
    const char* take_step(state& at, std::size_t step) const;
    const char* deliver_renewal(state& at, std::size_t bit, std::size_t witness) const;
    const char* deliver_ack(state& at, std::size_t bit, std::size_t witness) const;
    const char* take_other_step(state& at, std::size_t step) const;
    [[nodiscard]] bool counts_witness(const state& at, std::size_t witness) const;
    [[nodiscard]] int promise() const;

    lease_rules rules_;
    bool replacement_;
};

/// Way C. One standby acknowledges the owner's renewals and takes over when the standby's promise
/// has ended. The owner can replace the standby in the store. With `repaired`, both a takeover and
/// a replacement also need the vote of the store.
class standby_model {
public:
    struct state {
        std::array<std::uint8_t, 2> promise_left{};
        std::array<std::uint8_t, 2> watches{};
        std::array<std::uint8_t, 2> took_over{};
        std::array<std::uint8_t, 2> renewals{}; ///< by standby; one bit for each age
        std::array<std::uint8_t, 2> acks{};     ///< by standby; one bit for each age of the renewal
        std::uint8_t lease_left = 0;
        std::uint8_t standby = 0; ///< the standby that the owner renews its lease with
        std::uint8_t store_standby = 0;
        std::uint8_t store_taken = 0;
        bool operator==(const state&) const = default;
    };

    explicit standby_model(bool repaired) : repaired_(repaired) {}

    [[nodiscard]] state initial() const;
    template <typename Emit>
    void steps(const state& from, Emit emit) const
    {
        detail::emit_steps(from, step_count, emit,
                           [this](state& next, std::size_t step) { return take_step(next, step); });
    }
    [[nodiscard]] std::string violation(const state& at) const;

private:
    static constexpr std::size_t step_count = 17;
    const char* take_step(state& at, std::size_t step) const;

    bool repaired_;
};

} // namespace bulrushgw::fakes
