#include "ownership/engine.h"

#include <algorithm>

#include "common/hash.h"
#include "ownership/engine_state.h"

namespace bulrushgw::ownership {

namespace {

constexpr std::chrono::seconds recent_contact_limit{30};

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

incarnation_id make_incarnation(random_source& random)
{
    incarnation_id id;
    while (!id) {
        id.value = random.next();
    }
    return id;
}

engine_settings validated(engine_settings settings)
{
    validate(settings.times);
    return settings;
}

} // namespace

engine::state::state(engine_settings settings_in, std::uint64_t seed, time_point now)
    : settings{validated(std::move(settings_in))}, random{seed}, self{make_incarnation(random)},
      witness{self, settings.times, settings.unsafe.skip_seal_permanence}, lease{settings.times}
{
    own_row.incarnation = self;
    own_row.host = settings.host;
    own_row.zone = settings.zone;
    own_row.region = settings.region;
    own_row.address = settings.address;
    own_row.client_address = settings.client_address;
    shared.merge(now, own_row);
}

void engine::state::audit(audit_kind kind, incarnation_id subject, std::string cause)
{
    audit_event event;
    event.kind = kind;
    event.service = own_row.service;
    event.subject = subject;
    event.cause = std::move(cause);
    effects.emplace_back(std::move(event));
}

void engine::state::on_renew(time_point now, incarnation_id from, const renew& body)
{
    const certificate* ended = shared.certificate_of(from);
    if (ended != nullptr && !settings.unsafe.skip_seal_permanence) {
        witness.on_certificate(from);
        if (const seal* evidence = witness.seal_of(from)) {
            send_to(from, renew_refused{*evidence});
        }
        send_items(from, {*ended});
        return;
    }
    const member_row* row = shared.find(from);
    const auto view = row == nullptr ? nullptr : shared.placement_of(row->service);
    const std::uint64_t newest = view ? view->record.current.version.value : 0;
    if (view && view->record.ranges > 0 && body.adopted.value != 0 &&
        body.adopted.value + 1 < newest && !settings.unsafe.skip_seal_permanence) {
        // `body.adopted` is older than the previous version, and such a version is closed. The
        // holder must have ended, and this node has already dropped the certificate of that end.
        send_items(from, {view->record});
        return;
    }
    if (auto answer = witness.on_renew(now, from, body)) {
        send_to(from, std::move(*answer));
    }
}

void engine::state::on_set_change(time_point now, incarnation_id from, const set_change& body)
{
    if (body.row.incarnation != from) {
        return;
    }
    accept_member(now, body.row);
    witness.update_witness_set(now, body.row);
    if (const seal* evidence = witness.seal_of(from)) {
        send_to(from, renew_refused{*evidence});
        return;
    }
    send_to(from, set_change_ack{witness.set_version_of(from)});
}

void engine::state::on_message(time_point now, incarnation_id from, const message& body)
{
    if (from == self || stopped) {
        return;
    }
    last_message_time = now;
    shared.on_message_from(now, from);
    gossip_sender = from;
    std::visit(overloaded{
                   [&](const renew& item) { on_renew(now, from, item); },
                   [&](const renew_ack& item) {
                       if (!ending && lease.on_ack(now, from, item)) {
                           complete_adoption(now);
                       }
                   },
                   [&](const renew_refused& item) {
                       if (item.evidence.holder == self && item.evidence.witness == from) {
                           lease.on_refused(from);
                           accept_seal(now, item.evidence);
                       }
                   },
                   [&](const holder_seal& item) {
                       if (const auto made = witness.on_holder_seal(from, item)) {
                           accept_seal(now, *made);
                           send_items(from, {*made});
                       }
                   },
                   [&](const set_change& item) { on_set_change(now, from, item); },
                   [&](const set_change_ack& item) { on_set_change_ack(now, from, item); },
                   [&](const gossip& item) {
                       for (const gossip_item& each : item.items) {
                           accept(now, each);
                       }
                   },
                   [&](const digest& item) { on_digest(now, from, item); },
               },
               body);
    // Records the time of the message again, because the sender's row may have arrived only with
    // this message.
    shared.on_message_from(now, from);
    after_event(now);
}

void engine::state::after_event(time_point now)
{
    if (!stopped) {
        consider_adoption(now);
        update_serving(now);
    }
    flush_gossip();
}

void engine::state::on_tick(time_point now)
{
    if (stopped) {
        return;
    }
    for (const seal& made : witness.on_tick(now)) {
        audit(audit_kind::seal, made.holder, "its promise expired");
        accept_seal(now, made);
    }
    expire_calls(now);
    schedule.set_node_count(shared.members().size());
    advance_store_reads(now);
    if (!ending) {
        advance_join(now);
        advance_witnesses(now);
        renew_lease(now);
        consider_move(now);
        consider_proposal(now);
        advance_self_sealed_holders(now);
        advance_leave(now);
    }
    if (ending) {
        advance_end(now);
    }
    advance_store_end(now);
    exchange_digests(now);
    after_event(now);
}

engine::engine(engine_settings settings, std::uint64_t seed, time_point now)
    : state_{std::make_unique<state>(std::move(settings), seed, now)}
{
}

engine::~engine() = default;
engine::engine(engine&&) noexcept = default;
engine& engine::operator=(engine&&) noexcept = default;

void engine::set_services(time_point now, std::vector<service_config> services)
{
    state_->services.clear();
    for (service_config& service : services) {
        std::string name = service.name;
        state_->services.insert_or_assign(std::move(name), std::move(service));
    }
    state_->after_event(now);
}

void engine::set_rules(time_point now, rules_stamp stamp)
{
    state_->accept(now, stamp);
    state_->after_event(now);
}

void engine::on_target(time_point now, const target_info& target)
{
    state_->on_target(now, target);
    state_->after_event(now);
}

void engine::end(time_point now, const std::string& cause, std::optional<time_point> idle_from)
{
    state_->end(now, cause, idle_from);
    state_->after_event(now);
}

void engine::leave(time_point now)
{
    state_->leave(now);
    state_->after_event(now);
}

void engine::assert_ended(time_point now, incarnation_id id, const std::string& operator_name)
{
    state_->request_store_end(now, id, operator_name);
    state_->after_event(now);
}

void engine::on_message(time_point now, incarnation_id from, const message& body)
{
    state_->on_message(now, from, body);
}

void engine::on_store_reply(time_point now, std::uint64_t id, const store::reply& reply)
{
    state_->on_store_reply(now, id, reply);
    state_->after_event(now);
}

void engine::on_tick(time_point now)
{
    state_->on_tick(now);
}

void engine::on_in_flight(time_point now, const std::string& service, range_id range,
                          std::size_t count)
{
    state_->on_in_flight(now, service, range, count);
    state_->after_event(now);
}

void engine::on_load(time_point, const std::string& service, std::vector<range_load> loads)
{
    state_->on_load(service, std::move(loads));
}

std::vector<effect> engine::take_effects()
{
    return std::exchange(state_->effects, {});
}

serve_decision engine::may_serve(time_point now, const std::string& service, range_id range) const
{
    return state_->may_serve(now, service, range);
}

owner_view engine::owner_of(const std::string& service, range_id range) const
{
    const auto view = state_->shared.placement_of(service);
    if (!view) {
        owner_view none;
        none.reason = "no placement is known";
        return none;
    }
    return find_owner(*view, state_->shared, range);
}

incarnation_id engine::self() const
{
    return state_->self;
}

std::optional<time_point> engine::lease_end(time_point now) const
{
    if (!state_->holds_lease(now)) {
        return std::nullopt;
    }
    return state_->lease.end();
}

std::vector<member_row> engine::members() const
{
    std::vector<member_row> rows;
    for (const auto& [id, member] : state_->shared.members()) {
        rows.push_back(member.row);
        if (state_->shared.certificate_of(id) != nullptr) {
            rows.back().state = member_state::ended;
        }
    }
    return rows;
}

const member_row* engine::find_member(incarnation_id id) const
{
    return state_->shared.find(id);
}

std::vector<incarnation_id> engine::live_members(const std::string& service) const
{
    std::vector<incarnation_id> live;
    const auto view = state_->shared.placement_of(service);
    if (!view) {
        return live;
    }
    for (const weighted_member& member : view->record.current.members) {
        const member_row* row = state_->shared.find(member.incarnation);
        if (state_->shared.certificate_of(member.incarnation) == nullptr &&
            (row == nullptr || row->state != member_state::leaving)) {
            live.push_back(member.incarnation);
        }
    }
    return live;
}

std::optional<placement> engine::placement_of(const std::string& service) const
{
    const auto view = state_->shared.placement_of(service);
    if (!view) {
        return std::nullopt;
    }
    return view->record;
}

placement_version engine::version_of(const std::string& service) const
{
    const auto view = state_->shared.placement_of(service);
    return view ? view->record.current.version : placement_version{};
}

std::size_t engine::certificate_count() const
{
    return state_->shared.certificates().size();
}

std::vector<certificate> engine::certificates() const
{
    std::vector<certificate> result;
    for (const auto& [id, item] : state_->shared.certificates()) {
        result.push_back(item);
    }
    return result;
}

rules_stamp engine::newest_rules() const
{
    return state_->rules;
}

bool engine::has_recent_contact(time_point now) const
{
    const auto recent = [&](time_point at) { return now - at <= recent_contact_limit; };
    return (state_->last_message_time && recent(*state_->last_message_time)) ||
           (state_->schedule.ever_answered() && recent(state_->schedule.last_answer()));
}

} // namespace bulrushgw::ownership
