#include <algorithm>
#include <cmath>

#include "ownership/engine_state.h"

namespace bulrushgw::ownership {

namespace {

/// Bounds on the number of items in one gossip message and on their estimated total size. More
/// items are split into several messages.
constexpr std::size_t max_items_per_gossip = 64;
constexpr std::size_t max_bytes_per_gossip = std::size_t{64} * 1024;
/// Bound on the items in one answer to a digest. Each answer starts where the last one ended, so
/// that repeated exchanges cover all items.
constexpr std::size_t max_items_per_digest_answer = 512;
constexpr std::size_t digest_peers = 2;

std::size_t size_of(const gossip_item& item)
{
    constexpr std::size_t small_item_bytes = 64;
    constexpr std::size_t member_row_bytes = 400;
    constexpr std::size_t list_entry_bytes = 16;
    if (std::holds_alternative<member_row>(item)) {
        return member_row_bytes;
    }
    if (const auto* record = std::get_if<placement>(&item)) {
        return small_item_bytes +
               (record->current.members.size() + record->previous.members.size() +
                record->current.overrides.size() + record->previous.overrides.size()) *
                   list_entry_bytes;
    }
    if (const auto* adopted = std::get_if<adoption>(&item)) {
        return small_item_bytes + adopted->draining.size() * sizeof(range_id);
    }
    return small_item_bytes;
}

std::vector<gossip> split(const std::vector<gossip_item>& items)
{
    std::vector<gossip> batches;
    std::size_t bytes = 0;
    for (const gossip_item& item : items) {
        const std::size_t size = size_of(item);
        if (batches.empty() || batches.back().items.size() >= max_items_per_gossip ||
            bytes + size > max_bytes_per_gossip) {
            batches.emplace_back();
            bytes = 0;
        }
        batches.back().items.push_back(item);
        bytes += size;
    }
    return batches;
}

} // namespace

void engine::state::accept(time_point now, const gossip_item& item)
{
    if (const auto* row = std::get_if<member_row>(&item)) {
        accept_member(now, *row);
    }
    else if (const auto* record = std::get_if<placement>(&item)) {
        accept_placement(now, *record);
    }
    else if (const auto* sealed = std::get_if<seal>(&item)) {
        accept_seal(now, *sealed);
    }
    else if (const auto* ended = std::get_if<certificate>(&item)) {
        accept_certificate(now, *ended);
    }
    else if (const auto* adopted = std::get_if<adoption>(&item)) {
        accept_adoption(*adopted);
    }
    else if (const auto* stamp = std::get_if<rules_stamp>(&item)) {
        if (stamp->version > rules.version) {
            rules = *stamp;
            publish(*stamp);
        }
    }
}

void engine::state::accept_member(time_point now, const member_row& row)
{
    const bool ended = row.state == member_state::ended;
    if (row.incarnation == self && !ended) {
        return; // `own_row` is newer than any copy of it
    }
    const certificate* known = shared.certificate_of(row.incarnation);
    if (shared.merge(now, row)) {
        publish(row);
    }
    else if (known != nullptr && !ended && gossip_sender && gossip_sender != row.incarnation) {
        // The sender does not know that the member ended.
        send_items(gossip_sender, {*known});
        return;
    }
    if (ended) {
        accept_certificate(now, {row.incarnation, row.adopted, "store"});
        return;
    }
    witness.update_witness_set(now, row);
    if (const seal* evidence = witness.seal_of(row.incarnation)) {
        accept_seal(now, *evidence);
    }
}

void engine::state::accept_placement(time_point now, const placement& record)
{
    if (!shared.merge(record)) {
        return;
    }
    publish(record);
    serving_dirty = true;
    if (record.service == own_row.service) {
        propose_at.reset();
        const auto is_new = [&](const weighted_member& member) {
            return std::none_of(record.previous.members.begin(), record.previous.members.end(),
                                [&](const weighted_member& before) {
                                    return before.incarnation == member.incarnation;
                                });
        };
        if (std::any_of(record.current.members.begin(), record.current.members.end(), is_new)) {
            last_addition = now;
        }
    }
    for (const weighted_member& member : record.current.members) {
        // Peers may have dropped this seal if it was made before the member was placed.
        if (const seal* evidence = witness.seal_of(member.incarnation)) {
            accept_seal(now, *evidence);
        }
    }
}

void engine::state::accept_adoption(const adoption& item)
{
    if (item.member != self && shared.merge(item)) {
        publish(*shared.adoption_of(item.member));
        serving_dirty = true;
    }
}

void engine::state::accept_seal(time_point now, const seal& item)
{
    if (!shared.merge(item)) {
        return;
    }
    publish(item);
    if (const auto proof = shared.prove(item.holder)) {
        accept_certificate(now, *proof);
    }
}

void engine::state::accept_certificate(time_point now, const certificate& item)
{
    if (!shared.merge(item)) {
        return;
    }
    publish(item);
    witness.on_certificate(item.holder);
    serving_dirty = true;
    audit(audit_kind::end, item.holder, "certificate by " + item.cause);
    if (item.holder == self) {
        finish_end(now, ending ? ending->cause : "certificate by " + item.cause);
    }
}

void engine::state::send_to(incarnation_id to, message body)
{
    const member_row* row = shared.find(to);
    effects.emplace_back(send{to, row == nullptr ? std::string{} : row->address, std::move(body)});
}

void engine::state::send_items(incarnation_id to, const std::vector<gossip_item>& items)
{
    for (gossip& batch : split(items)) {
        send_to(to, std::move(batch));
    }
}

std::vector<incarnation_id> engine::state::random_peers(std::size_t count)
{
    std::vector<incarnation_id> peers;
    for (const member_row* row : shared.live_rows(self)) {
        peers.push_back(row->incarnation);
    }
    for (std::size_t i = 0; i < std::min(count, peers.size()); ++i) {
        std::swap(peers[i], peers[i + random.below(peers.size() - i)]);
    }
    peers.resize(std::min(count, peers.size()));
    return peers;
}

void engine::state::flush_gossip()
{
    if (gossip_to_forward.empty()) {
        gossip_sender = {};
        return;
    }
    const std::vector<gossip_item> items = std::exchange(gossip_to_forward, {});
    const std::size_t known = shared.members().size();
    const bool to_all = known <= settings.broadcast_limit + 1;
    for (const incarnation_id peer : random_peers(to_all ? known : settings.fanout)) {
        if (peer != gossip_sender) {
            send_items(peer, items);
        }
    }
    gossip_sender = {};
}

digest engine::state::own_digest(bool reply_wanted) const
{
    digest result = shared.summary();
    result.rules = rules;
    result.requests_per_second = static_cast<std::uint32_t>(std::lround(own_requests_per_second()));
    result.reply_wanted = reply_wanted;
    return result;
}

void engine::state::exchange_digests(time_point now)
{
    if (now < next_digest) {
        return;
    }
    const bool first = next_digest == time_point{};
    const milliseconds interval = settings.times.digest_interval;
    next_digest = now + random.between(interval * 3 / 4, interval * 5 / 4);
    shared.prune(now, self);
    const digest summary = own_digest(true);
    const std::vector<incarnation_id> peers = random_peers(digest_peers);
    for (const incarnation_id peer : peers) {
        send_to(peer, summary);
    }
    if (first || peers.empty()) {
        for (const std::string& address : settings.join_peers) {
            if (address != settings.address) {
                effects.emplace_back(send{{}, address, gossip{{own_row}}});
                effects.emplace_back(send{{}, address, summary});
            }
        }
    }
}

void engine::state::on_digest(time_point now, incarnation_id from, const digest& theirs)
{
    on_peer_load(now, from, theirs.requests_per_second);
    const digest mine = own_digest(false);
    std::vector<gossip_item> items;
    if (theirs.members != mine.members) {
        for (const auto& [id, member] : shared.members()) {
            items.emplace_back(member.row);
        }
    }
    if (theirs.placements != mine.placements) {
        for (const auto& [service, view] : shared.placements()) {
            items.emplace_back(view->record);
        }
    }
    if (theirs.certificates != mine.certificates || theirs.members != mine.members) {
        for (const auto& [id, item] : shared.certificates()) {
            items.emplace_back(item);
        }
        for (const seal& item : shared.seals().all()) {
            items.emplace_back(item);
        }
    }
    if (theirs.adoptions != mine.adoptions) {
        for (const auto& [id, item] : shared.adoptions()) {
            items.emplace_back(item);
        }
    }
    if (rules.version > theirs.rules.version) {
        items.emplace_back(rules);
    }
    if (items.size() > max_items_per_digest_answer) {
        const std::size_t start = digest_offset % items.size();
        std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(start), items.end());
        items.resize(max_items_per_digest_answer);
        digest_offset += max_items_per_digest_answer;
    }
    send_items(from, items);
    if (theirs.reply_wanted) {
        send_to(from, mine);
    }
}

} // namespace bulrushgw::ownership
