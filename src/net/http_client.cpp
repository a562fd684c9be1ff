#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <set>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include <http_parser.h>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_text.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

/// Below the request timeout of the server, so that the server does not close a
/// connection that is about to be reused.
constexpr milliseconds idle_limit{5000};
/// Taken off the time that a server tells for idle connections.
constexpr milliseconds idle_margin{500};
/// Addresses without calls are forgotten when there are this many.
constexpr std::size_t max_idle_destinations = 64;
/// Bytes that the head of an answer may take beside its body.
constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
/// Bytes around each byte of a body: a chunk of one byte takes five more. A server that
/// sends more, such as interim answers or chunk extensions without end, does not answer.
constexpr std::size_t most_framing = 8;
/// Answers to earlier requests that may come before the one that is waited for.
constexpr unsigned max_skipped = 2;
/// Calls that wait for a connection to one address; further calls are refused.
constexpr std::size_t max_waiting_per_address = 10000;
constexpr int informational = 100;
constexpr int switching_protocols = 101;
constexpr int first_final = 200;

bool is_writable(const http_request& request)
{
    return detail::is_token(request.method) && detail::is_request_target(request.path) &&
           std::all_of(request.headers.begin(), request.headers.end(), detail::is_valid_header);
}

std::string to_bytes(const endpoint& address, const http_request& request)
{
    std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!find_header(request.headers, "host")) {
        head += "host: " + to_string(address) + "\r\n";
    }
    for (const auto& entry : request.headers) {
        if (!detail::is_connection_header(entry.name)) {
            head += entry.name + ": " + entry.value + "\r\n";
        }
    }
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return head + request.body;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// Time for which the server keeps an idle connection, if the answer tells it.
milliseconds idle_time(const header_list& headers)
{
    constexpr std::string_view name = "timeout=";
    const std::string told(find_header(headers, "keep-alive").value_or(""));
    const auto at = told.find(name);
    unsigned seconds = 0;
    if (at == std::string::npos ||
        std::from_chars(told.data() + at + name.size(), told.data() + told.size(), seconds).ec !=
            std::errc{}) {
        return idle_limit;
    }
    return std::min(idle_limit, milliseconds{std::chrono::seconds{seconds}} - idle_margin);
}

} // namespace

/// Built on h2o's sockets and on http_parser. h2o's own client is not used: it ends
/// the process on some malformed answers, takes a reset for the end of an answer
/// without a length, and keeps connections on which more than the answer came.
struct http_client::state {
    struct call;
    struct destination;

    struct connection {
        state* owner = nullptr;
        destination* to = nullptr;
        h2o_socket_t* socket = nullptr;
        http_parser parser{};
        call* current = nullptr; ///< null while idle
        std::string writing;     ///< h2o refers to it until the write ends
        bool write_pending = false;
        bool used_before = false; ///< an earlier call was answered on it
        time_point idle_since{};
        milliseconds idle_for{idle_limit};
    };

    /// Connections and waiting calls of one address.
    struct destination {
        endpoint address;
        std::size_t active = 0;
        std::deque<call_id> waiting;
        std::vector<connection*> idle;
    };

    enum class phase { waiting, connecting, written, finished };

    struct call {
        state* owner = nullptr;
        call_id id = 0;
        destination* to = nullptr;
        connection* on = nullptr;
        std::string bytes;
        bool head_only = false;
        phase now = phase::waiting;
        bool in_before_write = false;
        std::uint64_t timer = 0;
        http_response response;
        std::size_t head_bytes = 0;
        bool value_begun = false;   ///< the last header has a value
        std::size_t received = 0;   ///< bytes on the connection since the request
        std::size_t body_bytes = 0; ///< of these, also those of skipped answers
        bool complete = false;
        bool rejected = false; ///< above a limit, or not accepted by the caller
        bool skipping = false; ///< the present answer belongs to an earlier request
        unsigned skipped = 0;
        callback on_result;
        std::function<bool()> before_write;
        std::function<head_verdict(const http_response&, bool)> accept_head;
    };

    net::loop& owner;
    std::size_t max_connections;
    std::size_t max_response_bytes;
    http_parser_settings parsing{};
    std::map<endpoint, std::unique_ptr<destination>> destinations;
    std::unordered_map<call_id, std::unique_ptr<call>> calls;
    std::map<connection*, std::unique_ptr<connection>> connections;
    call_id next_call = 1;
    /// Tells deferred results whether the client still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(net::loop& on_loop, std::size_t most_connections, std::size_t response_bytes)
        : owner(on_loop), max_connections(std::max<std::size_t>(most_connections, 1)),
          max_response_bytes(response_bytes)
    {
        http_parser_settings_init(&parsing);
        parsing.on_status = on_status;
        parsing.on_header_field = on_header_field;
        parsing.on_header_value = on_header_value;
        parsing.on_headers_complete = on_headers_complete;
        parsing.on_body = on_body;
        parsing.on_message_complete = on_message_complete;
    }

