#include "net/http_connection.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

#include "net/sockets.h"

// Reading, time limits and the end of a connection. `http_connection_responses.cpp` has the rest.

namespace bulrushgw::net::detail {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;
/// Upper bound on the reads of one connection in one loop iteration, so that a fast sender does not
/// delay the others.
constexpr int max_reads_per_iteration = 4;

} // namespace

http_connection::http_connection(std::shared_ptr<http_server_context> context, h2o_socket_t* socket,
                                 memory_charge charge)
    : context_(std::move(context)), socket_(socket), charge_(std::move(charge)),
      partial_charge_(context_->limits.budget),
      pipeline_({context_->limits.max_pipelined, context_->limits.max_pipelined_bytes}),
      idle_since_(context_->event_loop.now())
{
}

void http_connection::start()
{
    socket_->data = this;
    // h2o reads until the socket has no more input. The connection reads itself, so that the bytes
    // of each read are bounded.
    h2o_socket_dont_read(socket_, 1);
    h2o_socket_read_start(socket_, on_socket_readable);
}

void http_connection::on_socket_readable(h2o_socket_t* socket, const char* failure)
{
    if (auto* self = static_cast<http_connection*>(socket->data)) {
        const auto keep = self->shared_from_this();
        self->on_readable(failure);
    }
}

void http_connection::on_socket_written(h2o_socket_t* socket, const char* failure)
{
    if (auto* self = static_cast<http_connection*>(socket->data)) {
        const auto keep = self->shared_from_this();
        self->on_written(failure);
    }
}

void http_connection::on_readable(const char* failure)
{
    if (failure != nullptr) {
        close();
    }
    else if (lingering_) {
        discard_input();
    }
    else if (may_read()) {
        read_input();
    }
    else {
        watch_for_disconnect();
    }
}

void http_connection::read_input()
{
    auto& buffer = context_->read_buffer;
    for (int i = 0; i < max_reads_per_iteration && !closed_ && may_read(); ++i) {
        const auto size =
            recv(h2o_socket_get_fd(socket_), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size < 0) {
            close();
            return;
        }
        if (size == 0) {
            on_input_ended();
            return;
        }
        input_ = {buffer.data(), static_cast<std::size_t>(size)};
        pump();
        if (static_cast<std::size_t>(size) < buffer.size()) {
            return;
        }
    }
}

void http_connection::discard_input()
{
    auto& buffer = context_->read_buffer;
    for (int i = 0; i < max_reads_per_iteration; ++i) {
        const auto size =
            recv(h2o_socket_get_fd(socket_), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size <= 0) {
            close();
            return;
        }
    }
}

