#include "tests/sidecar/assignment_world.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar::test {

namespace {

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t step_us = 1000;
constexpr const char* service = "ladder";
constexpr std::int64_t order_timeout_us = 250 * us_per_ms;
constexpr std::int64_t store_timeout_us = 1000 * us_per_ms;
constexpr std::size_t max_violations = 5;

} // namespace

world::world(std::uint64_t seed, world_settings settings) : settings_(settings), random_(seed)
{
    hosts_.resize(settings.hosts);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].address = "h" + std::to_string(i);
        hosts_[i].rate = 1 + settings.clock_error * (draw() * 2 - 1);
        start_target(i);
        start_node(i);
    }
}

world::~world() = default;

double world::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::int64_t world::delay()
{
    return 100 + static_cast<std::int64_t>(draw() * static_cast<double>(settings_.network.count()) *
                                           us_per_ms);
}

void world::trace(std::size_t on, const std::string& what)
{
    if (trace_) {
        trace_(std::to_string(now_us_ / us_per_ms) + " ms " + hosts_[on].address + ": " + what);
    }
}

void world::at(std::int64_t time_us, std::function<void()> action)
{
    events_.emplace(std::max(time_us, now_us_), std::move(action));
}

void world::to_node(std::size_t to, std::uint64_t process, std::int64_t delay_us,
                    std::function<void()> action)
{
    at(now_us_ + delay_us, [this, to, process, action = std::move(action)] {
        host& target_host = hosts_[to];
        if (target_host.node == nullptr || target_host.process != process) {
            return;
        }
        if (now_us_ < target_host.frozen_until_us) {
            target_host.held_back.push_back(action);
            return;
        }
        action();
    });
}

time_point world::clock_of(std::size_t on) const
{
    const auto us = static_cast<std::int64_t>(static_cast<double>(now_us_) * hosts_[on].rate);
    return time_point(std::chrono::microseconds(us));
}

void world::run(milliseconds time)
{
    const std::int64_t end = now_us_ + time.count() * us_per_ms;
    while (now_us_ < end) {
        now_us_ += step_us;
        while (!events_.empty() && events_.begin()->first <= now_us_) {
            auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            host& each = hosts_[i];
            if (each.node == nullptr || now_us_ < each.frozen_until_us) {
                continue;
            }
            for (auto& action : std::exchange(each.held_back, {})) {
                action();
            }
            constexpr std::int64_t ticks = coordination::tick_interval.count();
            if (each.node && (now_us_ / step_us + static_cast<std::int64_t>(i)) % ticks == 0) {
                each.node->on_tick();
            }
        }
        check();
    }
}

void world::kill_node(std::size_t on)
{
    trace(on, "node killed");
    hosts_[on].node.reset();
    hosts_[on].held_back.clear();
}

void world::begin_stop(std::size_t on)
{
    trace(on, "node told to stop");
    if (hosts_[on].node != nullptr) {
        hosts_[on].node->leave();
    }
}

bool world::is_node_alive(std::size_t on) const
{
    return hosts_[on].node != nullptr;
}

void world::start_node(std::size_t on)
{
    host& each = hosts_[on];
    trace(on, "node started");
    const std::uint64_t process = ++each.process;
    each.frozen_until_us = 0;
    coordination::hooks hooks;
    hooks.now = [this, on] { return clock_of(on); };
    hooks.send = [this, on](const std::string& address, incarnation_id to,
                            const wire::body& content) { send(on, address, to, content); };
    hooks.grant = [this, on](const assignment::grant_order& order) { grant(on, order); };
    hooks.release = [this, on](const assignment::release_order& order) { release(on, order); };
    hooks.on_directory = [] {};
    hooks.read_record = [this, on](auto done) { read(on, std::move(done)); };
    hooks.write_record = [this, on](std::uint64_t expected, const std::string& value, auto done) {
        write(on, expected, value, std::move(done));
    };
    hooks.suspect = [](const std::string&, const std::string&) {};
    hooks.on_peer_manifest = [](const std::string&, std::uint64_t) {};
    hooks.log = [this, on](std::string_view event, const journal::fields& details) {
        trace(on, std::string(event) + " " + details.dump());
    };
    each.node = std::make_unique<coordination>(
        assignment::timing{},
        assignment::member_identity{incarnation_id{next_incarnation_++}, each.address, each.address,
                                    "zone"},
        random_(), std::move(hooks));
    to_node(on, process, us_per_ms, [this, on] {
        hosts_[on].node->set_manifest(1, {service});
        announce(on);
    });
}

