#pragma once

/// The members of each message in the order in which they are written. The order is part of the
/// protocol: a change requires a new protocol version.

#include <cstdint>
#include <tuple>
#include <type_traits>

#include "wire/messages.h"

namespace bulrushgw::wire::detail {

/// True for types whose members are listed below.
template <typename T>
inline constexpr bool has_fields = false;

#define BULRUSHGW_FIELDS(type, ...)                                                                \
    template <>                                                                                    \
    inline constexpr bool has_fields<type> = true;                                                 \
    template <typename Message>                                                                    \
    requires std::is_same_v<std::remove_const_t<Message>, type>                                    \
    constexpr auto fields([[maybe_unused]] Message& m)                                             \
    {                                                                                              \
        return std::tie(__VA_ARGS__);                                                              \
    }

BULRUSHGW_FIELDS(ownership::weighted_member, m.incarnation, m.weight)
BULRUSHGW_FIELDS(ownership::placement_list, m.version, m.members, m.overrides)
BULRUSHGW_FIELDS(ownership::member_row, m.incarnation, m.host, m.zone, m.region, m.address,
                 m.client_address, m.service, m.slots, m.checks_fences, m.set_version, m.witnesses,
                 m.adopted, m.state, m.ended_by)
BULRUSHGW_FIELDS(ownership::placement, m.service, m.ranges, m.current, m.previous, m.proposer,
                 m.reason)
BULRUSHGW_FIELDS(ownership::seal, m.holder, m.witness, m.set_version, m.adopted, m.with_holder)
BULRUSHGW_FIELDS(ownership::certificate, m.holder, m.adopted, m.cause)
BULRUSHGW_FIELDS(ownership::adoption, m.member, m.service, m.version, m.draining)
BULRUSHGW_FIELDS(ownership::rules_stamp, m.version, m.digest)
BULRUSHGW_FIELDS(ownership::renew, m.set_version, m.sequence, m.adopted)
BULRUSHGW_FIELDS(ownership::renew_ack, m.set_version, m.sequence, m.adopted)
BULRUSHGW_FIELDS(ownership::renew_refused, m.evidence)
BULRUSHGW_FIELDS(ownership::holder_seal, m.set_version, m.adopted)
BULRUSHGW_FIELDS(ownership::set_change, m.row)
BULRUSHGW_FIELDS(ownership::set_change_ack, m.set_version)
BULRUSHGW_FIELDS(ownership::gossip, m.items)
BULRUSHGW_FIELDS(ownership::digest, m.members, m.placements, m.certificates, m.adoptions, m.rules,
                 m.reply_wanted, m.requests_per_second)
BULRUSHGW_FIELDS(forward, m.number, m.service, m.route, m.range, m.key, m.request_id, m.attempt,
                 m.idempotent, m.worth, m.deadline, m.aim, m.method, m.path, m.headers, m.body,
                 m.has_alternative, m.body_bytes)
BULRUSHGW_FIELDS(forward_part, m.number, m.index, m.bytes)
BULRUSHGW_FIELDS(forward_credit, m.number, m.bytes)
BULRUSHGW_FIELDS(forward_reply, m.number, m.request_id, m.outcome, m.reason, m.version, m.load,
                 m.work_percent, m.intake_wait, m.retry_after, m.status, m.headers, m.body)
BULRUSHGW_FIELDS(cancel, m.number)
BULRUSHGW_FIELDS(no_replies, m.requests)
BULRUSHGW_FIELDS(probe, m.number)
BULRUSHGW_FIELDS(probe_reply, m.number)
BULRUSHGW_FIELDS(rules_pull, m.version)
BULRUSHGW_FIELDS(rules_text, m.version, m.digest, m.text, m.record)
BULRUSHGW_FIELDS(protocol_failure, m.reason)
BULRUSHGW_FIELDS(assignment::target_status, m.id, m.start_time_ms, m.service, m.slots, m.phase,
                 m.warming_up)
BULRUSHGW_FIELDS(assignment::holding, m.service, m.first, m.last, m.range_fence)
BULRUSHGW_FIELDS(assignment::released_keys, m.service, m.first, m.last, m.range_fence, m.handover,
                 m.evidence)
BULRUSHGW_FIELDS(assignment::key_load, m.service, m.counts)
BULRUSHGW_FIELDS(routing::evacuated_zone, m.name, m.version, m.age)
BULRUSHGW_FIELDS(routing::evacuation_snapshot, m.version, m.zones)
BULRUSHGW_FIELDS(assignment::report, m.term, m.sequence, m.echo, m.host, m.address, m.zone,
                 m.target, m.holdings, m.released, m.directory_version, m.manifest_version, m.loads,
                 m.mean_work_us, m.leaving, m.cleared_term, m.cpu_millicores, m.process_age,
                 m.evacuations_version, m.evacuations)
BULRUSHGW_FIELDS(assignment::node_record, m.node, m.host, m.address, m.zone, m.target,
                 m.cpu_millicores)
BULRUSHGW_FIELDS(assignment::segment, m.service, m.first, m.last, m.owner, m.target, m.range_fence,
                 m.handover, m.releasing)
BULRUSHGW_FIELDS(assignment::segment_start, m.service, m.first)
BULRUSHGW_FIELDS(assignment::directory_change, m.term, m.base, m.version, m.leader, m.nodes,
                 m.gone_nodes, m.segments, m.gone_segments)
BULRUSHGW_FIELDS(assignment::report_reply, m.term, m.sequence, m.leader_time_ms, m.leased,
                 m.superseded, m.clear_wanted, m.directory_version, m.manifest_version, m.content,
                 m.evacuations_version, m.evacuations, m.lease, m.longest_lease)
BULRUSHGW_FIELDS(assignment::leader_hint, m.term, m.leader, m.address)
BULRUSHGW_FIELDS(assignment::directory_update, m.content, m.forward_to)
BULRUSHGW_FIELDS(assignment::lead_request, m.term)
BULRUSHGW_FIELDS(assignment::confirm_request, m.term, m.leader_time_ms)
BULRUSHGW_FIELDS(assignment::leadership_notice, m.term, m.transfers, m.leader, m.address,
                 m.leader_time_ms)
BULRUSHGW_FIELDS(assignment::leader_record::member, m.node, m.host, m.address)
BULRUSHGW_FIELDS(assignment::recorded_nodes, m.members, m.successors, m.longest_lease)
BULRUSHGW_FIELDS(assignment::leadership_transfer::member_entry, m.record, m.live, m.leased,
                 m.inherits, m.leaving)
BULRUSHGW_FIELDS(assignment::leadership_transfer, m.term, m.transfers, m.report_sequence,
                 m.store_silence, m.row_version, m.beat, m.fence_count, m.content, m.members,
                 m.superseded, m.recorded, m.unresolved)

#undef BULRUSHGW_FIELDS

/// True for id types, which are written as their number.
template <typename T>
inline constexpr bool is_id = std::is_same_v<T, incarnation_id> || std::is_same_v<T, range_id> ||
                              std::is_same_v<T, placement_version> || std::is_same_v<T, fence> ||
                              std::is_same_v<T, store_version>;

/// The highest value of each enumeration that occurs in a message.
template <typename T>
inline constexpr std::uint64_t highest_enumerator = 0;
template <>
inline constexpr std::uint64_t highest_enumerator<ownership::member_state> =
    static_cast<std::uint64_t>(ownership::member_state::ended);
template <>
inline constexpr std::uint64_t highest_enumerator<assignment::target_phase> =
    static_cast<std::uint64_t>(assignment::target_phase::draining);
template <>
inline constexpr std::uint64_t highest_enumerator<assignment::release_evidence> =
    static_cast<std::uint64_t>(assignment::release_evidence::confirmed);
template <>
inline constexpr std::uint64_t
    highest_enumerator<forward_outcome> = static_cast<std::uint64_t>(forward_outcome::not_owner);

/// Numbers of the message types on the wire. An ownership message has the index of its alternative
/// in `ownership::message`; the other alternatives of `body` are numbered after them.
inline constexpr std::uint64_t first_non_ownership_type = std::variant_size_v<ownership::message>;
inline constexpr std::uint64_t message_type_count =
    first_non_ownership_type + std::variant_size_v<body> - 1;

} // namespace bulrushgw::wire::detail