// Notices a disconnect while no request is read. Input that waits in the socket would make it
// readable in every loop iteration, so the socket is not watched any more; `check_times` polls it.
void http_connection::watch_for_disconnect()
{
    char byte = 0;
    const auto size = recv(h2o_socket_get_fd(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        unread_input_ = true;
        h2o_socket_read_stop(socket_);
    }
    else if (size == 0) {
        on_input_ended();
    }
    else if (errno != EAGAIN && errno != EINTR) {
        close();
    }
}

bool http_connection::client_left() const
{
    pollfd state{h2o_socket_get_fd(socket_), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// The client closed its sending side, which counts as a disconnect. Responses that are being
// written are delivered.
void http_connection::on_input_ended()
{
    input_ended_ = true;
    cancel_requests();
    if (writing_) {
        h2o_socket_read_stop(socket_);
    }
    else {
        close();
    }
}

bool http_connection::may_parse() const
{
    return !closed_ && !refused_ && !closing_ && !input_ended_ &&
           pipeline_.may_read(partial_charge_.bytes());
}

bool http_connection::is_idle() const
{
    return !closed_ && !writing_ && pipeline_.is_empty() && partial_charge_.bytes() == 0;
}

milliseconds http_connection::unfinished_age(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - message_since_);
}

// Parses, starts requests and sends responses until nothing more can be done. Handlers may respond
// within their call, which does not enter this function again.
void http_connection::pump()
{
    if (pumping_ || closed_) {
        return;
    }
    pumping_ = true;
    const auto keep = shared_from_this();
    if (input_.empty()) {
        input_ = unparsed_;
    }
    bool has_changed = true;
    while (has_changed && !closed_) {
        has_changed = parse_input();
        end_partial_request();
        has_changed = (!closed_ && start_requests()) || has_changed;
        has_changed = (!closed_ && send_answers()) || has_changed;
    }
    pumping_ = false;
    if (!closed_) {
        keep_rest_of_input();
    }
    input_ = {};
    if (!closed_) {
        update_reading();
    }
}

void http_connection::keep_rest_of_input()
{
    std::string rest(refused_ || closing_ ? std::string_view{} : input_);
    const auto bytes = charge_.bytes() - unparsed_.size() + rest.size();
    unparsed_.swap(rest);
    if (!context_->reserve(charge_, bytes, memory_use::other, this)) {
        ++context_->counters.memory_closed;
        close();
    }
}

void http_connection::update_reading()
{
    if (input_ended_) {
        return;
    }
    if (lingering_ || may_read()) {
        unread_input_ = false;
    }
    if (!unread_input_) {
        h2o_socket_read_start(socket_, on_socket_readable);
    }
}

// Parses up to the end of a head or of a request. Returns false if there is nothing to parse.
bool http_connection::parse_input()
{
    if (input_.empty() || !may_parse()) {
        return false;
    }
    const auto now = context_->event_loop.now();
    if (parser_.current_state() == http_message_parser::state::idle) {
        message_since_ = now;
    }
    progress_ = now;
    const bool had_head = parser_.current_state() == http_message_parser::state::body;
    const auto& limits = context_->limits;
    input_.remove_prefix(parser_.parse(input_, {limits.max_header_bytes, limits.max_body_bytes}));
    if (parser_.current_state() == http_message_parser::state::refused) {
        refuse_unparsable();
        return true;
    }
    const bool has_body = parser_.current_state() == http_message_parser::state::body || had_head;
    // A request without a body counts at least one byte while it is read.
    const bool is_partial = parser_.current_state() != http_message_parser::state::idle;
    const auto bytes = is_partial ? std::max<std::size_t>(parser_.held_bytes(), 1) : 0;
    const auto use = has_body ? memory_use::body : memory_use::other;
    if (!context_->reserve(partial_charge_, bytes, use, this)) {
        refuse(status_unavailable, "memory is low", context_->counters.memory_refused);
        return true;
    }
    if (closed_) {
        return false;
    }
    if (parser_.current_state() == http_message_parser::state::complete) {
        accept_request();
    }
    else if (!had_head && parser_.current_state() == http_message_parser::state::body) {
        return begin_body();
    }
    return true;
}

bool http_connection::begin_body()
{
    if (context_->is_memory_low()) {
        refuse(status_unavailable, "memory is low", context_->counters.memory_refused);
        return true;
    }
    continue_due_ = parser_.expects_continue() && input_.empty();
    return true;
}

void http_connection::refuse_unparsable()
{
    auto& counters = context_->counters;
    const int status = parser_.refusal_status();
    if (status == status_body_too_large) {
        refuse(status, "body above the limit", counters.bodies_too_large);
    }
    else if (status == status_head_too_large) {
        refuse(status, "headers above the limit", counters.heads_too_large);
    }
    else {
        refuse(status, "invalid request", counters.malformed);
    }
}

// Refuses the request that is being read. The response has its turn after those ahead of it, and
// the connection is closed after it, because the rest of the input is not parsed.
void http_connection::refuse(int status, const char* text, std::uint64_t& counter)
{
    ++counter;
    refused_ = true;
    continue_due_ = false;
    parser_.abandon();
    partial_charge_.reset();
    input_ = {};
    const auto id = pipeline_.add(false, 0);
    slots_[id].response = make_refusal(status, text);
    finish_request(id, 0, true);
}

void http_connection::refuse_unfinished()
{
    const auto keep = shared_from_this();
    refuse(status_unavailable, "memory is low", context_->counters.memory_refused);
}

// Ends the request of which only a part was read when the connection stopped reading.
void http_connection::end_partial_request()
{
    if (closed_ || !finishing_ || refused_ || closing_ || !input_.empty()) {
        return;
    }
    if (parser_.current_state() == http_message_parser::state::body) {
        refuse(status_unavailable, "the server stops", context_->counters.stop_refused);
    }
    else if (parser_.current_state() == http_message_parser::state::head) {
        parser_.abandon();
        partial_charge_.reset();
        refused_ = true;
    }
}

bool http_connection::is_finished() const
{
    return finishing_ && pipeline_.is_empty() && input_.empty();
}

void http_connection::finish()
{
    if (closed_ || finishing_) {
        return;
    }
    finishing_ = true;
    const auto keep = shared_from_this();
    pump();
    close_if_finished();
}

void http_connection::close_if_finished()
{
    if (!closed_ && !writing_ && !closing_ && is_finished() && unparsed_.empty()) {
        closing_ = true;
        close_after_writing();
    }
}

bool http_connection::has_undelivered()
{
    if (closed_) {
        return false;
    }
    if (writing_ || lingering_ || !pipeline_.is_empty() || !unparsed_.empty()) {
        return true;
    }
    may_be_unacknowledged_ = may_be_unacknowledged_ && is_unacknowledged();
    return may_be_unacknowledged_;
}

bool http_connection::is_unacknowledged() const
{
    return unacknowledged_bytes(h2o_socket_get_fd(socket_)) > 0;
}

void http_connection::accept_request()
{
    auto parsed = parser_.take();
    continue_due_ = false;
    if (context_->limits.ignore_abandoned_requests && client_left()) {
        ++context_->abandoned_requests;
        on_input_ended();
        return;
    }
    const bool is_behind = writing_ || !pipeline_.is_empty();
    const bool may_run_ahead = is_behind && context_->limits.may_run_ahead &&
                               context_->limits.may_run_ahead(parsed.request);
    const auto id = pipeline_.add(may_run_ahead, partial_charge_.bytes());
    auto& entry = slots_[id];
    entry.request = std::move(parsed.request);
    entry.keep_alive = parsed.keep_alive;
    entry.is_head = parsed.is_head;
    entry.charge = std::exchange(partial_charge_, memory_charge(context_->limits.budget));
}

// Cancels the requests that run, and discards the others.
void http_connection::cancel_requests()
{
    for (const auto request : pipeline_.cancel_all()) {
        context_->event_loop.defer([hook = slots_.at(request).on_cancel, context = context_] {
            if (!context->closed && hook && *hook) {
                (*hook)();
            }
        });
    }
    slots_.clear();
    partial_charge_.reset();
    parser_.abandon();
    refused_ = true;
    continue_due_ = false;
}

void http_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    const auto keep = shared_from_this();
    cancel_requests();
    socket_->data = nullptr;
    h2o_socket_read_stop(socket_);
    // h2o may have a write in progress, which needs the bytes until the socket is closed. It calls
    // back for finished writes at the end of an iteration, and must not find a freed socket then.
    auto output = std::make_shared<std::vector<std::string>>(std::move(output_));
    context_->event_loop.defer([socket = socket_, output] { h2o_socket_close(socket); });
    output_charges_.clear();
    std::string().swap(unparsed_);
    charge_.reset();
    context_->on_closed(*this);
}

void http_connection::check_times(time_point now)
{
    using state = http_message_parser::state;
    const auto& limits = context_->limits;
    if (closed_) {
        return;
    }
    if (lingering_) {
        const bool is_being_read =
            finishing_ && is_unacknowledged() && now - writing_since_ <= limits.request_timeout;
        if (now >= linger_end_ && !is_being_read) {
            close();
        }
        return;
    }
    if (writing_ && now - writing_since_ > limits.request_timeout) {
        ++context_->counters.slow_readers;
        close();
        return;
    }
    if (!may_parse()) {
        // The client is not responsible for a request that is not read.
        message_since_ = now;
        progress_ = now;
        if (unread_input_ && !input_ended_ && client_left()) {
            on_input_ended();
        }
        return;
    }
    const bool is_crowded = context_->is_crowded();
    const auto calm_idle = context_->idle_timeout;
    const auto head = limits.header_timeout.count() > 0 ? limits.header_timeout : calm_idle;
    const auto idle = is_crowded ? std::min(head, calm_idle) : calm_idle;
    const auto body = context_->is_memory_low() ? std::min(head, idle) : idle;
    if (parser_.current_state() == state::head && now - message_since_ > head) {
        refuse(status_request_timeout, "the head is incomplete", context_->counters.heads_too_slow);
    }
    else if (parser_.current_state() == state::body && !continue_due_ && now - progress_ > body) {
        refuse(status_request_timeout, "the body is incomplete",
               context_->counters.bodies_too_slow);
    }
    else if (is_idle() && now - idle_since_ > idle) {
        close();
    }
}

} // namespace bulrushgw::net::detail
