#pragma once

/// The rules in force on this node: fetches new versions from peers and from the store, and
/// processes the submissions of operators.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "ownership/types.h"
#include "request/route_table.h"
#include "rules/acceptance.h"
#include "rules/versions.h"
#include "store/client.h"
#include "wire/messages.h"

namespace bulrushgw::node {

/// Not thread-safe: all calls and hooks run on the node's event loop.
class rules_service {
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(store::request, store::priority,
                           std::function<void(const store::reply&)>)>
            call_store;
        /// Sends a frame body to a random live peer. Returns false when no peer is known or the
        /// frame was not sent.
        std::function<bool(const wire::body&)> send_to_any_peer;
        /// Announces a version to the peers.
        std::function<void(const ownership::rules_stamp&)> announce;
        /// Called when a higher version is in force.
        std::function<void()> on_applied;
        /// Called when a version or a row of the store was rejected as invalid.
        std::function<void(const std::string& cause)> on_refused;
        std::function<std::size_t()> node_count;
    };

    using submit_completion = std::function<void(const rules::submission_result&)>;

    explicit rules_service(hooks hooks);

    /// Call at least every 50 ms.
    void on_tick();
    /// Called with the newest version that a peer knows or the store holds. Fetches its text if the
    /// version is higher than the newest version known to this node.
    void on_stamp(const ownership::rules_stamp& stamp);
    /// Called when a peer sends the text of a version.
    void on_text(const wire::rules_text& text);
    /// Replies to a peer's request for a version. Returns the text of the version in force, or none
    /// if the version in force is lower than the requested one or no version is in force.
    [[nodiscard]] std::optional<wire::rules_text> text_for(const wire::rules_pull& pull) const;
    /// Records recent contact with the store or with another node.
    void mark_fresh();

    void submit(rules::submission input, submit_completion on_result);

    /// None before the first rules were applied.
    [[nodiscard]] const request::route_table* routes() const { return routes_.get(); }
    [[nodiscard]] std::shared_ptr<const rules::rules_in_force> current() const;
    [[nodiscard]] const std::string& current_record() const { return current_record_; }
    [[nodiscard]] const rules::version_tracker& versions() const { return versions_; }
    [[nodiscard]] bool possibly_stale() const;

private:
    void poll_head();
    void on_head(const store::reply& reply);
    void fetch_missing();
    void fetch_from_store();
    void apply(std::uint64_t version, const std::string& digest, const std::string& text,
               const std::string& record);
    /// Carries out a step of a submission: sends its store request or reports its result.
    void advance(const std::shared_ptr<rules::submission_process>& process, const std::string& text,
                 rules::submission_process::step step, submit_completion on_result);
    /// Grows with the number of nodes, see `max_polls_per_second`.
    [[nodiscard]] milliseconds poll_interval() const;

    hooks hooks_;
    rules::version_tracker versions_;
    std::unique_ptr<request::route_table> routes_;
    std::string current_record_; ///< JSON of the record of the version in force
    time_point next_poll_;
    time_point next_fetch_;
    unsigned peer_fetches_ = 0; ///< requests to peers since the last fetch from the store
    bool polling_ = false;      ///< a read of the head row is in progress
    bool fetching_from_store_ = false;
};

} // namespace bulrushgw::node