void world::freeze_node(std::size_t on, milliseconds time)
{
    trace(on, "node frozen for " + std::to_string(time.count()) + " ms");
    hosts_[on].frozen_until_us = now_us_ + time.count() * us_per_ms;
}

void world::announce(std::size_t on)
{
    host& each = hosts_[on];
    if (each.node == nullptr) {
        return;
    }
    assignment::target_status status;
    if (each.beside.alive) {
        status.id = each.beside.id;
        status.start_time_ms = each.beside.life;
        status.service = service;
        status.slots = 6;
        status.phase = assignment::target_phase::ready;
    }
    each.node->on_target(status);
}

void world::kill_target(std::size_t on)
{
    trace(on, "target killed");
    auto& beside = hosts_[on].beside;
    beside.alive = false;
    beside.holds.clear();
    to_node(on, hosts_[on].process, 200 * us_per_ms, [this, on] { announce(on); });
}

void world::start_target(std::size_t on, bool same_id)
{
    trace(on, "target started");
    auto& beside = hosts_[on].beside;
    beside.life = next_life_++;
    if (!same_id || beside.id.empty()) {
        beside.id = "t" + std::to_string(beside.life);
    }
    beside.alive = true;
    beside.holds.clear();
    beside.seen.clear();
    if (hosts_[on].node != nullptr) {
        to_node(on, hosts_[on].process, delay(), [this, on] { announce(on); });
    }
}

void world::cut(std::size_t on, bool store_too)
{
    trace(on, store_too ? "cut from all" : "cut from nodes");
    hosts_[on].cut = true;
    hosts_[on].cut_from_store = store_too;
}

void world::heal(std::size_t on)
{
    hosts_[on].cut = false;
    hosts_[on].cut_from_store = false;
}

void world::send(std::size_t from, const std::string& address, incarnation_id to,
                 const wire::body& content)
{
    const auto found = std::find_if(hosts_.begin(), hosts_.end(),
                                    [&](const host& each) { return each.address == address; });
    const auto index = static_cast<std::size_t>(found - hosts_.begin());
    if (found == hosts_.end() || found->node == nullptr || found->cut || hosts_[from].cut) {
        return;
    }
    const wire::frame frame{hosts_[from].node->self(), to, hosts_[from].address, content};
    to_node(index, found->process, delay(), [this, index, frame] { deliver(index, frame); });
}

void world::deliver(std::size_t to, const wire::frame& frame)
{
    coordination& node = *hosts_[to].node;
    if (frame.to && frame.to != node.self()) {
        return;
    }
    if (const auto* report = std::get_if<assignment::report>(&frame.content)) {
        node.on_report(frame, *report);
    }
    else if (const auto* reply = std::get_if<assignment::report_reply>(&frame.content)) {
        node.on_reply(frame, *reply);
    }
    else if (const auto* hint = std::get_if<assignment::leader_hint>(&frame.content)) {
        node.on_hint(*hint);
    }
    else if (const auto* ask = std::get_if<assignment::lead_request>(&frame.content)) {
        node.on_lead_request(*ask);
    }
    else if (const auto* round = std::get_if<assignment::confirm_request>(&frame.content)) {
        node.on_confirm_request(*round);
    }
    else if (const auto* update = std::get_if<assignment::directory_update>(&frame.content)) {
        node.on_update(frame, *update);
    }
}

