#pragma once

/// The order of the requests on one client connection. Internal to the HTTP server.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bulrushgw::net::detail {

/// Decides when a request of a connection starts, when its response is sent, and whether further
/// requests are read. Clients send requests ahead of the responses (pipelining); without reading
/// ahead each of them waits for the one before it. Without bounds, one connection could occupy the
/// process. Pure; not thread-safe.
///
/// The first request without a response starts once all responses before it were sent. A request
/// behind it starts only if it may run ahead. Responses are sent in the order of the requests.
class request_pipeline {
public:
    using number = std::uint64_t;

    struct bounds {
        std::size_t max_ahead = 0; ///< requests that are read behind the first one
        /// Bytes of the requests that have not started and of the responses that wait for their
        /// turn. At this bound, nothing further is read, and no request runs ahead.
        std::size_t max_bytes = 0;
    };

    struct answer {
        number request = 0;
        bool closes = false; ///< the connection is closed after this response
    };

    explicit request_pipeline(bounds limits) : limits_(limits) {}

    /// Adds a request that was read and holds `bytes`.
    number add(bool may_run_ahead, std::size_t bytes);
    /// Returns the next request to start, which then counts as running, or none.
    std::optional<number> start_next();
    /// Records the response to a request, which holds `bytes`. Returns false if the request is
    /// unknown or has a response. A request that has not started is refused in this way.
    bool respond(number request, std::size_t bytes, bool closes);
    /// Removes the first request and returns it if its response is due, or none. No response
    /// follows one that closes the connection.
    std::optional<answer> take_answer();
    /// All responses of `take_answer` were written.
    void on_sent() { sending_ = false; }
    /// Removes all requests. Returns those that were running, whose work is to be cancelled.
    std::vector<number> cancel_all();
    /// Removes the requests behind the last one that is running or answered, and returns their
    /// number. They count as not read.
    std::size_t drop_waiting();

    /// True if another request may be read. `partial_bytes` belong to the request being read.
    [[nodiscard]] bool may_read(std::size_t partial_bytes) const;
    [[nodiscard]] bool is_empty() const { return entries_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    enum class stage { waiting, running, answered };

    struct entry {
        number id = 0;
        stage current_stage = stage::waiting;
        bool may_run_ahead = false;
        bool closes = false;
        std::size_t bytes = 0; ///< 0 while running
    };

    bounds limits_;
    std::deque<entry> entries_;
    std::size_t held_bytes_ = 0; ///< sum of the `bytes` of all entries
    number next_ = 1;
    bool sending_ = false; ///< a response that `take_answer` returned is being written
};

} // namespace bulrushgw::net::detail
