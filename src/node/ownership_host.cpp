#include "node/ownership_host.h"

#include <utility>

namespace bulrushgw::node {

ownership_host::ownership_host(ownership::engine_settings settings, hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      engine_(settings_, hooks_.random_seed(), hooks_.now())
{
}

void ownership_host::on_message(const wire::frame& frame, const ownership::message& message)
{
    const bool for_this_incarnation = !frame.to || frame.to == engine_.self();
    if (!for_this_incarnation) {
        return;
    }
    engine_.on_message(hooks_.now(), frame.from, message);
    run_effects();
    hooks_.on_input();
}

void ownership_host::on_tick()
{
    engine_.on_tick(hooks_.now());
    run_effects();
    hooks_.on_input();
}

void ownership_host::set_services(std::vector<ownership::service_config> services)
{
    services_ = std::move(services);
    engine_.set_services(hooks_.now(), services_);
    run_effects();
}

void ownership_host::set_rules(ownership::rules_stamp stamp)
{
    rules_ = std::move(stamp);
    engine_.set_rules(hooks_.now(), rules_);
    run_effects();
}

void ownership_host::on_target(const ownership::target_info& target)
{
    target_ = target;
    engine_.on_target(hooks_.now(), target);
    run_effects();
}

void ownership_host::end_incarnation(const std::string& cause, std::optional<time_point> idle_from)
{
    target_.reset();
    engine_.end(hooks_.now(), cause, idle_from);
    run_effects();
}

void ownership_host::leave()
{
    leaving_ = true;
    engine_.leave(hooks_.now());
    run_effects();
}

void ownership_host::assert_ended(incarnation_id id, const std::string& operator_name)
{
    engine_.assert_ended(hooks_.now(), id, operator_name);
    run_effects();
}

void ownership_host::on_in_flight(const std::string& service, range_id range, std::size_t count)
{
    engine_.on_in_flight(hooks_.now(), service, range, count);
    run_effects();
}

void ownership_host::on_load(const std::string& service, std::vector<ownership::range_load> loads)
{
    engine_.on_load(hooks_.now(), service, std::move(loads));
    run_effects();
}

void ownership_host::run_effects()
{
    // A hook may call a method of this object, which adds effects. The outer call of this function
    // carries out the added effects, so that all effects keep their order.
    if (running_effects_) {
        return;
    }
    running_effects_ = true;
    for (auto effects = engine_.take_effects(); !effects.empty();
         effects = engine_.take_effects()) {
        for (const auto& effect : effects) {
            std::visit([this](const auto& each) { run(each); }, effect);
        }
        if (ended_cause_) {
            restart_engine(*std::exchange(ended_cause_, std::nullopt));
        }
    }
    running_effects_ = false;
}

void ownership_host::run(const ownership::send& effect)
{
    std::string address = effect.address;
    if (address.empty()) {
        const ownership::member_row* member = engine_.find_member(effect.to);
        if (member == nullptr) {
            return;
        }
        address = member->address;
    }
    hooks_.send(address, wire::frame{engine_.self(), effect.to, settings_.address, effect.body});
}

void ownership_host::run(const ownership::store_call& effect)
{
    // A reply that arrives after the engine was replaced was meant for the old engine: drop it.
    const incarnation_id caller = engine_.self();
    hooks_.call_store(effect.request, [this, caller, id = effect.id](const store::reply& reply) {
        if (engine_.self() != caller) {
            return;
        }
        engine_.on_store_reply(hooks_.now(), id, reply);
        run_effects();
        hooks_.on_input();
    });
}

void ownership_host::run(const ownership::serving_changed& effect)
{
    hooks_.on_serving_changed(effect);
}

void ownership_host::run(const ownership::incarnation_ended& effect)
{
    ended_cause_ = effect.cause;
}

void ownership_host::run(const ownership::left& /*effect*/)
{
    hooks_.on_left();
}

void ownership_host::run(const ownership::audit_event& effect)
{
    hooks_.on_audit(effect);
}

void ownership_host::restart_engine(const std::string& cause)
{
    const incarnation_id ended = engine_.self();
    hooks_.on_ended(ended, cause);
    if (leaving_) {
        hooks_.on_left();
        return;
    }
    // Join through members that the old incarnation knew, so that the new one can obtain the shared
    // state even while the store is down.
    ownership::engine_settings next = settings_;
    for (const auto& member : engine_.members()) {
        if (next.join_peers.size() >= settings_.join_peers.size() + settings_.fanout) {
            break;
        }
        if (member.address != settings_.address) {
            next.join_peers.push_back(member.address);
        }
    }
    engine_ = ownership::engine(std::move(next), hooks_.random_seed(), hooks_.now());
    engine_.set_services(hooks_.now(), services_);
    engine_.set_rules(hooks_.now(), rules_);
    if (target_) {
        engine_.on_target(hooks_.now(), *target_);
    }
}

} // namespace bulrushgw::node
