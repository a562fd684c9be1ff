#include "ownership/holder_lease.h"

#include <algorithm>

#include "common/errors.h"

namespace bulrushgw::ownership {

namespace {
bool contains(const std::vector<incarnation_id>& ids, incarnation_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}
} // namespace

void holder_lease::start(std::uint32_t set_version, std::vector<incarnation_id> witnesses)
{
    set_version_ = set_version;
    witnesses_ = std::move(witnesses);
    renew_at_once();
}

std::optional<renew> holder_lease::due(time_point now)
{
    if (!started() || now < next_renewal_) {
        return std::nullopt;
    }
    next_renewal_ = now + times_.renewal;
    ++sequence_;
    sent_[sequence_ % remembered_renewals] = {sequence_, now};
    for (const incarnation_id recipient : renew_recipients()) {
        last_ack_.try_emplace(recipient, now);
    }
    const std::uint32_t version = change_ ? change_->set_version : set_version_;
    return renew{version, sequence_, offered_};
}

std::vector<incarnation_id> holder_lease::renew_recipients() const
{
    std::vector<incarnation_id> recipients = witnesses_;
    if (change_) {
        std::erase(recipients, change_->replaced);
        recipients.push_back(change_->added);
    }
    return recipients;
}

bool holder_lease::is_counted(incarnation_id witness) const
{
    return contains(witnesses_, witness) && !(change_ && change_->replaced == witness);
}

bool holder_lease::on_ack(time_point now, incarnation_id from, const renew_ack& ack)
{
    const sent_renewal& sent = sent_[ack.sequence % remembered_renewals];
    if (ack.sequence == 0 || sent.sequence != ack.sequence) {
        return false;
    }
    if (const auto last_ack = last_ack_.find(from); last_ack != last_ack_.end()) {
        last_ack->second = std::max(last_ack->second, now);
    }
    if (!is_counted(from)) {
        return false;
    }
    const time_point end = std::max(end_, sent.at + times_.lease);
    const placement_version adopted = std::max(adopted_, std::min(ack.adopted, offered_));
    const bool changed = end != end_ || adopted != adopted_;
    end_ = end;
    adopted_ = adopted;
    return changed;
}

void holder_lease::on_refused(incarnation_id from)
{
    if (!contains(refused_, from)) {
        refused_.push_back(from);
    }
}

void holder_lease::adopt(placement_version version)
{
    if (version > offered_) {
        offered_ = version;
        renew_at_once();
    }
}

void holder_lease::begin_change(incarnation_id replaced, incarnation_id added,
                                std::uint32_t set_version)
{
    set_change_state change{replaced, added, {}, set_version};
    for (const incarnation_id witness : witnesses_) {
        if (witness != replaced) {
            change.remaining = witness;
        }
    }
    change_ = change;
    last_ack_.erase(added);
}

void holder_lease::abandon_change()
{
    change_.reset();
}

void holder_lease::confirm_change()
{
    witnesses_ = {change_->remaining, change_->added};
    set_version_ = change_->set_version;
    last_ack_.erase(change_->replaced);
    std::erase(refused_, change_->replaced);
    change_.reset();
}

std::vector<incarnation_id> holder_lease::holder_seal_recipients() const
{
    return change_ ? std::vector<incarnation_id>{change_->remaining} : witnesses_;
}

bool holder_lease::refused_by(incarnation_id witness) const
{
    return contains(refused_, witness);
}

time_point holder_lease::last_ack_time(incarnation_id witness) const
{
    const auto found = last_ack_.find(witness);
    return found == last_ack_.end() ? time_point{} : found->second;
}

void validate(const lease_times& times)
{
    constexpr unsigned drift_limit_permille = 500;
    constexpr int renewals_per_lease = 3;
    const auto require = [](bool condition, const char* text) {
        if (!condition) {
            throw error(std::string{"lease times: "} + text);
        }
    };
    require(times.tick.count() > 0 && times.renewal > times.tick,
            "renewal must be longer than tick, and tick above 0");
    require(times.lease >= times.renewal * renewals_per_lease,
            "lease must be at least 3 renewal intervals, or one lost message ends it");
    require(times.drift_permille < drift_limit_permille, "drift must be below 500 permille");
    require(times.pause_threshold > times.tick, "pause threshold must be longer than tick");
    require(times.digest_interval.count() > 0, "digest interval must be above 0");
}

} // namespace bulrushgw::ownership
