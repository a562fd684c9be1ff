#include "net/http_connection.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

#include "net/http_text.h"

namespace bulrushgw::net::detail {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_internal_error = 500;
constexpr int status_unavailable = 503;
/// Upper bound on the reads of one connection in one loop iteration, so that a fast sender does not
/// delay the others.
constexpr int max_reads_per_iteration = 4;
/// Time for a client to read the last response while its further input is discarded. A socket that
/// is closed with unread input resets the connection, and the client may lose the response.
constexpr milliseconds linger_time{1000};
/// Memory of a response apart from its header bytes and its body.
constexpr std::size_t response_overhead = 256;
constexpr const char* interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

http_response error_response(int status, const char* text)
{
    return {status, {{"content-type", "text/plain"}}, std::string(text) + "\n"};
}

std::size_t response_bytes(const http_response& response)
{
    std::size_t total = response_overhead + response.body.size();
    for (const auto& entry : response.headers) {
        total += sizeof(header) + entry.name.size() + entry.value.size();
    }
    return total;
}

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
    else if (may_parse()) {
        read_input();
    }
    else {
        watch_for_disconnect();
    }
}

void http_connection::read_input()
{
    auto& buffer = context_->read_buffer;
    for (int i = 0; i < max_reads_per_iteration && !closed_ && may_parse(); ++i) {
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
    if (lingering_ || may_parse()) {
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

http_response http_connection::make_refusal(int status, const char* text) const
{
    auto response = error_response(status, text);
    if (context_->limits.refusal_headers) {
        for (auto& entry : context_->limits.refusal_headers(status)) {
            response.headers.push_back(std::move(entry));
        }
    }
    if (status == status_unavailable && !find_header(response.headers, "retry-after")) {
        response.headers.push_back({"retry-after", "1"});
    }
    return response;
}

void http_connection::refuse_unfinished()
{
    const auto keep = shared_from_this();
    refuse(status_unavailable, "memory is low", context_->counters.memory_refused);
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

bool http_connection::start_requests()
{
    bool has_started = false;
    while (!closed_) {
        const auto next = pipeline_.start_next();
        if (!next) {
            break;
        }
        has_started = true;
        call_handler(*next);
    }
    return has_started;
}

void http_connection::call_handler(number request)
{
    slot& entry = slots_.at(request);
    entry.on_cancel = std::make_shared<std::function<void()>>();
    if (!reserve_copy(entry)) {
        ++context_->counters.memory_refused;
        respond(request, make_refusal(status_unavailable, "memory is low"));
        return;
    }
    http_exchange exchange;
    exchange.request = std::move(entry.request);
    exchange.on_cancel = entry.on_cancel;
    const std::weak_ptr<http_connection> weak = weak_from_this();
    exchange.respond = [weak, request](http_response response) {
        if (const auto self = weak.lock()) {
            self->respond(request, std::move(response));
        }
    };
    exchange.drop = [weak, request] {
        if (const auto self = weak.lock()) {
            self->drop(request);
        }
    };
    try {
        // The handler may destroy the server.
        const auto context = context_;
        context->on_request(std::move(exchange));
    }
    catch (const std::exception&) {
        // An exception must not propagate through h2o's C stack frames.
        respond(request, error_response(status_internal_error, "internal error"));
    }
}

// A handler that forwards a request holds its body a second time. When memory is short, a request
// is started only if that copy fits. In calm, a body of more than half of the budget has to be
// served too.
bool http_connection::reserve_copy(slot& entry)
{
    constexpr std::size_t calm_divisor = 4;
    const auto bytes = entry.charge.bytes();
    const auto body = entry.request.body.size();
    if (body == 0 || context_->reserve(entry.charge, bytes + body, memory_use::other, this)) {
        return true;
    }
    const auto& budget = *context_->limits.budget;
    return budget.used() - bytes < budget.limit() / calm_divisor;
}

void http_connection::respond(number request, http_response response)
{
    const auto found = slots_.find(request);
    if (closed_ || found == slots_.end() || found->second.on_cancel == nullptr) {
        return;
    }
    slot& entry = found->second;
    entry.on_cancel = nullptr;
    std::exchange(entry.request, {});
    const auto bytes = response_bytes(response);
    entry.response = std::move(response);
    entry.charge = memory_charge(context_->limits.budget);
    if (!context_->reserve(entry.charge, bytes, memory_use::other, this) && writing_) {
        // The client does not read the responses before this one, and there is no room to keep it.
        ++context_->counters.memory_closed;
        close();
        return;
    }
    finish_request(request, bytes, !entry.keep_alive);
}

void http_connection::drop(number request)
{
    const auto found = slots_.find(request);
    if (closed_ || found == slots_.end() || found->second.on_cancel == nullptr) {
        return;
    }
    found->second.on_cancel = nullptr;
    found->second.is_dropped = true;
    finish_request(request, 0, true);
}

void http_connection::finish_request(number request, std::size_t bytes, bool closes)
{
    pipeline_.respond(request, bytes, closes);
    pump();
}

bool http_connection::send_answers()
{
    if (writing_ || closing_) {
        return false;
    }
    if (send_continue()) {
        return true;
    }
    while (const auto answer = pipeline_.take_answer()) {
        auto answered = std::move(slots_.extract(answer->request).mapped());
        const bool closes = answer->closes || (context_->stopping && !pipeline_.has_started());
        if (!answered.is_dropped) {
            add_output(answered, closes);
        }
        if (closes) {
            // Requests behind this one count as not read, and running ones are idempotent.
            closing_ = true;
            unread_input_ = unread_input_ || refused_ || !input_.empty() || !pipeline_.is_empty();
            cancel_requests();
            break;
        }
    }
    if (output_.empty()) {
        if (closing_) {
            close();
        }
        return false;
    }
    write_output();
    return true;
}

bool http_connection::send_continue()
{
    if (!continue_due_ || !pipeline_.is_empty()) {
        return false;
    }
    continue_due_ = false;
    output_.emplace_back(interim_response);
    write_output();
    return true;
}

void http_connection::add_output(slot& answered, bool closes)
{
    output_.push_back(response_head(answered.response, closes));
    if (!answered.is_head && has_response_body(answered.response.status)) {
        output_.push_back(std::move(answered.response.body));
    }
    output_charges_.push_back(std::move(answered.charge));
}

void http_connection::write_output()
{
    std::vector<h2o_iovec_t> buffers;
    buffers.reserve(output_.size());
    for (auto& text : output_) {
        buffers.push_back(h2o_iovec_init(text.data(), text.size()));
    }
    writing_ = true;
    writing_since_ = context_->event_loop.now();
    h2o_socket_write(socket_, buffers.data(), buffers.size(), on_socket_written);
}

void http_connection::on_written(const char* failure)
{
    writing_ = false;
    output_.clear();
    output_charges_.clear();
    idle_since_ = context_->event_loop.now();
    if (failure != nullptr || input_ended_) {
        close();
    }
    else if (closing_) {
        close_after_writing();
    }
    else {
        pipeline_.on_sent();
        pump();
    }
}

void http_connection::close_after_writing()
{
    char byte = 0;
    const bool has_input = unread_input_ || !unparsed_.empty() ||
                           recv(h2o_socket_get_fd(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (!has_input) {
        close();
        return;
    }
    std::string().swap(unparsed_);
    shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
    lingering_ = true;
    linger_end_ = context_->event_loop.now() + linger_time;
    update_reading();
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
        if (now >= linger_end_) {
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
