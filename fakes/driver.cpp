#include "fakes/driver.h"

#include <algorithm>
#include <utility>

#include "fakes/driver_state.h"

namespace bulrushgw::fakes {

namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr nanoseconds same_zone_latency = 200us;
constexpr nanoseconds other_zone_latency = 1ms;
constexpr nanoseconds store_latency = 2ms;
constexpr nanoseconds refusal_latency = 1ms;
constexpr nanoseconds store_timeout = 1s;
constexpr std::uint64_t slow_store_min_ms = 300;
constexpr std::uint64_t slow_store_range_ms = 2500;

} // namespace

driver::driver(const driver_settings& settings)
    : settings_(settings), random_(settings.seed), blocked_(settings.hosts * settings.hosts, 0)
{
    record_.ranges = settings.ranges;
    store_.on_write([this](const store::row& row, bool erased) { record_write(row, erased); });
    const std::int64_t bound = settings.drift_parts_per_million;
    for (std::size_t i = 0; i < settings.hosts; ++i) {
        auto host = std::make_unique<host_state>();
        host->index = i;
        const auto rate = [&]() -> std::int64_t {
            if (settings.drift_at_bound) {
                return i % 2 == 1 ? bound : -bound;
            }
            return static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(2 * bound + 1))) -
                   bound;
        };
        const nanoseconds offset{static_cast<std::int64_t>(draw(1'000'000'000'000ULL))};
        host->clock = drifting_clock{offset, rate()};
        host->server = std::make_unique<target>(i, drifting_clock{offset / 2, rate()},
                                                settings.checks_fences, record_);
        host->server->on_finish([this, i](const target_request& request, target_result) {
            post(i, state(i).generation, now_, [this, i, request] { on_finished(i, request); });
        });
        host->settings.times = settings.times;
        host->settings.unsafe = settings.unsafe;
        host->settings.host = "host-" + std::to_string(i);
        host->settings.zone = "zone-" + std::to_string(i % settings.zones);
        host->settings.region = "region-1";
        host->settings.address = "10.0.0." + std::to_string(i) + ":7000";
        host->settings.client_address = "10.0.0." + std::to_string(i) + ":8000";
        hosts_.push_back(std::move(host));
    }
    constexpr std::size_t max_join_peers = 3;
    for (auto& host : hosts_) {
        for (std::size_t i = 0; i < std::min(max_join_peers + 1, hosts_.size()); ++i) {
            if (i != host->index && host->settings.join_peers.size() < max_join_peers) {
                host->settings.join_peers.push_back(hosts_[i]->settings.address);
            }
        }
    }
}

driver::~driver() = default;

std::uint64_t driver::draw(std::uint64_t below)
{
    return below == 0 ? 0 : random_() % below;
}

bool driver::draw_bool(double probability)
{
    constexpr std::uint64_t steps = 1'000'000;
    return probability > 0 && static_cast<double>(draw(steps)) < probability * steps;
}

void driver::schedule(true_time at, std::function<void()> action)
{
    event_queue_.push({std::max(at, now_), ++last_order_, std::move(action)});
}

void driver::run_for(milliseconds span)
{
    const true_time end = now_ + span;
    while (!event_queue_.empty() && event_queue_.top().at <= end) {
        // `top` gives const access only; moving is safe because `pop` follows.
        event next = std::move(const_cast<event&>(event_queue_.top())); // NOLINT
        event_queue_.pop();
        now_ = std::max(now_, next.at);
        next.action();
    }
    now_ = end;
}

history& driver::finish()
{
    for (auto& host : hosts_) {
        host->server->advance(now_);
        host->server->cancel_all(now_);
        close_serve_spans(*host);
    }
    return record_;
}

std::string driver::zone_of(std::size_t host) const
{
    return hosts_[host]->settings.zone;
}

const ownership::engine* driver::engine_of(std::size_t host) const
{
    return hosts_[host]->engine.get();
}

bool driver::is_running(std::size_t host) const
{
    return hosts_[host]->engine != nullptr;
}

bool driver::is_paused(std::size_t host) const
{
    return hosts_[host]->paused;
}

target& driver::target_of(std::size_t host)
{
    return *hosts_[host]->server;
}

