#pragma once

/// Drives the ownership engine of this process: passes messages, timers and store replies to the
/// engine and carries out its effects (the actions that it returns). Creates a new engine when the
/// incarnation ends.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/engine.h"
#include "wire/messages.h"

namespace bulrushgw::node {

/// Not thread-safe: all calls and hooks run on the node's event loop.
class ownership_host {
public:
    using store_completion = std::function<void(const store::reply&)>;

    struct hooks {
        std::function<time_point()> now;
        std::function<std::uint64_t()> random_seed;
        std::function<void(const std::string& address, const wire::frame&)> send;
        std::function<void(const store::request&, store_completion)> call_store;
        std::function<void(const ownership::serving_changed&)> on_serving_changed;
        /// Called when the incarnation ended. Its requests must be cancelled.
        std::function<void(incarnation_id ended, const std::string& cause)> on_ended;
        /// Called when a planned leave completed, or the incarnation ended during the leave.
        std::function<void()> on_left;
        std::function<void(const ownership::audit_event&)> on_audit;
        /// Called after each message, tick and store reply, because each of them may change
        /// which owners of ranges this node knows.
        std::function<void()> on_input;
    };

    ownership_host(ownership::engine_settings settings, hooks hooks);

    void on_message(const wire::frame& frame, const ownership::message& message);
    void on_tick();
    void set_services(std::vector<ownership::service_config> services);
    void set_rules(ownership::rules_stamp stamp);
    void on_target(const ownership::target_info& target);
    /// Ends the incarnation. For `idle_from` see `ownership::engine::end`.
    void end_incarnation(const std::string& cause, std::optional<time_point> idle_from);
    /// Starts a planned leave. No new incarnation is started afterwards.
    void leave();
    /// Precondition: the operator switched the host off.
    void assert_ended(incarnation_id id, const std::string& operator_name);
    void on_in_flight(const std::string& service, range_id range, std::size_t count);
    void on_load(const std::string& service, std::vector<ownership::range_load> loads);

    [[nodiscard]] const ownership::engine& engine() const { return engine_; }
    [[nodiscard]] bool is_leaving() const { return leaving_; }

private:
    void run_effects();
    void run(const ownership::send& effect);
    void run(const ownership::store_call& effect);
    void run(const ownership::serving_changed& effect);
    void run(const ownership::incarnation_ended& effect);
    void run(const ownership::left& effect);
    void run(const ownership::audit_event& effect);
    void restart_engine(const std::string& cause);

    ownership::engine_settings settings_;
    hooks hooks_;
    ownership::engine engine_;
    std::vector<ownership::service_config> services_;
    ownership::rules_stamp rules_;
    std::optional<ownership::target_info> target_;
    std::optional<std::string> ended_cause_; ///< set until the engine is replaced
    bool leaving_ = false;
    bool running_effects_ = false;
};

} // namespace bulrushgw::node
