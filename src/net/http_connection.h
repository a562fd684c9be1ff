#pragma once

/// One client connection of the HTTP server. Internal to the HTTP server.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_message_parser.h"
#include "net/memory_budget.h"
#include "net/request_pipeline.h"

namespace bulrushgw::net::detail {

class http_connection;

/// What a reservation is for. Bodies are refused before anything else. Only responses take the
/// place of other responses, those that their clients do not read.
enum class memory_use { body, response, other };

/// What the connections of a server share. It outlives the server while one of its handlers runs;
/// the hooks are not called then, because all connections are closed.
struct http_server_context {
    http_server_context(net::loop& server_loop, http_server::handler request_handler,
                        http_server_limits server_limits)
        : event_loop(server_loop), on_request(std::move(request_handler)),
          limits(std::move(server_limits)), idle_timeout(limits.request_timeout)
    {
    }

    net::loop& event_loop;
    http_server::handler on_request;
    http_server_limits limits;
    milliseconds idle_timeout;
    http_server_counters counters;
    std::uint64_t abandoned_requests = 0;
    bool closed = false; ///< the server is destroyed: `on_cancel` is not called any more
    std::vector<char> read_buffer;
    /// Changes a charge, if necessary by closing other connections than `requester`. Returns false
    /// if there is no room.
    std::function<bool(memory_charge&, std::size_t bytes, memory_use, http_connection* requester)>
        reserve;
    std::function<bool()> is_memory_low;
    /// True if few further connections are accepted.
    std::function<bool()> is_crowded;
    std::function<void(http_connection&)> on_closed;
};

/// Reads requests, calls the handler and sends the responses in order. Bytes are read into a buffer
/// that all connections share, so an idle connection holds no buffers. Not thread-safe.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    /// Takes over `socket` and `charge`, the reservation for the connection itself.
    http_connection(std::shared_ptr<http_server_context> context, h2o_socket_t* socket,
                    memory_charge charge);
    ~http_connection() = default;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    http_connection(http_connection&&) = delete;
    http_connection& operator=(http_connection&&) = delete;

    /// Starts to read. Call once, after construction.
    void start();
    /// Closes the connection and cancels its requests. Does nothing if it is closed.
    void close();
    /// Closes the connection, or refuses its unfinished request, if a time limit has passed.
    void check_times(time_point now);
    /// Refuses the unfinished request, to free its memory.
    void refuse_unfinished();
    /// Reads nothing more from the socket, and closes the connection once the requests that were
    /// read are answered and their responses are delivered.
    void finish();
    /// True if a request was read and its response is not delivered, see
    /// `http_server::undelivered`.
    [[nodiscard]] bool has_undelivered();

    /// Bytes of the request that is being read; 0 if there is none.
    [[nodiscard]] std::size_t unfinished_bytes() const { return partial_charge_.bytes(); }
    /// Time since the request that is being read began.
    [[nodiscard]] milliseconds unfinished_age(time_point now) const;
    /// True if no request is being read, runs or waits for its response to be written.
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] time_point idle_since() const { return idle_since_; }
    /// Bytes of the responses that are being written; 0 if there are none.
    [[nodiscard]] std::size_t unread_bytes() const;
    /// Time since the responses that are being written were passed to the socket.
    [[nodiscard]] milliseconds unread_age(time_point now) const;

private:
    /// A request from the end of its input until its response is written.
    struct slot {
        http_request request; ///< until the handler is called
        http_response response;
        bool keep_alive = false;
        bool is_head = false;
        bool is_dropped = false; ///< the connection is closed in place of a response
        std::shared_ptr<std::function<void()>> on_cancel;
        memory_charge charge; ///< of the request, then of the response
    };

    using number = request_pipeline::number;

    void on_readable(const char* failure);
    void read_input();
    void discard_input();
    void watch_for_disconnect();
    void on_input_ended();
    void on_written(const char* failure);
    void pump();
    bool parse_input();
    bool on_parsed();
    void keep_rest_of_input();
    void accept_request();
    bool start_requests();
    void call_handler(number request);
    bool send_answers();
    void add_output(slot& answered, bool closes);
    void write_output();
    bool begin_body();
    bool send_continue();
    void respond(number request, http_response response);
    void drop(number request);
    void finish_request(number request, std::size_t bytes, bool closes);
    void refuse(int status, const char* text, std::uint64_t& counter);
    void refuse_unparsable();
    [[nodiscard]] http_response make_refusal(int status, const char* text) const;
    bool reserve_copy(slot& entry);
    void cancel_requests();
    void close_after_writing();
    void end_partial_request();
    void close_if_finished();
    [[nodiscard]] bool is_unacknowledged() const;
    void update_reading();
    [[nodiscard]] bool may_parse() const;
    [[nodiscard]] bool may_read() const { return may_parse() && !finishing_; }
    /// True if no request that was read is left to answer after `finish`.
    [[nodiscard]] bool is_finished() const;
    [[nodiscard]] bool client_left() const;

    static void on_socket_readable(h2o_socket_t* socket, const char* failure);
    static void on_socket_written(h2o_socket_t* socket, const char* failure);

    std::shared_ptr<http_server_context> context_;
    h2o_socket_t* socket_;
    memory_charge charge_; ///< of the connection itself and `unparsed_`
    http_message_parser parser_;
    memory_charge partial_charge_; ///< of the request that is being read
    request_pipeline pipeline_;
    std::map<number, slot> slots_;
    std::string unparsed_;            ///< input behind the bound on pipelined requests
    std::string_view input_;          ///< within `pump`: received bytes that are not parsed yet
    std::vector<std::string> output_; ///< h2o keeps pointers to it until the write ends
    std::vector<memory_charge> output_charges_;
    time_point idle_since_;
    time_point message_since_; ///< first byte of the request that is being read
    time_point progress_;      ///< last byte of it
    time_point writing_since_;
    time_point linger_end_;
    bool pumping_ = false;
    bool closed_ = false;
    bool refused_ = false;   ///< no further request is read
    bool finishing_ = false; ///< nothing is read from the socket any more, see `finish`
    bool writing_ = false;
    bool may_be_unacknowledged_ = false; ///< since the last write
    bool closing_ = false;               ///< closed after the current write
    bool lingering_ = false;             ///< the last response was written; input is discarded
    bool input_ended_ = false;
    bool unread_input_ = false; ///< the socket has input that is not read for now
    bool continue_due_ = false; ///< "100 Continue" is sent when the responses ahead were sent
};

} // namespace bulrushgw::net::detail