std::optional<std::size_t> driver::host_of(incarnation_id node) const
{
    for (const auto& host : hosts_) {
        if (host->engine != nullptr && host->engine->self() == node) {
            return host->index;
        }
    }
    return std::nullopt;
}

std::vector<std::size_t> driver::servers_of(range_id range) const
{
    std::vector<std::size_t> servers;
    for (const auto& host : hosts_) {
        if (host->is_active() &&
            host->engine->may_serve(host->clock.local(now_), service_name, range).allowed) {
            servers.push_back(host->index);
        }
    }
    return servers;
}

bool driver::all_served() const
{
    for (std::uint32_t range = 0; range < settings_.ranges; ++range) {
        if (servers_of(range_id{range}).empty()) {
            return false;
        }
    }
    return true;
}

void driver::make_engine(host_state& host)
{
    ++host.generation;
    const time_point local = host.clock.local(now_);
    host.engine = std::make_unique<ownership::engine>(host.settings, random_(), local);
    host.granted.clear();
    host.in_flight.clear();
    host.announced = false;
    host.stopping = false;
    host.grants_end = {};
    host.next_poll = local;
    host.unanswered_polls = 0;
    host.recorded_placement_version = 0;
    host.recorded_rules_version = 0;
    constexpr std::uint32_t moves_per_hour = 60;
    host.engine->set_services(local, {{service_name, settings_.ranges, moves_per_hour}});
    if (host.rules.version > 0) {
        host.engine->set_rules(local, host.rules);
    }
}

void driver::start(std::size_t index)
{
    host_state& host = state(index);
    if (host.engine != nullptr) {
        return;
    }
    host.paused = false;
    host.tick_missed = false;
    host.inbox.clear();
    host.rules = {};
    make_engine(host);
    process_effects(host);
    schedule_tick(host, now_ + milliseconds{draw(20)});
}

void driver::kill(std::size_t index)
{
    host_state& host = state(index);
    close_serve_spans(host);
    ++host.generation;
    ++host.process;
    host.engine.reset();
    host.inbox.clear();
    host.paused = false;
    host.server->advance(now_);
    host.server->cancel_all(now_);
}

void driver::pause(std::size_t index)
{
    host_state& host = state(index);
    if (host.is_active()) {
        close_serve_spans(host);
        host.paused = true;
    }
}

void driver::resume(std::size_t index)
{
    host_state& host = state(index);
    if (host.engine == nullptr || !host.paused) {
        return;
    }
    host.paused = false;
    // The resumed process may serve a request before its next tick, so its serve spans are recorded
    // first.
    observe(host);
    const bool tick_first = draw_bool(0.5);
    if (tick_first && std::exchange(host.tick_missed, false)) {
        on_tick(index);
    }
    while (!host.inbox.empty() && !host.paused) {
        const auto action = std::move(host.inbox.front());
        host.inbox.pop_front();
        action();
    }
    if (std::exchange(host.tick_missed, false)) {
        on_tick(index);
    }
}

void driver::freeze_target(std::size_t index)
{
    host_state& host = state(index);
    close_serve_spans(host);
    host.server->freeze(now_);
    observe(host);
}

void driver::resume_target(std::size_t index)
{
    host_state& host = state(index);
    close_serve_spans(host);
    host.server->resume(now_);
    observe(host);
}

void driver::leave(std::size_t index)
{
    host_state& host = state(index);
    if (host.is_active()) {
        record_.departures.push_back({now_, index, host.engine->self()});
        host.engine->leave(host.clock.local(now_));
        process_effects(host);
    }
}

void driver::end_incarnation(std::size_t index, const std::string& cause)
{
    host_state& host = state(index);
    if (host.is_active()) {
        stop_serving_and_end(host, cause);
    }
}

void driver::set_load(std::size_t index, std::vector<ownership::range_load> loads)
{
    host_state& host = state(index);
    if (host.is_active()) {
        host.engine->on_load(host.clock.local(now_), service_name, std::move(loads));
        process_effects(host);
    }
}

