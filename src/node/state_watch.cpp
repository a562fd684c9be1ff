#include "node/state_watch.h"

#include <utility>

namespace bulrushgw::node {

void state_watch::write_line(event_kind kind, std::optional<std::uint64_t> version,
                             std::string cause)
{
    log_event event;
    event.kind = kind;
    event.version = version;
    event.cause = std::move(cause);
    write_(event);
}

void state_watch::observe(const observed_state& state)
{
    if (state.lease_running != last_.lease_running) {
        write_line(state.lease_running ? event_kind::lease_running : event_kind::lease_lost);
    }
    if (state.store_outcome_known &&
        (state.store_up != last_.store_up || !last_.store_outcome_known)) {
        write_line(state.store_up ? event_kind::store_up : event_kind::store_down);
    }
    if (state.rules_stale != last_.rules_stale) {
        write_line(state.rules_stale ? event_kind::rules_stale : event_kind::rules_fresh);
    }
    if (state.rules_version != last_.rules_version) {
        write_line(event_kind::rules_applied, state.rules_version);
    }
    if (state.target_silent && !last_.target_silent) {
        write_line(event_kind::target_silent);
    }
    if (state.target_draining && !last_.target_draining) {
        write_line(event_kind::target_draining);
    }
    if (state.member != last_.member) {
        write_line(state.member ? event_kind::joined : event_kind::left);
    }
    constexpr std::size_t witnesses_needed = 2;
    const bool too_few = state.target_known && state.other_members < witnesses_needed;
    const bool were_too_few = last_.target_known && last_.other_members < witnesses_needed;
    if (too_few && !were_too_few) {
        write_line(event_kind::too_few_witnesses);
    }
    last_ = state;
}

} // namespace bulrushgw::node
