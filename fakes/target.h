#pragma once

/// A simulated target, the server that holds key state: accepts grants, executes requests, and can
/// be frozen or restarted.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "common/ids.h"
#include "fakes/clock.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// A request as a node sends it to its target.
struct target_request {
    std::uint64_t number = 0;
    range_id range;
    fence token;
    bool idempotent = true;
    milliseconds work{0};     ///< execution time
    milliseconds deadline{0}; ///< from the time at which the target reads the request
};

/// The grants of all ranges that the node serves; replaces the earlier grants.
struct target_grants {
    std::map<range_id, fence> tokens;
    time_point expires; ///< on the target's clock
};

enum class target_result { executed, cancelled, stale_fence, no_grant };

/// Not thread-safe. `now` is always the true time. The driver calls `advance` at every tick of the
/// node.
class target {
public:
    using finish_hook = std::function<void(const target_request&, target_result)>;

    target(std::size_t host, drifting_clock clock, bool checks_fences, history& record);

    void on_finish(finish_hook hook) { finish_ = std::move(hook); }
    void grant(true_time now, const target_grants& grants);
    void run(true_time now, const target_request& request);
    /// Cancels all running requests, as when the node closes its connections.
    void cancel_all(true_time now);
    /// Finishes the requests whose work is done or whose deadline has passed. No effect while
    /// frozen.
    void advance(true_time now);

    void freeze(true_time now);
    void resume(true_time now);
    /// Drops grants, fences and running requests, and starts with a new run id.
    void restart(true_time now);

    [[nodiscard]] bool is_frozen() const { return frozen_; }
    [[nodiscard]] bool checks_fences() const { return checks_fences_; }
    [[nodiscard]] std::uint64_t run_id() const { return run_id_; }
    [[nodiscard]] time_point local(true_time now) const { return clock_.local(now); }
    [[nodiscard]] const std::map<range_id, fence>& granted() const { return grants_.tokens; }

private:
    struct running {
        target_request request;
        true_time begin;
        true_time end; ///< when the work is done
        true_time deadline;
    };

    void start(true_time now, const target_request& request);
    void finish(const running& work, true_time end, target_result result);

    std::size_t host_;
    drifting_clock clock_;
    bool checks_fences_;
    history& record_;
    finish_hook finish_;
    bool frozen_ = false;
    std::uint64_t run_id_ = 1;
    target_grants grants_;
    std::map<range_id, fence> highest_fences_; ///< highest granted fence of each range
    std::vector<running> running_;
    std::vector<std::function<void(true_time)>> unread_; ///< arrived while frozen
};

} // namespace bulrushgw::fakes