void driver::assert_ended(std::size_t index, incarnation_id node)
{
    host_state& host = state(index);
    if (host.is_active()) {
        host.engine->assert_ended(host.clock.local(now_), node, "operator");
        process_effects(host);
    }
}

void driver::accept_rules(std::size_t index, std::uint64_t version)
{
    record_.rules.push_back({now_, {}, version, version});
    host_state& host = state(index);
    if (host.is_active()) {
        host.rules = {version, "digest-" + std::to_string(version)};
        host.engine->set_rules(host.clock.local(now_), host.rules);
        process_effects(host);
    }
}

void driver::block(std::size_t from, std::size_t to, bool blocked)
{
    blocked_[from * hosts_.size() + to] = blocked ? 1 : 0;
}

void driver::block_store(std::size_t host, bool blocked)
{
    state(host).store_blocked = blocked;
}

void driver::post(std::size_t index, std::uint64_t generation, true_time at,
                  std::function<void()> action)
{
    schedule(at, [this, index, generation, action = std::move(action)] {
        const auto run = [this, index, generation, action] {
            host_state& host = state(index);
            if (host.engine != nullptr && host.generation == generation) {
                action();
                process_effects(host);
            }
        };
        host_state& host = state(index);
        if (host.paused) {
            host.inbox.emplace_back(run);
        }
        else {
            run();
        }
    });
}

void driver::process_effects(host_state& host)
{
    // Effects may replace an ended engine by a new one. The new engine then has its own effects.
    constexpr int rounds = 8;
    for (int round = 0; round < rounds && host.engine != nullptr; ++round) {
        const std::vector<ownership::effect> effects = host.engine->take_effects();
        if (effects.empty()) {
            break;
        }
        const std::uint64_t generation = host.generation;
        for (const ownership::effect& effect : effects) {
            if (host.generation != generation) {
                break;
            }
            carry_out(host, effect);
        }
    }
    observe(host);
}

void driver::carry_out(host_state& host, const ownership::effect& effect)
{
    if (const auto* message = std::get_if<ownership::send>(&effect)) {
        send(host, *message);
    }
    else if (const auto* call = std::get_if<ownership::store_call>(&effect)) {
        call_store(host, call->request,
                   [this, index = host.index, id = call->id](const store::reply& reply) {
                       host_state& receiver = state(index);
                       receiver.engine->on_store_reply(receiver.clock.local(now_), id, reply);
                   });
    }
    else if (const auto* change = std::get_if<ownership::serving_changed>(&effect)) {
        for (const range_id range : change->releases) {
            host.granted.erase(range);
        }
        for (const auto& grant : change->grants) {
            host.granted[grant.range] = grant.token;
        }
        if (!host.engine->lease_end(host.clock.local(now_))) {
            // A node without a lease cancels its running requests. In a planned move the node still
            // has its lease, so the requests are left to finish.
            host.server->advance(now_);
            host.server->cancel_all(now_);
        }
        send_grants(host);
    }
    else if (std::holds_alternative<ownership::incarnation_ended>(effect)) {
        close_serve_spans(host);
        host.server->advance(now_);
        host.server->cancel_all(now_);
        make_engine(host);
    }
    else if (std::holds_alternative<ownership::left>(effect)) {
        kill(host.index);
    }
    else if (const auto* audit = std::get_if<ownership::audit_event>(&effect)) {
        if (audit_hook_) {
            audit_hook_(host.index, *audit);
        }
    }
}

void driver::send(host_state& from, const ownership::send& effect)
{
    std::string address = effect.address;
    if (address.empty()) {
        const ownership::member_row* row = from.engine->find_member(effect.to);
        address = row == nullptr ? "" : row->address;
    }
    const auto to = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& host) {
        return host->settings.address == address;
    });
    if (to == hosts_.end()) {
        return;
    }
    const std::size_t recipient = (*to)->index;
    ++traffic_.messages;
    traffic_.bytes += encoded_size(effect.body);
    if (message_filter_ && !message_filter_(from.index, recipient, effect.body)) {
        return;
    }
    if (draw_bool(network_.loss)) {
        return;
    }
    const int copies = draw_bool(network_.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto span = static_cast<std::uint64_t>(network_.extra_delay.count());
        const auto extra = span == 0 ? 0 : static_cast<milliseconds::rep>(draw(span + 1));
        deliver(from.index, recipient, from.engine->self(), effect, extra);
    }
}

