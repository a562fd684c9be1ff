#pragma once

/// Test environment for engines: virtual time, a store in memory and a simulated network.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/engine.h"

namespace bulrushgw::ownership {

/// Store in memory, which can be down, lose replies and delay writes.
struct memory_store {
    std::map<std::string, store::row> rows;
    bool up = true;
    /// Number of next writes that take effect although their replies are lost.
    unsigned writes_with_lost_reply = 0;
    /// Number of next writes that take effect 3 s later and whose replies are lost.
    unsigned delayed_writes = 0;
    std::size_t writes = 0;
    std::size_t reads = 0;

    store::reply run(const store::request& request)
    {
        store::reply reply;
        if (!up) {
            return reply;
        }
        if (const auto* change = std::get_if<store::transact>(&request)) {
            ++writes;
            return transact(*change);
        }
        ++reads;
        reply.result = store::status::ok;
        if (const auto* one = std::get_if<store::read_row>(&request)) {
            const auto found = rows.find(one->key);
            reply.result = found == rows.end() ? store::status::not_found : store::status::ok;
            if (found != rows.end()) {
                reply.rows.push_back(found->second);
            }
        }
        else if (const auto* all = std::get_if<store::read_prefix>(&request)) {
            for (const auto& [key, row] : rows) {
                if (key.starts_with(all->prefix)) {
                    reply.rows.push_back(row);
                }
            }
        }
        return reply;
    }

    store::reply transact(const store::transact& change)
    {
        store::reply reply;
        for (const store::condition& each : change.conditions) {
            const auto found = rows.find(each.key);
            if ((found == rows.end() ? 0 : found->second.version) != each.version) {
                reply.result = store::status::conflict;
                return reply;
            }
        }
        for (const store::write& each : change.writes) {
            if (each.erase) {
                rows.erase(each.key);
                continue;
            }
            store::row& row = rows[each.key];
            row = {each.key, row.version + 1, each.value};
            reply.written.push_back({each.key, row.version, {}});
        }
        reply.result = store::status::ok;
        if (writes_with_lost_reply > 0) {
            --writes_with_lost_reply;
            reply = {};
            reply.result = store::status::unknown;
        }
        return reply;
    }
};

/// An engine and the results of its effects.
struct test_node {
    std::unique_ptr<engine> core;
    std::string address;
    bool running = true;    ///< false: killed
    bool paused = false;    ///< messages and store replies are queued, and there are no ticks
    bool has_store = true;  ///< false: the store is unreachable from this node
    int drift_permille = 0; ///< by how much its clock runs faster than true time
    bool left = false;
    std::string ended; ///< cause of the end of the incarnation, empty while it runs
    std::vector<audit_event> audits;
    std::map<range_id, fence> grants;
    std::deque<std::function<void()>> queued_deliveries;
};

struct test_cluster {
    static constexpr const char* service = "ladder-front";
    std::uint32_t ranges = 16;
    time_point now{std::chrono::seconds{1000}};
    memory_store store;
    std::vector<std::unique_ptr<test_node>> nodes;
    std::multimap<time_point, std::function<void()>> events;
    unsafe_switches unsafe;
    /// Called with each new node before its engine is created.
    std::function<void(test_node&)> on_add = [](test_node&) {};
    std::function<milliseconds()> latency = [] { return milliseconds{2}; };
    /// Returns true for messages to be delivered twice.
    std::function<bool()> duplicate = [] { return false; };
    /// Returns true for messages to be dropped.
    std::function<bool(const test_node& from, const test_node& to, const message&)> drop =
        [](const test_node&, const test_node&, const message&) { return false; };
    /// Highest fence that any node was granted for each range.
    std::map<range_id, fence> highest_fences;
    std::size_t fence_regressions = 0;

    test_node& add(const std::string& zone, std::uint32_t slots = 6, bool has_store = true,
                   std::vector<std::string> join_peers = {})
    {
        nodes.push_back(std::make_unique<test_node>());
        test_node& node = *nodes.back();
        node.address = "10.0.0." + std::to_string(nodes.size());
        node.has_store = has_store;
        engine_settings settings;
        settings.host = "host-" + std::to_string(nodes.size());
        settings.zone = zone;
        settings.region = "nairobi";
        settings.address = node.address;
        settings.join_peers = std::move(join_peers);
        settings.unsafe = unsafe;
        on_add(node);
        node.core = std::make_unique<engine>(settings, 7000 + nodes.size(), clock(node));
        node.core->set_services(clock(node), {{service, ranges, 60}});
        if (slots > 0) {
            node.core->on_target(clock(node), {service, slots, true});
        }
        apply_effects(node);
        return node;
    }

    /// Starts `hosts` nodes, distributed over three zones in turn.
    void start(std::size_t hosts)
    {
        const char* zones[] = {"nbo-a", "nbo-b", "nbo-c"};
        for (std::size_t i = 0; i < hosts; ++i) {
            add(zones[i % 3]);
        }
        run(std::chrono::seconds{8});
    }

