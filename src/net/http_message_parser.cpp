#include "net/http_message_parser.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include "net/http_text.h"
#include "net/sockets.h"

namespace bulrushgw::net::detail {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_body_too_large = 413;
constexpr int status_expectation_failed = 417;
constexpr int status_head_too_large = 431;
/// Upper bound on the headers of a request, so that tiny headers do not cost much more memory than
/// bytes. It equals the bound of h2o's parser, which clients of this server rely on.
constexpr std::size_t max_headers = 100;
/// http_parser fails above 80 KiB; a lower bound makes the refusal a 431.
constexpr std::size_t largest_head_limit = std::size_t{64} * 1024;
/// Upper bound on the line of a chunk size with its extensions, which this server ignores.
constexpr std::size_t max_chunk_line_bytes = 256;
/// Upper bounds on the bytes of lines: those of a head apart from names and values, and those of
/// chunks for each byte of the body. A chunk of one byte has five.
constexpr std::size_t max_line_overhead = std::size_t{4} * 1024;
constexpr std::size_t max_framing_bytes_per_body_byte = 8;
/// From this size, the memory of a body counts by its bytes: the allocator maps such blocks, and
/// the system provides pages only when they are written.
constexpr std::size_t mapped_body_bytes = std::size_t{32} * 1024;
constexpr std::size_t empty_line_bytes = 2;
constexpr std::size_t min_body_capacity = 1024;

void lower_case(std::string& text)
{
    for (char& letter : text) {
        letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }
}

void trim_end(std::string& text)
{
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.pop_back();
    }
}

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

// Bytes above 127 are accepted, since routes do not depend on them.
bool is_valid_target(std::string_view path)
{
    return path == "*" ||
           (path.starts_with('/') && std::all_of(path.begin(), path.end(), [](char c) {
                const auto byte = static_cast<unsigned char>(c);
                return byte > ' ' && byte != 0x7f;
            }));
}

// Replaces an absolute target, "http://host/path", by its path and its host.
void split_absolute_target(http_request& request)
{
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (!request.path.starts_with(scheme)) {
            continue;
        }
        const auto end =
            std::min(request.path.find_first_of("/?", scheme.size()), request.path.size());
        const std::string host = request.path.substr(scheme.size(), end - scheme.size());
        request.path.erase(0, end);
        if (request.path.empty() || request.path.front() != '/') {
            request.path.insert(0, "/");
        }
        std::erase_if(request.headers, [](const header& entry) { return entry.name == "host"; });
        request.headers.insert(request.headers.begin(), {"host", host});
    }
}

} // namespace

http_message_parser::http_message_parser()
{
    reset();
}

void http_message_parser::reset()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    state_ = state::idle;
    part_ = part::head;
    // An assignment of an empty request would keep the memory of the strings.
    std::exchange(request_, {});
    value_started_ = false;
    expects_continue_ = false;
    in_chunk_extension_ = false;
    last_byte_ = 0;
    line_bytes_ = 0;
    head_lines_ = 0;
    head_bytes_ = 0;
    framing_bytes_ = 0;
    data_left_ = 0;
    announced_body_bytes_ = 0;
}

void http_message_parser::refuse(int status)
{
    abandon();
    refusal_status_ = status;
}

void http_message_parser::abandon()
{
    state_ = state::refused;
    // An assignment of an empty request would keep the memory of the strings.
    std::exchange(request_, {});
}

std::size_t http_message_parser::held_bytes() const
{
    const std::size_t body = request_.body.capacity() <= mapped_body_bytes
                                 ? request_.body.capacity()
                                 : request_.body.size();
    return head_bytes_ + request_.headers.capacity() * sizeof(header) + body;
}

http_message_parser& http_message_parser::self_of(http_parser* parser)
{
    return *static_cast<http_message_parser*>(parser->data);
}

http_parser_settings http_message_parser::make_callbacks()
{
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_url = [](http_parser* parser, const char* text, std::size_t size) {
        auto& self = self_of(parser);
        if (!self.count_head_bytes(size)) {
            return 1;
        }
        self.request_.path.append(text, size);
        return 0;
    };
    result.on_header_field = [](http_parser* parser, const char* text, std::size_t size) {
        auto& self = self_of(parser);
        if (!self.count_head_bytes(size)) {
            return 1;
        }
        if (self.part_ == part::trailer) {
            return 0;
        }
        auto& headers = self.request_.headers;
        if (headers.empty() || self.value_started_) {
            if (headers.size() >= max_headers) {
                self.refuse(status_head_too_large);
                return 1;
            }
            headers.emplace_back();
            self.value_started_ = false;
        }
        headers.back().name.append(text, size);
        return 0;
    };
    result.on_header_value = [](http_parser* parser, const char* text, std::size_t size) {
        auto& self = self_of(parser);
        if (!self.count_head_bytes(size)) {
            return 1;
        }
        if (self.part_ != part::trailer) {
            self.value_started_ = true;
            self.request_.headers.back().value.append(text, size);
        }
        return 0;
    };
    result.on_headers_complete = [](http_parser* parser) {
        return self_of(parser).on_headers_complete();
    };
    result.on_body = [](http_parser* parser, const char* text, std::size_t size) {
        return self_of(parser).on_body({text, size});
    };
    result.on_chunk_header = [](http_parser* parser) {
        auto& self = self_of(parser);
        self.data_left_ = parser->content_length;
        self.part_ = self.data_left_ == 0 ? part::trailer : part::chunk_data;
        if (self.exceeds_body_limit(self.data_left_)) {
            self.refuse(status_body_too_large);
            return 1;
        }
        return 0;
    };
    result.on_message_complete = [](http_parser* parser) {
        self_of(parser).state_ = state::complete;
        http_parser_pause(parser, 1);
        return 0;
    };
    return result;
}