void driver::deliver(std::size_t from, std::size_t to, incarnation_id sender,
                     const ownership::send& effect, milliseconds::rep extra_ms)
{
    const auto is_blocked = [this, from, to] { return blocked_[from * hosts_.size() + to] != 0; };
    if (is_blocked()) {
        return;
    }
    const bool same_zone = zone_of(from) == zone_of(to);
    const true_time at =
        now_ + (same_zone ? same_zone_latency : other_zone_latency) + milliseconds{extra_ms};
    schedule(at,
             [this, to, sender, expected_incarnation = effect.to, body = effect.body, is_blocked] {
                 if (is_blocked()) {
                     return;
                 }
                 const auto run = [this, to, sender, expected_incarnation, body] {
                     host_state& host = state(to);
                     if (host.engine != nullptr &&
                         (!expected_incarnation || expected_incarnation == host.engine->self())) {
                         host.engine->on_message(host.clock.local(now_), sender, body);
                         process_effects(host);
                     }
                 };
                 host_state& host = state(to);
                 if (host.engine == nullptr) {
                     return;
                 }
                 if (host.paused) {
                     host.inbox.emplace_back(run);
                 }
                 else {
                     run();
                 }
             });
}

void driver::ask_store(std::size_t host, const store::request& request, const store_hook& done)
{
    call_store(state(host), request, done);
}

void driver::announce_rules(std::size_t index, const ownership::rules_stamp& stamp)
{
    host_state& host = state(index);
    if (host.is_active()) {
        host.rules = stamp;
        host.engine->set_rules(host.clock.local(now_), stamp);
        process_effects(host);
    }
}

void driver::call_store(host_state& host, const store::request& request, const store_hook& done)
{
    const std::size_t index = host.index;
    const auto reply_at = [this, index, done,
                           generation = host.generation](true_time at, const store::reply& reply) {
        post(index, generation, at, [done, reply] { done(reply); });
    };
    store::reply timed_out;
    timed_out.result = store::status::unknown;
    if (host.store_blocked || store_mode_ == store_mode::down) {
        // A refused connection fails immediately. A lost packet is noticed only at the timeout.
        if (draw_bool(0.5)) {
            reply_at(now_ + refusal_latency, store::reply{});
        }
        else {
            reply_at(now_ + store_timeout, timed_out);
        }
        return;
    }
    nanoseconds round_trip = store_latency;
    if (store_mode_ == store_mode::slow) {
        round_trip = milliseconds{slow_store_min_ms + draw(slow_store_range_ms)};
    }
    const bool answer_lost = store_mode_ == store_mode::answers_lost && draw_bool(0.5);
    if (round_trip >= store_timeout) {
        reply_at(now_ + store_timeout, timed_out);
        schedule(now_ + round_trip, [this, request] { store_.apply(request); });
        return;
    }
    schedule(now_ + round_trip / 2, [this, request, reply_at, answer_lost, timed_out, round_trip] {
        const store::reply reply = store_.apply(request);
        if (answer_lost) {
            reply_at(now_ + store_timeout, timed_out);
        }
        else {
            reply_at(now_ + round_trip / 2, reply);
        }
    });
}

void driver::schedule_tick(host_state& host, true_time at)
{
    schedule(at, [this, index = host.index, process = host.process] {
        if (state(index).process == process) {
            on_tick(index);
        }
    });
}

void driver::on_tick(std::size_t index)
{
    host_state& host = state(index);
    if (host.engine == nullptr) {
        return;
    }
    if (host.paused) {
        host.tick_missed = true;
        return;
    }
    const time_point local = host.clock.local(now_);
    schedule_tick(host, host.clock.when(local + settings_.times.tick));
    host.server->advance(now_);
    host.engine->on_tick(local);
    process_effects(host);
    if (host.engine == nullptr) {
        return;
    }
    poll_target(host);
    if (host.engine != nullptr && settings_.observe) {
        start_requests(host);
        observe_versions(host);
    }
}

} // namespace bulrushgw::fakes
