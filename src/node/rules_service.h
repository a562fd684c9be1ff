#pragma once

/// The rules in force at this node: learns newer versions from the store and
/// from peers, and carries submissions of operators.

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

/// Not thread-safe: all calls and hooks run on the node's loop.
class rules_service {
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(store::request, store::priority,
                           std::function<void(const store::reply&)>)>
            call_store;
        /// Sends a frame body to one live peer that differs from call to call;
        /// false when no peer is known.
        std::function<bool(const wire::body&)> ask_peer;
        std::function<void(const ownership::rules_stamp&)> announce;
        /// A higher version is in force.
        std::function<void()> on_applied;
        std::function<void(const std::string& cause)> on_refused;
        std::function<std::size_t()> node_count;
    };

    using submit_completion = std::function<void(const rules::submission_result&)>;

    explicit rules_service(hooks hooks);

    /// Call at least every 50 ms.
    void on_tick();
    /// A version is known to exist, from a peer.
    void on_stamp(const ownership::rules_stamp& stamp);
    void on_text(const wire::rules_text& text);
    /// The text of the version in force, for a peer that asks; none when this
    /// node does not have that version.
    [[nodiscard]] std::optional<wire::rules_text> text_for(const wire::rules_pull& pull) const;
    /// An informed peer or the store answered.
    void on_news();

    void submit(rules::submission input, submit_completion on_result);

    /// None before the first rules were applied.
    [[nodiscard]] const request::route_table* routes() const { return routes_.get(); }
    [[nodiscard]] std::shared_ptr<const rules::rules_in_force> current() const;
    [[nodiscard]] const std::string& current_record() const { return record_; }
    [[nodiscard]] const rules::version_keeper& versions() const { return keeper_; }
    [[nodiscard]] bool possibly_stale() const;

private:
    void poll_head();
    void on_head(const store::reply& reply);
    void fetch_missing();
    void fetch_from_store();
    void apply(std::uint64_t version, const std::string& digest, const std::string& text,
               const std::string& record);
    void advance(const std::shared_ptr<rules::submission_process>& process, const std::string& text,
                 rules::submission_process::step step, submit_completion on_result);
    [[nodiscard]] milliseconds poll_interval() const;

    hooks hooks_;
    rules::version_keeper keeper_;
    std::unique_ptr<request::route_table> routes_;
    std::string record_; ///< JSON of the row of the version in force
    time_point next_poll_;
    time_point next_fetch_;
    unsigned peer_fetches_ = 0; ///< since the last one from the store
    bool polling_ = false;
    bool fetching_from_store_ = false;
};

} // namespace bulrushgw::node
