#include "net/http_response_parser.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <utility>

#include "net/http_text.h"

namespace bulrushgw::net::detail {

namespace {

/// Upper bound on the bytes of the field names and values that one call reads, including those of
/// interim and skipped responses.
constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
/// Upper bound on the framing bytes for each body byte. A chunk with one body byte has five framing
/// bytes. A response is rejected when its input exceeds this bound, for example by endless interim
/// responses or chunk extensions.
constexpr std::size_t max_framing_bytes_per_body_byte = 8;
/// Upper bound on the responses to earlier requests that one call skips.
constexpr unsigned max_skipped_responses = 2;
constexpr int status_switching_protocols = 101;
/// The begin of a status line: the version, a space, and a status of three digits. `x` is any digit
/// and `#` the first digit of a status. `http_parser` also takes longer numbers and more spaces.
constexpr std::string_view status_line_pattern = "HTTP/1.x #xx";

bool matches_pattern(char pattern, char c)
{
    switch (pattern) {
    case 'x':
        return c >= '0' && c <= '9';
    case '#':
        return c >= '1' && c <= '5';
    default:
        return c == pattern;
    }
}

void make_lower_case(std::string& text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
}

} // namespace

http_response_parser::http_response_parser(response_options options) : options_(std::move(options))
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
}

http_response_parser& http_response_parser::self_of(http_parser* parser)
{
    return *static_cast<http_response_parser*>(parser->data);
}

http_parser_settings http_response_parser::make_callbacks()
{
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_header_field = [](http_parser* parser, const char* text, std::size_t size) {
        return self_of(parser).on_header_name({text, size});
    };
    result.on_header_value = [](http_parser* parser, const char* text, std::size_t size) {
        return self_of(parser).on_header_value({text, size});
    };
    result.on_headers_complete = [](http_parser* parser) {
        return self_of(parser).on_headers_complete();
    };
    result.on_body = [](http_parser* parser, const char* text, std::size_t size) {
        return self_of(parser).on_body({text, size});
    };
    result.on_message_complete = [](http_parser* parser) {
        self_of(parser).on_message_complete();
        // The bytes that follow belong to another response, or to none.
        http_parser_pause(parser, 1);
        return 0;
    };
    return result;
}

std::size_t http_response_parser::parse(std::string_view bytes)
{
    static const http_parser_settings callbacks = make_callbacks();
    std::size_t consumed = 0;
    while (state_ == state::reading && consumed < bytes.size()) {
        const auto piece = next_piece(bytes.substr(consumed));
        if (!check_status_line(piece) || !check_line_start(piece)) {
            state_ = state::rejected;
            break;
        }
        const auto size = http_parser_execute(&parser_, &callbacks, piece.data(), piece.size());
        consumed += size;
        parsed_bytes_ += size;
        const auto error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
        }
        else if (error != HPE_OK) {
            state_ = state::rejected;
        }
        if (state_ == state::reading && is_above_byte_limit()) {
            state_ = state::rejected;
        }
    }
    return consumed;
}

// A head is parsed line by line, the rest as it comes.
std::string_view http_response_parser::next_piece(std::string_view bytes) const
{
    const auto line_end = head_complete_ ? std::string_view::npos : bytes.find('\n');
    return bytes.substr(0, line_end == std::string_view::npos ? line_end : line_end + 1);
}

// A line that begins with a blank continues the value before it. Another reader may take it for a
// field.
bool http_response_parser::check_line_start(std::string_view piece)
{
    const bool is_folded =
        !head_complete_ && at_line_start_ && (piece.front() == ' ' || piece.front() == '\t');
    at_line_start_ = piece.back() == '\n';
    return !is_folded;
}

// Checks those of the bytes that belong to the begin of a status line.
bool http_response_parser::check_status_line(std::string_view bytes)
{
    for (const char c : bytes.substr(0, status_line_pattern.size() + 1 - status_line_.size())) {
        const auto at = status_line_.size();
        const bool is_valid = at < status_line_pattern.size()
                                  ? matches_pattern(status_line_pattern[at], c)
                                  : c == ' ' || c == '\r' || c == '\n';
        if (!is_valid) {
            return false;
        }
        status_line_ += c;
    }
    return true;
}

bool http_response_parser::is_above_byte_limit() const
{
    return parsed_bytes_ > (max_skipped_responses + 1) * max_head_bytes +
                               (1 + max_framing_bytes_per_body_byte) * body_bytes_;
}

bool http_response_parser::count_head_bytes(std::size_t size)
{
    head_bytes_ += size;
    return head_bytes_ <= max_head_bytes;
}

int http_response_parser::on_header_name(std::string_view text)
{
    if (!count_head_bytes(text.size())) {
        return 1;
    }
    if (head_complete_) {
        return 0;
    }
    if (response_.headers.empty() || value_started_) {
        response_.headers.emplace_back();
        value_started_ = false;
    }
    response_.headers.back().name.append(text);
    return 0;
}

int http_response_parser::on_header_value(std::string_view text)
{
    if (!count_head_bytes(text.size())) {
        return 1;
    }
    if (!head_complete_) {
        value_started_ = true;
        response_.headers.back().value.append(text);
    }
    return 0;
}

int http_response_parser::on_headers_complete()
{
    constexpr int skip_body = 1;
    constexpr int stop = -1;
    head_complete_ = true;
    response_.status = static_cast<int>(parser_.status_code);
    for (auto& item : response_.headers) {
        make_lower_case(item.name);
    }
    const bool is_valid =
        std::all_of(response_.headers.begin(), response_.headers.end(), is_valid_header);
    if (!is_valid || response_.status == status_switching_protocols) {
        return stop;
    }
    if (!is_final_status(response_.status)) {
        return 0;
    }
    if (options_.accept_head) {
        auto verdict = head_verdict::refuse;
        try {
            verdict = options_.accept_head(response_);
        }
        catch (const std::exception&) {
            // An exception must not propagate through the parser's C stack frames.
            verdict = head_verdict::refuse;
        }
        // A response that ends only when the connection is closed is not skipped, because no other
        // response can follow it.
        const bool may_skip = verdict == head_verdict::skip && skipped_ < max_skipped_responses &&
                              http_should_keep_alive(&parser_) != 0;
        is_last_ = verdict == head_verdict::accept_last;
        if (verdict != head_verdict::accept && !is_last_ && !may_skip) {
            return stop;
        }
        skipping_ = may_skip;
    }
    return options_.head_only ? skip_body : 0;
}

int http_response_parser::on_body(std::string_view text)
{
    if (response_.body.size() + text.size() > options_.max_body_bytes) {
        return 1;
    }
    body_bytes_ += text.size();
    response_.body.append(text);
    return 0;
}

void http_response_parser::on_message_complete()
{
    if (is_final_status(response_.status) && !skipping_) {
        state_ = state::complete;
        return;
    }
    // The response to this call follows.
    skipped_ += std::exchange(skipping_, false) ? 1 : 0;
    response_ = {};
    status_line_.clear();
    value_started_ = false;
    head_complete_ = false;
    at_line_start_ = false;
}

void http_response_parser::on_orderly_end()
{
    static const http_parser_settings callbacks = make_callbacks();
    if (state_ == state::reading) {
        http_parser_execute(&parser_, &callbacks, nullptr, 0);
    }
}

bool http_response_parser::may_reuse_connection() const
{
    return skipped_ == 0 && !is_last_ && http_should_keep_alive(&parser_) != 0;
}

} // namespace bulrushgw::net::detail