void world::read(std::size_t from, std::function<void(store_outcome, const stored_row&)> done)
{
    const auto process = hosts_[from].process;
    const bool reached = store_up_ && !hosts_[from].cut_from_store;
    const auto copy = row_;
    to_node(from, process, reached ? 4 * us_per_ms : store_timeout_us,
            [done = std::move(done), reached, copy] {
                done(reached ? store_outcome::done : store_outcome::unknown,
                     reached ? copy : stored_row{});
            });
}

void world::write(std::size_t from, std::uint64_t expected, const std::string& value,
                  std::function<void(store_outcome, std::uint64_t)> done)
{
    store_writers_.insert(from);
    const auto process = hosts_[from].process;
    const auto apply = [this, expected, value] {
        if (row_.version != expected) {
            return false;
        }
        row_ = {++versions_, value};
        return true;
    };
    if (!store_up_ || hosts_[from].cut_from_store) {
        to_node(from, process, store_timeout_us,
                [done = std::move(done)] { done(store_outcome::unknown, 0); });
        return;
    }
    if (draw() < lost_writes_) {
        const auto late = static_cast<std::int64_t>(draw() * 6000) * us_per_ms;
        at(now_us_ + (draw() < 0.5 ? 0 : late), [apply] { apply(); });
        to_node(from, process, store_timeout_us,
                [done = std::move(done)] { done(store_outcome::unknown, 0); });
        return;
    }
    const bool written = apply();
    const auto version = row_.version;
    to_node(from, process, 12 * us_per_ms, [done = std::move(done), written, version] {
        done(written ? store_outcome::done : store_outcome::conflict, written ? version : 0);
    });
}

bool world::apply_grant(std::size_t on, const assignment::grant_order& order)
{
    auto& beside = hosts_[on].beside;
    const auto overlaps = [&](const hold& item) {
        return item.first <= order.last && item.last >= order.first;
    };
    if (std::any_of(beside.seen.begin(), beside.seen.end(), [&](const hold& item) {
            return overlaps(item) && item.stamp > order.stamp.value;
        })) {
        return false;
    }
    for (const host& other : hosts_) {
        for (const hold& item : other.beside.holds) {
            if (&other != &hosts_[on] && overlaps(item) && item.until_us > now_us_ &&
                item.stamp >= order.stamp.value) {
                violations_.push_back("a fence is not above that of the holder before");
            }
        }
    }
    std::vector<hold> rest;
    for (const hold& item : beside.holds) {
        if (!overlaps(item)) {
            rest.push_back(item);
            continue;
        }
        if (item.first < order.first) {
            rest.push_back({item.first, order.first - 1, item.stamp, item.until_us});
        }
        if (item.last > order.last) {
            rest.push_back({order.last + 1, item.last, item.stamp, item.until_us});
        }
    }
    const auto length = static_cast<double>(order.hold.count() * us_per_ms);
    const auto until =
        now_us_ + static_cast<std::int64_t>(length * (1 + settings_.hold_error * draw()));
    rest.push_back({order.first, order.last, order.stamp.value, until});
    beside.holds = std::move(rest);
    beside.seen.push_back({order.first, order.last, order.stamp.value, 0});
    return true;
}