bool http_message_parser::count_head_bytes(std::size_t size)
{
    head_bytes_ += size;
    if (head_bytes_ <= std::min(limits_->max_head_bytes, largest_head_limit)) {
        return true;
    }
    refuse(status_head_too_large);
    return false;
}

std::size_t http_message_parser::parse(std::string_view bytes, const message_limits& limits)
{
    limits_ = &limits;
    std::size_t consumed = 0;
    // Empty lines before a request are ignored, since some clients send one after a body.
    while (state_ == state::idle && bytes.substr(consumed).starts_with("\r\n")) {
        consumed += 2;
    }
    const auto before = state_;
    while (consumed < bytes.size() && state_ != state::complete && state_ != state::refused) {
        if (before != state::body && state_ == state::body) {
            break; // the caller decides about the body
        }
        const auto rest = bytes.substr(consumed);
        const bool is_data = part_ == part::body || part_ == part::chunk_data;
        consumed += is_data ? parse_data(rest) : parse_lines(rest);
    }
    limits_ = nullptr;
    return consumed;
}

void http_message_parser::execute(std::string_view bytes)
{
    static const http_parser_settings callbacks = make_callbacks();
    const auto parsed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
    if (state_ != state::refused && state_ != state::complete &&
        (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != bytes.size())) {
        refuse(status_bad_request);
    }
}

std::size_t http_message_parser::parse_data(std::string_view bytes)
{
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), data_left_));
    data_left_ -= size;
    if (data_left_ == 0 && part_ == part::chunk_data) {
        part_ = part::chunk_end;
    }
    execute(bytes.substr(0, size));
    return size;
}

// Parses one line, or all lines of a head that have arrived. Each line is checked before
// http_parser, which accepts a bare line feed, gets to see it.
std::size_t http_message_parser::parse_lines(std::string_view bytes)
{
    if (state_ == state::idle) {
        state_ = state::head;
    }
    const bool is_head = part_ == part::head;
    std::size_t size = 0;
    bool is_head_end = false;
    do {
        const auto rest = bytes.substr(size);
        const auto feed = rest.find('\n');
        const auto line = rest.substr(0, feed == std::string_view::npos ? feed : feed + 1);
        is_head_end = head_lines_ > 0 && line_bytes_ + line.size() == empty_line_bytes &&
                      feed != std::string_view::npos;
        size += line.size();
        if (!check_line(line)) {
            return size;
        }
    } while (is_head && !is_head_end && size < bytes.size());
    execute(bytes.substr(0, size));
    return size;
}

bool http_message_parser::check_line(std::string_view line)
{
    framing_bytes_ += line.size();
    if (!check_framing(line)) {
        refuse(status_bad_request);
        return false;
    }
    if (is_above_framing_bound()) {
        refuse(part_ == part::head ? status_head_too_large : status_bad_request);
        return false;
    }
    line_bytes_ += line.size();
    last_byte_ = line.back();
    if (last_byte_ == '\n') {
        line_bytes_ = 0;
        last_byte_ = 0;
        in_chunk_extension_ = false;
        head_lines_ += part_ == part::head ? 1 : 0;
        part_ = part_ == part::chunk_end ? part::chunk_line : part_;
    }
    return true;
}

// A line ends with a carriage return and a line feed, and contains neither before its end.
bool http_message_parser::check_line_end(std::string_view line) const
{
    if (last_byte_ == '\r') {
        return line == "\n";
    }
    const auto end = line.find('\r');
    if (end == std::string_view::npos) {
        return line.back() != '\n';
    }
    const auto rest = line.substr(end + 1);
    return rest.empty() || rest == "\n";
}

bool http_message_parser::check_framing(std::string_view line)
{
    if (!check_line_end(line)) {
        return false;
    }
    if (part_ == part::chunk_end) {
        return line.find_first_not_of("\r\n") == std::string_view::npos;
    }
    if (part_ == part::chunk_line) {
        return check_chunk_line(line);
    }
    const bool is_header_line = part_ == part::trailer || head_lines_ > 0;
    return !(line_bytes_ == 0 && is_header_line && is_blank(line.front()));
}

