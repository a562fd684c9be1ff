#include "net/http_connection.h"

#include <cerrno>
#include <exception>
#include <sys/socket.h>
#include <utility>

#include "net/http_text.h"

// Handler calls and responses of a connection.

namespace bulrushgw::net::detail {

namespace {

constexpr int status_internal_error = 500;
constexpr int status_unavailable = 503;
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
    if (!context_->reserve(entry.charge, bytes, memory_use::response, this) && writing_) {
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
        const bool closes = answer->closes || is_finished();
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
    may_be_unacknowledged_ = true;
    writing_since_ = context_->event_loop.now();
    h2o_socket_write(socket_, buffers.data(), buffers.size(), on_socket_written);
}

std::size_t http_connection::unread_bytes() const
{
    std::size_t total = 0;
    for (const auto& text : output_) {
        total += text.size();
    }
    return closed_ || !writing_ ? 0 : total;
}

milliseconds http_connection::unread_age(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - writing_since_);
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
        close_if_finished();
    }
}

void http_connection::close_after_writing()
{
    char byte = 0;
    const bool has_input = unread_input_ || !unparsed_.empty() ||
                           recv(h2o_socket_get_fd(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    // The process may exit next, and input that arrives after that resets the connection.
    if (!has_input && !(finishing_ && is_unacknowledged())) {
        close();
        return;
    }
    std::string().swap(unparsed_);
    shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
    lingering_ = true;
    linger_end_ = context_->event_loop.now() + linger_time;
    update_reading();
}

} // namespace bulrushgw::net::detail
