#pragma once

/// Client logic of the platform store: budget, retries, read-back and the
/// mapping to HTTP messages (docs/design.md section 7). It opens no socket and
/// reads no clock: the caller sends the messages of `take_sends` and passes each
/// answer, and the time, back.

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
    /// Budget of all nodes together, see `rate_share`.
    double writes_per_second = 300;
    double reads_per_second = 1500;
    /// Nodes that share the budget, until `set_nodes`.
    std::size_t nodes = 32;
    milliseconds answer_timeout{2000}; ///< for one HTTP message
    /// For one request with all its attempts, beyond the time that it waits for
    /// its send slots.
    milliseconds patience{5000};
    std::size_t queue = 256;    ///< requests that wait or run
    std::size_t concurrent = 8; ///< HTTP messages in flight
};

/// Order of sending. Requests of one priority are sent in order of arrival.
enum class priority {
    interactive, ///< an operator waits; may use the reserve, see `rate_reserve`
    urgent,      ///< membership and placement
    normal,      ///< rules text, reads of the directory
    background,  ///< audit rows
};

enum class submission {
    accepted,   ///< the callback will be called exactly once
    queue_full, ///< nothing was sent; the callback will not be called
};

/// A message to send to the store. Pass its answer to `on_answer`, `on_not_sent`
/// or `on_lost` with the same id.
struct outgoing {
    std::uint64_t id = 0;
    http_message message;
    milliseconds timeout{0};
};

struct client_counters {
    std::uint64_t reads_sent = 0;
    std::uint64_t writes_sent = 0;
    std::uint64_t read_backs = 0;    ///< reads sent to resolve a lost answer
    std::uint64_t repeats = 0;       ///< messages sent again
    std::uint64_t answers_lost = 0;  ///< timeouts and broken connections
    std::uint64_t not_sent = 0;      ///< no connection
    std::uint64_t server_errors = 0; ///< status 5xx or 429
    std::uint64_t malformed = 0;     ///< answers that do not follow the protocol
    std::uint64_t late_answers = 0;  ///< answers to messages given up before
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;    ///< queue full
    std::uint64_t coalesced = 0;  ///< reads answered by an equal read
    std::uint64_t gave_up = 0;    ///< requests that ran out of patience
    std::uint64_t unresolved = 0; ///< writes that ended as `unknown`
};

/// Not thread-safe. Callbacks run inside the `on_` methods and may submit.
class client {
public:
    using callback = std::function<void(const reply&)>;

    /// `seed` makes the writer tokens, the send slots and the backoff.
    client(client_settings settings, std::uint64_t seed, time_point now);
    ~client();
    client(client&&) noexcept;
    client& operator=(client&&) noexcept;
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Nodes that share the budget. Precondition: nodes > 0.
    void set_nodes(time_point now, std::size_t nodes);

    /// An equal read that waits for its turn is joined; one that is under way is
    /// not, because its answer may be older than this call. Each priority below
    /// `urgent` may fill only a part of the queue.
    /// A written value must be JSON text. It is stored with a writer token, which
    /// reads remove again. A transaction whose answer was lost is read back
    /// before it is repeated; `status::unknown` is reported only when the rows
    /// have moved on or the store did not answer within `patience`.
    submission submit(time_point now, request work, priority order, callback on_reply);

    /// A whole HTTP answer arrived.
    void on_answer(time_point now, std::uint64_t id, int http_status, const std::string& body);
    /// Certainly no byte was sent.
    void on_not_sent(time_point now, std::uint64_t id);
    /// No whole answer; the store may have run the request.
    void on_lost(time_point now, std::uint64_t id);
    /// Times out, repeats and sends what the budget allows. Call at least every
    /// 50 ms: a send slot that is missed by `rate_slot_grace` passes unused.
    void on_tick(time_point now);

    /// Messages to send since the last call, in order.
    std::vector<outgoing> take_sends();
    [[nodiscard]] const client_counters& counters() const;
    /// Requests that were accepted and not answered.
    [[nodiscard]] std::size_t pending() const;
    /// True after the store answered and until it next fails.
    [[nodiscard]] bool is_store_up() const;
    /// Time of the last whole answer of the store; none before the first.
    [[nodiscard]] std::optional<time_point> last_answer() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::store