    destination& find_destination(const endpoint& address);
    void forget_idle_destinations();
    void begin(call& entry);
    void connect(call& entry);
    void write(connection& on, call& entry);
    connection* take_idle(destination& to);
    void start_waiting(destination& to);
    void finish(call& entry, http_result result);
    void fail(call& entry, http_failure failure) { finish(entry, {std::nullopt, failure}); }
    void abort(call& entry, http_failure after_write);
    void close(connection& on);
    void read(connection& on, const char* failure);
    void complete(connection& on, bool reusable);

    static call& call_of(http_parser* parser);
    static void on_connected(h2o_socket_t* socket, const char* failure);
    static void on_written(h2o_socket_t* socket, const char* failure);
    static void on_readable(h2o_socket_t* socket, const char* failure);
    static int on_status(http_parser* parser, const char* text, std::size_t size);
    static int on_header_field(http_parser* parser, const char* text, std::size_t size);
    static int on_header_value(http_parser* parser, const char* text, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* text, std::size_t size);
    static int on_message_complete(http_parser* parser);
};

http_client::state::destination& http_client::state::find_destination(const endpoint& address)
{
    const auto found = destinations.find(address);
    if (found != destinations.end()) {
        return *found->second;
    }
    detail::to_socket_address(address);
    if (destinations.size() >= max_idle_destinations) {
        forget_idle_destinations();
    }
    auto& slot = destinations[address];
    slot = std::make_unique<destination>();
    slot->address = address;
    return *slot;
}

void http_client::state::forget_idle_destinations()
{
    for (auto at = destinations.begin(); at != destinations.end();) {
        destination& to = *at->second;
        if (to.active == 0 && to.waiting.empty()) {
            while (!to.idle.empty()) {
                close(*to.idle.back());
            }
            at = destinations.erase(at);
        }
        else {
            ++at;
        }
    }
}

