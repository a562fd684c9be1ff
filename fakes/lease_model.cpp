#include "fakes/lease_model.h"

#include <algorithm>

namespace bulrushgw::fakes {

namespace {

constexpr std::size_t witness_count = 3;
/// Renewals and acks are kept by the age of the renewal in time units: 0, 1, and old (2 or more).
/// An old message no longer extends the lease, but it still reports an adopted version.
constexpr std::size_t ages = model_lease_units + 1;
constexpr std::size_t message_bits = 2 * ages;
constexpr std::size_t message_steps = message_bits * witness_count;

/// Phases of a witness replacement. In `issued`, h ignores w1, and the store may accept the new set
/// from h at any time. In `changed`, h has received w2's confirmation of the new set.
enum phase : std::uint8_t { normal, issued, changed };

/// Makes every message one time unit older. The messages of one age take `width` bits.
std::uint8_t aged(std::uint8_t bits, unsigned width)
{
    const unsigned mask = (1U << width) - 1;
    const unsigned young = bits & mask;
    const unsigned older = (bits >> width | bits >> 2 * width) & mask;
    return static_cast<std::uint8_t>(young << width | older << 2 * width);
}

template <typename Count>
void count_down(Count& left)
{
    left = static_cast<Count>(left > 0 ? left - 1 : 0);
}

} // namespace

void witness_record::watch(std::int32_t now, std::int32_t promise, std::uint8_t set,
                           std::uint8_t version)
{
    watches_lease = 1;
    promise_until = now + promise;
    set_version = set;
    adopted = std::max(adopted, version);
}

bool witness_record::on_renew(std::int32_t now, std::int32_t promise, std::uint8_t version)
{
    if (sealed != 0) {
        return false;
    }
    promise_until = std::max(promise_until, now + promise);
    adopted = std::max(adopted, version);
    return true;
}

void witness_record::on_set_change(std::int32_t now, std::int32_t promise, std::uint8_t set,
                                   std::uint8_t version)
{
    if (sealed == 0 && set > set_version) {
        set_version = set;
        promise_until = std::max(promise_until, now + promise);
        adopted = std::max(adopted, version);
    }
}

void witness_record::make_seal(std::uint8_t version, bool holder)
{
    sealed = 1;
    seal_set = set_version;
    seal_adopted = version;
    with_holder = holder ? 1 : 0;
}

bool witness_record::on_time(std::int32_t now)
{
    if (watches_lease == 0 || sealed != 0 || now < promise_until) {
        return false;
    }
    make_seal(adopted, false);
    return true;
}

bool witness_record::on_holder_seal(std::uint8_t version)
{
    if (watches_lease == 0 || sealed != 0) {
        return false;
    }
    make_seal(version, true);
    return true;
}

int quorum_model::promise() const
{
    return rules_.promise_covers_lease ? model_lease_units : model_lease_units - 1;
}

quorum_model::state quorum_model::initial() const
{
    state first;
    for (std::size_t i = 0; i < 2; ++i) {
        first.witnesses[i].watch(0, promise(), 0, 0);
    }
    return first;
}

bool quorum_model::counts_witness(const state& at, std::size_t witness) const
{
    switch (witness) {
    case 0:
        return at.phase == normal;
    case 1:
        return true;
    default:
        return at.phase == changed || (at.phase == issued && !rules_.set_change_acked);
    }
}

const char* quorum_model::deliver_renewal(state& at, std::size_t bit, std::size_t witness) const
{
    static constexpr std::array labels{"w1 receives a renewal", "w2 receives a renewal",
                                       "w3 receives a renewal"};
    witness_record& record = at.witnesses[witness];
    if ((at.renewals >> bit & 1U) == 0 || (witness == 2 && at.phase == normal)) {
        return nullptr;
    }
    const auto version = static_cast<std::uint8_t>(bit % 2);
    if (record.on_renew(0, promise(), version) || !rules_.seal_permanence) {
        at.acks[witness] |= static_cast<std::uint8_t>(1U << bit);
    }
    return labels[witness];
}

const char* quorum_model::deliver_ack(state& at, std::size_t bit, std::size_t witness) const
{
    static constexpr std::array labels{"h receives an ack of w1", "h receives an ack of w2",
                                       "h receives an ack of w3"};
    if ((at.acks[witness] >> bit & 1U) == 0 || at.stopped != 0 || !counts_witness(at, witness)) {
        return nullptr;
    }
    const std::size_t age = bit / 2;
    at.lease_left = std::max(at.lease_left, static_cast<std::uint8_t>(model_lease_units - age));
    at.adopted = std::max(at.adopted, static_cast<std::uint8_t>(bit % 2));
    return labels[witness];
}

const char* quorum_model::take_other_step(state& at, std::size_t step) const
{
    switch (step) {
    case 0:
        for (witness_record& record : at.witnesses) {
            count_down(record.promise_until);
        }
        for (std::uint8_t& acks : at.acks) {
            acks = aged(acks, 2);
        }
        at.renewals = aged(at.renewals, 2);
        count_down(at.lease_left);
        return "time passes";
    case 1:
    case 2:
        // A renewal carries the highest adopted version sent so far.
        if (at.stopped != 0) {
            return nullptr;
        }
        at.sent_version = std::max(at.sent_version, static_cast<std::uint8_t>(step - 1));
        at.renewals |= static_cast<std::uint8_t>(1U << at.sent_version);
        return step == 1 ? "h sends a renewal" : "h adopts version 1 and sends a renewal";
    case 3:
        if (at.stopped != 0) {
            return nullptr;
        }
        at.stopped = 1;
        at.lease_left = 0;
        return "h stops and sends a holder seal";
    case 4:
        at.candidates[0] = 1;
        return "w1 adopts version 1";
    case 5:
        at.candidates[1] = 1;
        return "w2 adopts version 1";
    case 6:
    case 7:
    case 8:
        return at.witnesses[step - 6].on_time(0) ? "a witness seals by itself" : nullptr;
    case 9:
    case 10:
    case 11:
        if ((step == 9 && at.phase != normal && rules_.seal_with_staying_witness) ||
            (step == 11 && at.phase != changed)) {
            return nullptr;
        }
        return at.stopped != 0 && at.witnesses[step - 9].on_holder_seal(at.sent_version)
                   ? "a witness seals after the holder"
                   : nullptr;
    default:
        break;
    }
    if (!replacement_) {
        return nullptr;
    }
    switch (step) {
    case 12:
        if (at.stopped != 0 || at.phase != normal) {
            return nullptr;
        }
        at.phase = issued;
        at.row_adopted = at.sent_version;
        return "h ignores w1 and writes the set w2, w3";
    case 13:
        at.row_stored = at.phase == normal ? 0 : 1;
        return "the store takes the new set";
    case 14:
        if (at.row_stored == 0) {
            return nullptr;
        }
        at.witnesses[1].on_set_change(0, promise(), 1, at.row_adopted);
        return "w2 learns of the new set";
    case 15:
        if (at.row_stored == 0 || at.witnesses[2].watches_lease != 0) {
            return nullptr;
        }
        at.witnesses[2].watch(0, promise(), 1, at.row_adopted);
        return "w3 learns of the new set";
    case 16:
        // w2 may already have sealed with the new set, because its confirmation may arrive late.
        if (at.stopped != 0 || at.phase != issued || at.witnesses[1].set_version != 1) {
            return nullptr;
        }
        at.phase = changed;
        return "h receives the confirmation of w2";
    default:
        return nullptr;
    }
}

const char* quorum_model::take_step(state& at, std::size_t step) const
{
    if (step < message_steps) {
        return deliver_renewal(at, step / witness_count, step % witness_count);
    }
    step -= message_steps;
    if (step < message_steps) {
        return deliver_ack(at, step / witness_count, step % witness_count);
    }
    return take_other_step(at, step - message_steps);
}

std::string quorum_model::violation(const state& at) const
{
    // `certificate[v]` is true if the existing seals can form a certificate with adopted version v.
    std::array<bool, 2> certificate{};
    for (std::size_t i = 0; i < witness_count; ++i) {
        const witness_record& first = at.witnesses[i];
        if (first.sealed == 0) {
            continue;
        }
        if (first.with_holder != 0) {
            certificate[first.seal_adopted] = true;
        }
        for (std::size_t j = i + 1; j < witness_count; ++j) {
            const witness_record& second = at.witnesses[j];
            // A set has exactly two witnesses, so two seals with the same set form a certificate.
            if (second.sealed != 0 && second.seal_set == first.seal_set) {
                certificate[std::max(first.seal_adopted, second.seal_adopted)] = true;
            }
        }
    }
    if (certificate[0] && certificate[1]) {
        return "two certificates with different adopted versions";
    }
    const bool ended = certificate[0] || certificate[1];
    const bool ended_at_1 = certificate[1];
    // Every node is assumed to know every seal and adoption. A node that knows less serves in fewer
    // states, so this covers every way in which the knowledge can spread.
    const bool h_serves = at.stopped == 0 && at.lease_left > 0;
    const bool w1_serves =
        at.candidates[0] == 0 && ended && (!ended_at_1 || !rules_.certificate_version);
    // Version 0 is closed when its first candidate that remains has adopted version 1. With a
    // certificate for version 0, this is w1. Otherwise h itself adopted version 1 before it ended.
    const bool closed = certificate[0] ? at.candidates[0] == 1 : ended_at_1;
    const bool w2_serves = at.candidates[1] == 1 && ended && (closed || !rules_.previous_version);
    const int owners = int{h_serves} + int{w1_serves} + int{w2_serves};
    if (owners > 1) {
        return std::string{"two owners:"} + (h_serves ? " h" : "") + (w1_serves ? " w1" : "") +
               (w2_serves ? " w2" : "");
    }
    return {};
}

standby_model::state standby_model::initial() const
{
    state first;
    first.promise_left[0] = model_lease_units;
    first.watches[0] = 1;
    return first;
}

const char* standby_model::take_step(state& at, std::size_t step) const
{
    if (step < 2 * ages) {
        const std::size_t age = step / 2;
        const std::size_t standby = step % 2;
        if ((at.renewals[standby] >> age & 1U) == 0 || at.took_over[standby] != 0) {
            return nullptr;
        }
        at.watches[standby] = 1;
        at.promise_left[standby] = model_lease_units;
        at.acks[standby] |= static_cast<std::uint8_t>(1U << age);
        return standby == 0 ? "s1 receives a renewal" : "s2 receives a renewal";
    }
    step -= 2 * ages;
    if (step < 2 * ages) {
        const std::size_t age = step / 2;
        const std::size_t standby = step % 2;
        if ((at.acks[standby] >> age & 1U) == 0 || at.standby != standby) {
            return nullptr;
        }
        at.lease_left = std::max(at.lease_left, static_cast<std::uint8_t>(model_lease_units - age));
        return standby == 0 ? "owner receives an ack of s1" : "owner receives an ack of s2";
    }
    step -= 2 * ages;
    switch (step) {
    case 0:
        for (std::size_t i = 0; i < 2; ++i) {
            count_down(at.promise_left[i]);
            at.renewals[i] = aged(at.renewals[i], 1);
            at.acks[i] = aged(at.acks[i], 1);
        }
        count_down(at.lease_left);
        return "time passes";
    case 1:
        at.renewals[at.standby] |= 1U;
        return "owner sends a renewal";
    case 2:
        if (at.standby != 0 || (repaired_ && at.store_taken != 0)) {
            return nullptr;
        }
        at.store_standby = 1;
        at.standby = 1;
        return "owner replaces s1 by s2 in the store";
    case 3:
    case 4: {
        const std::size_t standby = step - 3;
        const bool promise_ended = at.watches[standby] != 0 && at.promise_left[standby] == 0;
        const bool vote = at.store_standby == standby && at.store_taken == 0;
        if (!promise_ended || (repaired_ && !vote)) {
            return nullptr;
        }
        at.took_over[standby] = 1;
        at.store_taken = 1;
        return standby == 0 ? "s1 takes over" : "s2 takes over";
    }
    default:
        return nullptr;
    }
}

std::string standby_model::violation(const state& at) const
{
    const int owners =
        int{at.lease_left > 0} + int{at.took_over[0] != 0} + int{at.took_over[1] != 0};
    return owners > 1 ? "two owners" : "";
}

} // namespace bulrushgw::fakes