    [[nodiscard]] time_point clock(const test_node& node) const
    {
        return now + (now.time_since_epoch() * node.drift_permille) / 1000;
    }

    test_node* find(incarnation_id id)
    {
        for (const auto& node : nodes) {
            if (node->core->self() == id) {
                return node.get();
            }
        }
        return nullptr;
    }

    void deliver(test_node& to, std::function<void()> handle)
    {
        events.emplace(now + latency(), [this, &to, handle = std::move(handle)] {
            if (!to.running) {
                return;
            }
            if (to.paused) {
                to.queued_deliveries.push_back(handle);
                return;
            }
            handle();
            apply_effects(to);
        });
    }

    void apply_effects(test_node& node)
    {
        for (effect& each : node.core->take_effects()) {
            if (auto* out = std::get_if<send>(&each)) {
                for (const auto& to : nodes) {
                    const bool is_recipient =
                        out->to ? to->core->self() == out->to : to->address == out->address;
                    const int copies =
                        is_recipient && !drop(node, *to, out->body) ? duplicate() ? 2 : 1 : 0;
                    for (int i = 0; i < copies; ++i) {
                        deliver(*to, [this, &to = *to, from = node.core->self(), body = out->body] {
                            to.core->on_message(clock(to), from, body);
                        });
                    }
                }
            }
            else if (auto* request = std::get_if<store_call>(&each)) {
                store::reply reply;
                if (node.has_store && store.up && store.delayed_writes > 0 &&
                    store::is_write(request->request)) {
                    --store.delayed_writes;
                    reply.result = store::status::unknown;
                    events.emplace(now + std::chrono::seconds{3},
                                   [this, late = request->request] { store.run(late); });
                }
                else if (node.has_store) {
                    reply = store.run(request->request);
                }
                deliver(node, [this, &node, id = request->id, reply] {
                    node.core->on_store_reply(clock(node), id, reply);
                });
            }
            else if (auto* change = std::get_if<serving_changed>(&each)) {
                for (const range_id range : change->releases) {
                    node.grants.erase(range);
                }
                for (const auto& grant : change->grants) {
                    node.grants[grant.range] = grant.token;
                    fence_regressions += grant.token < highest_fences[grant.range] ? 1 : 0;
                    highest_fences[grant.range] =
                        std::max(highest_fences[grant.range], grant.token);
                }
            }
            else if (auto* ended = std::get_if<incarnation_ended>(&each)) {
                node.ended = ended->cause;
            }
            else if (std::holds_alternative<left>(each)) {
                node.left = true;
            }
            else if (auto* event = std::get_if<audit_event>(&each)) {
                node.audits.push_back(*event);
            }
        }
    }

    void resume(test_node& node)
    {
        node.paused = false;
        for (auto& handle : std::exchange(node.queued_deliveries, {})) {
            handle();
            apply_effects(node);
        }
    }

    /// Runs for `time`; at each tick, counts the ranges that have two owners.
    void run(std::chrono::nanoseconds time)
    {
        const time_point end = now + time;
        time_point next_tick = now;
        while (now < end) {
            next_tick += milliseconds{20};
            while (!events.empty() && events.begin()->first <= next_tick) {
                now = std::max(now, events.begin()->first);
                auto handle = std::move(events.begin()->second);
                events.erase(events.begin());
                handle();
            }
            now = next_tick;
            for (const auto& node : nodes) {
                if (node->running && !node->paused) {
                    node->core->on_tick(clock(*node));
                    apply_effects(*node);
                }
            }
            check_owners();
        }
    }

    std::size_t double_owner_count = 0;

    void check_owners()
    {
        for (std::uint32_t i = 0; i < ranges; ++i) {
            double_owner_count += owners(range_id{i}).size() > 1 ? 1 : 0;
        }
    }

    std::vector<test_node*> owners(range_id range)
    {
        std::vector<test_node*> result;
        for (const auto& node : nodes) {
            if (node->running && node->ended.empty() && !node->left &&
                node->core->may_serve(clock(*node), service, range).allowed) {
                result.push_back(node.get());
            }
        }
        return result;
    }

    /// Number of ranges that no node serves now.
    std::size_t count_unserved()
    {
        std::size_t count = 0;
        for (std::uint32_t i = 0; i < ranges; ++i) {
            count += owners(range_id{i}).empty() ? 1 : 0;
        }
        return count;
    }

    /// Runs until every range is served, at most for `limit`; returns the time that this took.
    milliseconds run_until_served(milliseconds limit)
    {
        const time_point start = now;
        while (count_unserved() > 0 && now - start < limit) {
            run(milliseconds{20});
        }
        return std::chrono::duration_cast<milliseconds>(now - start);
    }
};

} // namespace bulrushgw::ownership