// An idle connection on which something came, or which the server is about to
// close, is not used again.
http_client::state::connection* http_client::state::take_idle(destination& to)
{
    while (!to.idle.empty()) {
        connection* on = to.idle.back();
        char byte = 0;
        const auto got = recv(h2o_socket_get_fd(on->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool quiet = got < 0 && (errno == EAGAIN || errno == EINTR);
        if (quiet && owner.now() - on->idle_since < on->idle_for) {
            to.idle.pop_back();
            return on;
        }
        close(*on);
    }
    return nullptr;
}

void http_client::state::begin(call& entry)
{
    ++entry.to->active;
    entry.now = phase::connecting;
    if (connection* on = take_idle(*entry.to)) {
        write(*on, entry);
    }
    else {
        connect(entry);
    }
}

void http_client::state::connect(call& entry)
{
    auto target = detail::to_socket_address(entry.to->address);
    h2o_socket_t* socket = h2o_socket_connect(
        owner.evloop(), reinterpret_cast<sockaddr*>(&target.bytes), target.size, on_connected);
    if (socket == nullptr) {
        fail(entry, http_failure::connect);
        return;
    }
    auto created = std::make_unique<connection>();
    created->owner = this;
    created->to = entry.to;
    created->socket = socket;
    created->current = &entry;
    entry.on = created.get();
    socket->data = created.get();
    connections.emplace(created.get(), std::move(created));
}

void http_client::state::on_connected(h2o_socket_t* socket, const char* failure)
{
    auto& on = *static_cast<connection*>(socket->data);
    auto& self = *on.owner;
    call& entry = *on.current;
    if (failure != nullptr) {
        self.close(on);
        self.fail(entry, http_failure::connect);
        return;
    }
    self.write(on, entry);
}

void http_client::state::write(connection& on, call& entry)
{
    on.current = &entry;
    entry.on = &on;
    if (entry.before_write) {
        entry.in_before_write = true;
        bool allowed = false;
        try {
            allowed = entry.before_write();
        }
        catch (const std::exception&) {
            // An exception must not cross h2o's C frames.
            allowed = false;
        }
        entry.in_before_write = false;
        if (!allowed) {
            close(on);
            fail(entry, http_failure::not_sent);
            return;
        }
    }
    entry.now = phase::written;
    http_parser_init(&on.parser, HTTP_RESPONSE);
    on.parser.data = &on;
    on.writing = std::move(entry.bytes);
    on.write_pending = true;
    h2o_iovec_t buffer = h2o_iovec_init(on.writing.data(), on.writing.size());
    h2o_socket_write(on.socket, &buffer, 1, on_written);
    h2o_socket_read_start(on.socket, on_readable);
}

void http_client::state::on_written(h2o_socket_t* socket, const char* failure)
{
    auto& on = *static_cast<connection*>(socket->data);
    on.write_pending = false;
    // What the server said before it closed is still read.
    if (failure != nullptr && on.current == nullptr) {
        on.owner->close(on);
    }
}

void http_client::state::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto& on = *static_cast<connection*>(socket->data);
    on.owner->read(on, failure);
}

http_client::state::call& http_client::state::call_of(http_parser* parser)
{
    return *static_cast<connection*>(parser->data)->current;
}

int http_client::state::on_status(http_parser* parser, const char*, std::size_t)
{
    call_of(parser).response.status = static_cast<int>(parser->status_code);
    return 0;
}

int http_client::state::on_header_field(http_parser* parser, const char* text, std::size_t size)
{
    call& entry = call_of(parser);
    entry.head_bytes += size;
    if (entry.response.headers.empty() || entry.value_begun) {
        entry.response.headers.emplace_back();
        entry.value_begun = false;
    }
    entry.response.headers.back().name.append(text, size);
    return entry.head_bytes > max_head_bytes ? 1 : 0;
}

int http_client::state::on_header_value(http_parser* parser, const char* text, std::size_t size)
{
    call& entry = call_of(parser);
    entry.head_bytes += size;
    entry.value_begun = true;
    entry.response.headers.back().value.append(text, size);
    return entry.head_bytes > max_head_bytes ? 1 : 0;
}

int http_client::state::on_headers_complete(http_parser* parser)
{
    call& entry = call_of(parser);
    constexpr int skip_body = 1;
    constexpr int stop = -1;
    const int status = static_cast<int>(parser->status_code);
    entry.response.status = status;
    for (auto& item : entry.response.headers) {
        item.name = lower_case(std::move(item.name));
    }
    if (status < first_final || status == switching_protocols) {
        return 0;
    }
    if (entry.accept_head) {
        auto verdict = head_verdict::refuse;
        try {
            verdict = entry.accept_head(entry.response, !entry.on->used_before);
        }
        catch (const std::exception&) {
            // An exception must not cross the parser's C frames.
            verdict = head_verdict::refuse;
        }
        // One that ends with its connection leaves no place for the right answer.
        const bool may_skip = verdict == head_verdict::skip && entry.skipped < max_skipped &&
                              http_should_keep_alive(parser) != 0;
        if (verdict != head_verdict::accept && !may_skip) {
            entry.rejected = true;
            return stop;
        }
        entry.skipping = may_skip;
    }
    return entry.head_only ? skip_body : 0;
}

int http_client::state::on_body(http_parser* parser, const char* text, std::size_t size)
{
    call& entry = call_of(parser);
    if (entry.response.body.size() + size > entry.owner->max_response_bytes) {
        entry.rejected = true;
        return 1;
    }
    entry.body_bytes += size;
    entry.response.body.append(text, size);
    return 0;
}

int http_client::state::on_message_complete(http_parser* parser)
{
    call& entry = call_of(parser);
    const int status = static_cast<int>(parser->status_code);
    const bool interim =
        status >= informational && status < first_final && status != switching_protocols;
    if (interim || entry.skipping) {
        // The final answer follows.
        entry.skipped += std::exchange(entry.skipping, false) ? 1 : 0;
        entry.response = {};
        entry.value_begun = false;
        return 0;
    }
    entry.complete = true;
    // What follows belongs to no call.
    http_parser_pause(parser, 1);
    return 0;
}

void http_client::state::read(connection& on, const char* failure)
{
    if (on.current == nullptr) {
        close(on);
        return;
    }
    call& entry = *on.current;
    auto& input = on.socket->input;
    const std::size_t size = input->size;
    std::size_t used = 0;
    if (size > 0) {
        entry.received += size;
        used = http_parser_execute(&on.parser, &parsing, input->bytes, size);
        h2o_buffer_consume(&input, size);
    }
    const auto parsed = HTTP_PARSER_ERRNO(&on.parser);
    const bool endless =
        entry.received > (max_skipped + 1) * max_head_bytes + (1 + most_framing) * entry.body_bytes;
    entry.rejected = entry.rejected || (endless && !entry.complete);
    if (!entry.complete && (entry.rejected || (parsed != HPE_OK && parsed != HPE_PAUSED))) {
        close(on);
        fail(entry, http_failure::malformed);
        return;
    }
    // An answer without a length ends with its connection, unless that was reset.
    if (!entry.complete && failure == h2o_socket_error_closed) {
        http_parser_execute(&on.parser, &parsing, nullptr, 0);
    }
    if (entry.complete) {
        const bool reusable = failure == nullptr && used == size && !on.write_pending &&
                              entry.skipped == 0 && http_should_keep_alive(&on.parser) != 0;
        complete(on, reusable);
    }
    else if (failure != nullptr) {
        close(on);
        fail(entry, http_failure::closed);
    }
}

void http_client::state::complete(connection& on, bool reusable)
{
    call& entry = *on.current;
    on.current = nullptr;
    entry.on = nullptr;
    on.idle_for = idle_time(entry.response.headers);
    on.used_before = true;
    if (reusable && on.idle_for.count() > 0) {
        on.idle_since = owner.now();
        on.to->idle.push_back(&on);
    }
    else {
        close(on);
    }
    finish(entry, {std::move(entry.response), http_failure::closed});
}

void http_client::state::close(connection& on)
{
    if (on.current != nullptr) {
        on.current->on = nullptr;
    }
    std::erase(on.to->idle, &on);
    h2o_socket_close(on.socket);
    connections.erase(&on);
}

void http_client::state::start_waiting(destination& to)
{
    while (to.active < max_connections && !to.waiting.empty()) {
        const auto found = calls.find(to.waiting.front());
        to.waiting.pop_front();
        if (found != calls.end()) {
            begin(*found->second);
        }
    }
}

// The result is delivered at the end of the turn, so that the caller's next call
// can reuse the connection, and may destroy what it likes.
void http_client::state::finish(call& entry, http_result result)
{
    owner.cancel(entry.timer);
    const bool was_active = entry.now != phase::waiting;
    if (!was_active) {
        std::erase(entry.to->waiting, entry.id);
    }
    entry.now = phase::finished;
    auto node = calls.extract(entry.id);
    auto done = std::make_shared<std::unique_ptr<call>>(std::move(node.mapped()));
    owner.defer([this, done, was_active, is_alive = alive, result = std::move(result)]() mutable {
        const auto finished = std::move(*done);
        if (*is_alive && was_active) {
            --finished->to->active;
            start_waiting(*finished->to);
        }
        finished->on_result(std::move(result));
    });
}

// Ends a call early. Only a call whose bytes were not written is certainly not sent.
void http_client::state::abort(call& entry, http_failure after_write)
{
    const phase before = entry.now;
    if (entry.on != nullptr) {
        close(*entry.on);
    }
    if (before == phase::written) {
        fail(entry, after_write);
    }
    else {
        fail(entry, before == phase::connecting ? http_failure::connect : http_failure::not_sent);
    }
}

http_client::http_client(loop& loop, std::size_t max_connections_per_address,
                         std::size_t max_response_bytes)
    : state_(std::make_unique<state>(loop, max_connections_per_address, max_response_bytes))
{
}

http_client::~http_client()
{
    while (!state_->calls.empty()) {
        state_->abort(*state_->calls.begin()->second, http_failure::closed);
    }
    *state_->alive = false;
    while (!state_->connections.empty()) {
        state_->close(*state_->connections.begin()->first);
    }
}

http_client::call_id
http_client::send(const endpoint& address, const http_request& request, milliseconds timeout,
                  callback on_result, std::function<bool()> before_write,
                  std::function<head_verdict(const http_response&, bool)> accept_head)
{
    auto& self = *state_;
    auto& to = self.find_destination(address);
    auto created = std::make_unique<state::call>();
    auto& entry = *created;
    entry.owner = &self;
    entry.id = self.next_call++;
    entry.to = &to;
    entry.head_only = request.method == "HEAD";
    entry.on_result = std::move(on_result);
    entry.before_write = std::move(before_write);
    entry.accept_head = std::move(accept_head);
    const auto id = entry.id;
    self.calls.emplace(id, std::move(created));
    if (!is_writable(request) || to.waiting.size() >= max_waiting_per_address) {
        self.fail(entry, http_failure::not_sent);
        return id;
    }
    entry.bytes = to_bytes(address, request);
    entry.timer = self.owner.after(timeout, [&self, id] {
        const auto found = self.calls.find(id);
        if (found != self.calls.end()) {
            self.abort(*found->second, http_failure::timeout);
        }
    });
    if (to.active < self.max_connections) {
        self.begin(entry);
    }
    else {
        to.waiting.push_back(id);
    }
    return id;
}

void http_client::cancel(call_id call)
{
    const auto found = state_->calls.find(call);
    // Within `before_write` the caller ends the call by its result instead.
    if (found != state_->calls.end() && !found->second->in_before_write) {
        state_->abort(*found->second, http_failure::closed);
    }
}

} // namespace bulrushgw::net
