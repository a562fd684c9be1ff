#pragma once

/// The sidecar's only client of the platform's store: reads and writes the leader's record and
/// watches the manifest and the orders of evacuation. Every call has a timeout, since a connection
/// may lose all data without reporting an error.

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "net/http.h"
#include "net/loop.h"
#include "sidecar/protocol.h"
#include "sidecar/store_outcome.h"

namespace bulrushgw::sidecar {

/// Not thread-safe: runs on one loop. Callbacks run on the loop.
class store_session {
public:
    struct hooks {
        /// Receives the text of a manifest. It may be older than a text received earlier.
        std::function<void(const std::string& text)> on_manifest;
        /// Receives the orders of evacuation in each answer to a read of all orders (`is_read`) or
        /// to a watch for changes. The store has confirmed the others, so it is also called without
        /// a change.
        std::function<void(const routing::evacuation_rows&, bool is_read)> on_evacuations;
        /// The store named its era for the first time, or it came back from an older copy and the
        /// era has risen. Called before the answer that shows it is handled.
        std::function<void(std::uint64_t era)> on_era;
        /// The store became available or unavailable. `cause` is for logs.
        std::function<void(bool up, const std::string& cause)> on_state;
    };

    /// All hooks must be set; `loop` and `protocol` must outlive this object. `seed` initializes
    /// the generator of retry delays.
    store_session(net::loop& loop, net::endpoint address, const platform_protocol& protocol,
                  std::uint64_t seed, hooks callbacks);

    /// Reads the manifest and the orders of evacuation and starts to watch them for changes.
    void watch_manifest();
    /// If `fast` is true, the watch uses short calls, so that a broken connection to the store is
    /// detected soon. This is needed while other nodes learn of a new manifest from this node. If
    /// `fast` is false, the watch uses long calls, which cost the store less.
    void set_fast_watch(bool fast);
    /// The outcome is `unknown` for an answer from an era before the latest one.
    void read_leader(std::function<void(store_outcome, const leader_rows&)> done);
    /// With `store_outcome::done`, `version` is the row's new version. The outcome is `unknown` for
    /// a write that was executed in another era than that of the expected version.
    void write_leader(const leader_write& content,
                      std::function<void(store_outcome, store_version version)> done);
    [[nodiscard]] bool is_up() const { return up_; }
    /// Latest era of the store; none: it has named none.
    [[nodiscard]] std::optional<std::uint64_t> era() const { return era_; }
    /// Number of calls to the store since the start.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct call_result {
        store_outcome outcome = store_outcome::unknown;
        const net::http_response* response = nullptr;
        std::uint64_t era = 0; ///< of the answer; 0 if it names none
    };

    void call(const net::http_request& request, milliseconds timeout,
              std::function<void(const call_result&)> done);
    call_result read_answer(const net::http_response& response);
    void accept_era(std::optional<std::uint64_t> era);
    void read_manifest();
    void continue_watch();
    void retry_watch();
    void set_state(bool up, const std::string& cause);

    net::loop& loop_;
    net::endpoint address_;
    const platform_protocol& protocol_;
    std::mt19937_64 random_;
    hooks hooks_;
    net::http_client http_;
    std::optional<std::uint64_t> era_;
    std::uint64_t watched_version_ = 0;
    bool fast_watch_ = false;
    /// Number of the current watch. Answers to calls of earlier watches are ignored.
    std::uint64_t watch_generation_ = 0;
    unsigned failures_ = 0; ///< successive failed calls of the watch
    bool up_ = true;
    std::uint64_t calls_ = 0;
};

} // namespace bulrushgw::sidecar