// A chunk's line is its size in hexadecimal digits, and extensions after a semicolon.
bool http_message_parser::check_chunk_line(std::string_view line)
{
    if (line_bytes_ + line.size() > max_chunk_line_bytes) {
        return false;
    }
    for (const char c : line) {
        const bool is_line_end = c == '\r' || c == '\n';
        if (in_chunk_extension_) {
            const auto byte = static_cast<unsigned char>(c);
            if (!is_line_end && c != '\t' && (byte < ' ' || byte == 0x7f)) {
                return false;
            }
        }
        else if (c == ';') {
            in_chunk_extension_ = true;
        }
        else if (!is_line_end && std::isxdigit(static_cast<unsigned char>(c)) == 0) {
            return false;
        }
    }
    return true;
}

bool http_message_parser::is_above_framing_bound() const
{
    return framing_bytes_ > std::min(limits_->max_head_bytes, largest_head_limit) +
                                max_line_overhead +
                                max_framing_bytes_per_body_byte * request_.body.size();
}

bool http_message_parser::exceeds_body_limit(std::uint64_t added_bytes) const
{
    // The limit may have been lowered since the request began.
    const auto limit = std::max(limits_->max_body_bytes, request_.body.size());
    return added_bytes > limit - request_.body.size();
}

int http_message_parser::on_headers_complete()
{
    constexpr int stop = -1;
    for (auto& entry : request_.headers) {
        lower_case(entry.name);
        trim_end(entry.value);
    }
    if (!check_headers() || !check_body_headers()) {
        return stop;
    }
    // The server supports no other protocol, so an upgrade is ignored.
    parser_.upgrade = 0;
    split_absolute_target(request_);
    if (!is_valid_target(request_.path)) {
        refuse(status_bad_request);
        return stop;
    }
    std::erase_if(request_.headers, [](const header& entry) {
        return entry.name == "content-length" || entry.name == "transfer-encoding" ||
               entry.name == "expect" || entry.name == "upgrade";
    });
    return 0;
}

bool http_message_parser::check_headers()
{
    const auto count = [&](std::string_view name) {
        return std::count_if(request_.headers.begin(), request_.headers.end(),
                             [&](const header& entry) { return entry.name == name; });
    };
    const bool is_known_version =
        parser_.http_major == 1 && (parser_.http_minor == 0 || parser_.http_minor == 1);
    const bool names_are_valid =
        std::all_of(request_.headers.begin(), request_.headers.end(),
                    [](const header& entry) { return is_token(entry.name); });
    if (!is_known_version || !names_are_valid || parser_.method == HTTP_CONNECT ||
        count("host") > 1 || count("content-length") > 1 || count("transfer-encoding") > 1) {
        refuse(status_bad_request);
        return false;
    }
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    return true;
}

bool http_message_parser::check_body_headers()
{
    const auto encoding = find_header(request_.headers, "transfer-encoding");
    const auto length = find_header(request_.headers, "content-length");
    const bool is_chunked = encoding && is_same_header_name(*encoding, "chunked");
    if (encoding && (!is_chunked || length || parser_.http_minor == 0)) {
        refuse(status_bad_request);
        return false;
    }
    // http_parser sets the largest value if there is no length.
    const bool has_length = !is_chunked && length &&
                            parser_.content_length != std::numeric_limits<std::uint64_t>::max();
    announced_body_bytes_ = has_length ? parser_.content_length : 0;
    if (announced_body_bytes_ > limits_->max_body_bytes) {
        refuse(status_body_too_large);
        return false;
    }
    const bool has_body = is_chunked || announced_body_bytes_ > 0;
    if (const auto expectation = find_header(request_.headers, "expect")) {
        if (!is_same_header_name(*expectation, "100-continue")) {
            refuse(status_expectation_failed);
            return false;
        }
        expects_continue_ = has_body && parser_.http_minor > 0;
    }
    if (has_body) {
        state_ = state::body;
        part_ = is_chunked ? part::chunk_line : part::body;
        data_left_ = announced_body_bytes_;
    }
    return true;
}

int http_message_parser::on_body(std::string_view bytes)
{
    if (exceeds_body_limit(bytes.size())) {
        refuse(status_body_too_large);
        return 1;
    }
    grow_body(request_.body.size() + bytes.size());
    request_.body.append(bytes);
    return 0;
}

// Doubles the capacity until the body is large, then takes the announced length. A client that
// announces a length and sends little thus costs little.
void http_message_parser::grow_body(std::size_t size)
{
    auto& body = request_.body;
    if (size <= body.capacity()) {
        return;
    }
    std::size_t wanted = std::max({size, 2 * body.capacity(), min_body_capacity});
    if (announced_body_bytes_ > 0) {
        const auto announced = static_cast<std::size_t>(announced_body_bytes_);
        wanted = size > mapped_body_bytes ? announced : std::min(wanted, announced);
    }
    body.reserve(std::min(wanted, std::max(size, limits_->max_body_bytes)));
}

parsed_request http_message_parser::take()
{
    parsed_request result;
    http_parser_pause(&parser_, 0);
    result.keep_alive = http_should_keep_alive(&parser_) != 0;
    result.is_head = parser_.method == HTTP_HEAD;
    result.request = std::move(request_);
    result.request.headers.shrink_to_fit();
    reset();
    return result;
}

} // namespace bulrushgw::net::detail