void world::grant(std::size_t on, const assignment::grant_order& order)
{
    const auto process = hosts_[on].process;
    const auto life = hosts_[on].beside.life;
    const auto answer = [this, on, process, id = order.id](assignment::order_outcome outcome,
                                                           std::int64_t wait) {
        to_node(on, process, wait,
                [this, on, id, outcome] { hosts_[on].node->on_grant_result(id, outcome); });
    };
    if (!hosts_[on].beside.alive) {
        answer(assignment::order_outcome::unknown, us_per_ms);
        return;
    }
    if (draw() < late_orders_) {
        const auto late = static_cast<std::int64_t>(2000 + draw() * 10000) * us_per_ms;
        at(now_us_ + late, [this, on, life, order, sent = now_us_] {
            auto& beside = hosts_[on].beside;
            // Its time counts from its arrival, so it is over by now.
            if (beside.alive && beside.life == life &&
                now_us_ - sent < order.hold.count() * us_per_ms) {
                apply_grant(on, order);
            }
        });
        answer(assignment::order_outcome::unknown, order_timeout_us);
        return;
    }
    const bool taken = apply_grant(on, order);
    trace(on, "grant " + std::to_string(order.first) + "-" + std::to_string(order.last) +
                  " fence " + std::to_string(order.stamp.value) + " hold " +
                  std::to_string(order.hold.count()) + (taken ? "" : " refused"));
    answer(taken ? assignment::order_outcome::done : assignment::order_outcome::refused, us_per_ms);
}

void world::release(std::size_t on, const assignment::release_order& order)
{
    auto& beside = hosts_[on].beside;
    const auto process = hosts_[on].process;
    const auto answer = [this, on, process, id = order.id](assignment::order_outcome outcome,
                                                           std::int64_t wait) {
        to_node(on, process, wait, [this, on, id, outcome] {
            hosts_[on].node->on_release_result(id, outcome, "token");
        });
    };
    if (!beside.alive && order.service.empty()) {
        answer(assignment::order_outcome::done, us_per_ms);
        return;
    }
    if (!beside.alive || draw() < late_orders_) {
        answer(assignment::order_outcome::unknown, order_timeout_us);
        return;
    }
    std::vector<hold> rest;
    for (const hold& item : beside.holds) {
        if (item.first > order.last || item.last < order.first) {
            rest.push_back(item);
            continue;
        }
        if (item.first < order.first) {
            rest.push_back({item.first, order.first - 1, item.stamp, item.until_us});
        }
        if (item.last > order.last) {
            rest.push_back({order.last + 1, item.last, item.stamp, item.until_us});
        }
    }
    beside.holds = std::move(rest);
    beside.seen.push_back({order.first, order.last, order.stamp.value, 0});
    trace(on, "release " + std::to_string(order.first) + "-" + std::to_string(order.last));
    answer(assignment::order_outcome::done,
           static_cast<std::int64_t>(draw() * static_cast<double>(settings_.longest_work.count())) *
               us_per_ms);
}

std::optional<std::size_t> world::leader() const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].node != nullptr && hosts_[i].node->is_leader()) {
            return i;
        }
    }
    return std::nullopt;
}

double world::held_share() const
{
    std::uint64_t held = 0;
    for (const host& each : hosts_) {
        for (const hold& item : each.beside.holds) {
            if (each.beside.alive && item.until_us > now_us_) {
                held += item.last - item.first + 1;
            }
        }
    }
    return static_cast<double>(held) / assignment::key_count;
}

void world::check()
{
    struct interval {
        std::uint32_t first;
        std::uint32_t last;
        std::size_t host;
    };
    std::vector<interval> all;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        auto& holds = hosts_[i].beside.holds;
        std::erase_if(holds, [&](const hold& item) { return item.until_us <= now_us_; });
        for (const hold& item : holds) {
            if (hosts_[i].beside.alive) {
                all.push_back({item.first, item.last, i});
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const interval& a, const interval& b) { return a.first < b.first; });
    for (std::size_t i = 0; i + 1 < all.size(); ++i) {
        if (all[i].last >= all[i + 1].first && all[i].host != all[i + 1].host &&
            violations_.size() < max_violations) {
            violations_.push_back("hosts " + std::to_string(all[i].host) + " and " +
                                  std::to_string(all[i + 1].host) + " hold key " +
                                  std::to_string(all[i + 1].first) + " at " +
                                  std::to_string(now_us_ / us_per_ms) + " ms");
        }
    }
}

} // namespace bulrushgw::sidecar::test
