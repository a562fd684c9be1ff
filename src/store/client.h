#pragma once

/// Client of the platform store: rate limits, retries, read-back after a lost answer, and the
/// mapping to HTTP messages (docs/design.md section 7). The client opens no socket and reads no
/// clock: the caller sends the messages returned by `take_messages` and passes each answer and
/// the current time to the client.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "store/protocol.h"
#include "store/rate_limit.h"
#include "store/types.h"

namespace bulrushgw::store {

struct client_settings {
    /// Requests per second of all nodes together; see `rate_share`.
    double writes_per_second = 300;
    double reads_per_second = 1500;
    /// Number of nodes that share the budget until `set_nodes` is called.
    std::size_t nodes = 32;
    milliseconds answer_timeout{2000}; ///< for one HTTP message
    /// Time limit for a request with all its attempts. One period is added for each send slot
    /// (see `rate_limit`) that the request may have to wait for.
    milliseconds request_timeout{5000};
    std::size_t max_pending = 256; ///< requests queued or in progress
    std::size_t max_in_flight = 8; ///< HTTP messages in flight
};

/// Requests are sent in order of priority, and in order of arrival within a priority.
enum class priority {
    interactive, ///< an operator is waiting; may use the reserve, see `rate_reserve_tokens`
    urgent,      ///< membership and placement
    normal,      ///< rules text, reads of the node directory
    background,  ///< audit rows
};

enum class submission {
    accepted,   ///< the callback will be called exactly once
    queue_full, ///< nothing was sent; the callback will not be called
};

/// A message to send to the store. Its outcome must be reported through `on_answer`,
/// `on_not_sent` or `on_lost` with the same id.
struct outgoing {
    std::uint64_t id = 0;
    http_message message;
    milliseconds timeout{0};
};

struct client_counters {
    std::uint64_t reads_sent = 0;
    std::uint64_t writes_sent = 0;
    std::uint64_t read_backs = 0;    ///< reads sent to resolve a lost answer
    std::uint64_t retries = 0;       ///< requests sent again
    std::uint64_t answers_lost = 0;  ///< timeouts and broken connections
    std::uint64_t not_sent = 0;      ///< messages of which no byte was sent
    std::uint64_t server_errors = 0; ///< status 5xx or 429
    std::uint64_t malformed = 0;     ///< answers that violate the protocol
    std::uint64_t late_answers = 0;  ///< outcomes reported after the message or request timed out
    std::uint64_t conflicts = 0;     ///< transactions rejected because a condition did not hold
    std::uint64_t refused = 0;       ///< requests rejected because the queue was full
    std::uint64_t coalesced = 0;     ///< reads that shared the answer of an identical read
    std::uint64_t timed_out = 0;     ///< requests that timed out
    std::uint64_t unresolved = 0;    ///< writes that ended with `status::unknown`
};

/// Not thread-safe. Callbacks are called from the `on_` methods and may call `submit`.
class client {
public:
    using callback = std::function<void(const reply&)>;

    /// `seed` determines the writer tokens, the send slots and the backoff jitter.
    client(client_settings settings, std::uint64_t seed, time_point now);
    ~client();
    client(client&&) noexcept;
    client& operator=(client&&) noexcept;
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sets the number of nodes that share the budget. Precondition: nodes > 0.
    void set_nodes(time_point now, std::size_t nodes);

    /// Queues a request. A read is merged with an identical read that is still queued. It is not
    /// merged with a read in flight, whose answer may be older than this call. Each priority below
    /// `urgent` may fill only a part of the queue.
    ///
    /// A written value must be JSON text. The client stores a writer token with the value and
    /// removes the token when the value is read.
    ///
    /// If the answer to a transaction is lost, the client reads the rows of the transaction back
    /// before it sends the transaction again. The status `status::unknown` is reported only if
    /// other writers have changed the rows since, or if the store did not answer within
    /// `request_timeout`.
    submission submit(time_point now, request content, priority request_priority,
                      callback on_reply);

    /// A complete HTTP response arrived.
    void on_answer(time_point now, std::uint64_t id, int http_status, const std::string& body);
    /// No byte of the message was sent.
    void on_not_sent(time_point now, std::uint64_t id);
    /// No complete response arrived; the store may have executed the request.
    void on_lost(time_point now, std::uint64_t id);
    /// Handles timeouts and retries, and sends the requests that the rate limits allow. Call at
    /// least every 50 ms, because a send slot is lost if it is not used within `rate_slot_grace`.
    void on_tick(time_point now);

    /// Returns the messages that became due since the last call, in the order in which to send
    /// them.
    std::vector<outgoing> take_messages();
    [[nodiscard]] const client_counters& counters() const;
    /// Number of requests that were accepted and have not completed.
    [[nodiscard]] std::size_t pending() const;
    /// True if the store has answered a message and no message has failed since then.
    [[nodiscard]] bool is_store_up() const;
    /// Time of the last complete response of the store; none before the first.
    [[nodiscard]] std::optional<time_point> last_answer() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::store
