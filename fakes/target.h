#pragma once

/// The server that holds key state: takes grants, executes requests, freezes
/// and restarts.

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "common/ids.h"
#include "fakes/clock.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// A request as the node writes it to its target.
struct target_request {
    std::uint64_t number = 0;
    range_id range;
    fence token;
    bool idempotent = true;
    milliseconds work{0};     ///< execution time
    milliseconds deadline{0}; ///< from the time at which the target reads it
};

/// Grants of all ranges that the node serves.
struct target_grants {
    std::map<range_id, fence> tokens;
    time_point expires; ///< on the target's clock
};

enum class target_result { executed, cancelled, stale_fence, no_grant };

/// Not thread-safe. Times are true times; the driver calls `advance` at least
/// every few milliseconds.
class target {
public:
    using finish_hook = std::function<void(const target_request&, target_result)>;

    target(std::size_t host, drifting_clock clock, bool checks_fences, history& record);

    void on_finish(finish_hook hook) { finish_ = std::move(hook); }
    void grant(true_time now, const target_grants& grants);
    void run(true_time now, const target_request& request);
    /// The node closed its connections: running requests are cancelled.
    void cancel_all(true_time now);
    void advance(true_time now);

    void freeze(true_time now);
    void resume(true_time now);
    /// Loses grants, fences and running requests; gets a new run id.
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
    void stop(const running& work, true_time end, target_result result);

    std::size_t host_;
    drifting_clock clock_;
    bool checks_fences_;
    history& record_;
    finish_hook finish_;
    bool frozen_ = false;
    std::uint64_t run_id_ = 1;
    target_grants grants_;
    std::map<range_id, fence> highest_;
    std::vector<running> running_;
    std::vector<std::function<void(true_time)>> unread_; ///< arrived while frozen
};

} // namespace bulrushgw::fakes
