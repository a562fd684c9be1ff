#include "net/http_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <utility>

#include "net/sockets.h"

namespace bulrushgw::net {

bool is_final_status(int status)
{
    constexpr int lowest = 200;
    constexpr int highest = 599;
    return status >= lowest && status <= highest;
}

namespace detail {

namespace {

constexpr std::string_view token_punctuation = "!#$%&'*+-.^_`|~";

constexpr std::array<std::string_view, 10> connection_headers = {
    "connection", "content-length",   "transfer-encoding", "keep-alive", "te",
    "upgrade",    "proxy-connection", "trailer",           "expect",     "http2-settings",
};

constexpr std::array<std::pair<int, const char*>, 21> reason_phrases = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {417, "Expectation Failed"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

/// First allocation for the head of a response, which few heads exceed.
constexpr std::size_t usual_head_bytes = 512;

bool is_token_character(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           token_punctuation.find(c) != std::string_view::npos;
}

bool is_value_character(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

} // namespace

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_request_target(std::string_view text)
{
    return text == "*" ||
           (!text.empty() && text.front() == '/' &&
            std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; }));
}

bool is_valid_header(const header& entry)
{
    return is_token(entry.name) &&
           std::all_of(entry.value.begin(), entry.value.end(), is_value_character);
}

bool is_valid_request(const http_request& request)
{
    return is_token(request.method) && is_request_target(request.path) &&
           std::all_of(request.headers.begin(), request.headers.end(), is_valid_header);
}

std::string request_head(const endpoint& address, const http_request& request,
                         std::size_t body_bytes)
{
    std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!find_header(request.headers, "host")) {
        head += "host: " + to_string(address) + "\r\n";
    }
    for (const auto& entry : request.headers) {
        if (!is_connection_header(entry.name)) {
            head += entry.name + ": " + entry.value + "\r\n";
        }
    }
    return head + "content-length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

std::optional<std::chrono::seconds> keep_alive_timeout(const header_list& headers)
{
    constexpr std::string_view name = "timeout=";
    const auto keep_alive = find_header(headers, "keep-alive").value_or("");
    const auto at = keep_alive.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = keep_alive.substr(at + name.size());
    unsigned seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc{} ? std::optional{std::chrono::seconds{seconds}} : std::nullopt;
}

bool is_connection_header(std::string_view name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view entry) { return is_same_header_name(entry, name); });
}

const char* reason_phrase(int status)
{
    const auto* found = std::find_if(reason_phrases.begin(), reason_phrases.end(),
                                     [&](const auto& entry) { return entry.first == status; });
    return found == reason_phrases.end() ? "Status" : found->second;
}

bool has_response_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
}

std::string response_head(const http_response& response, bool closes)
{
    constexpr int internal_error = 500;
    const int status = is_final_status(response.status) ? response.status : internal_error;
    std::string head;
    head.reserve(usual_head_bytes);
    head += "HTTP/1.1 ";
    head += std::to_string(status);
    head += ' ';
    head += reason_phrase(status);
    head += closes ? "\r\nconnection: close\r\n" : "\r\nconnection: keep-alive\r\n";
    if (has_response_body(status)) {
        head += "content-length: " + std::to_string(response.body.size()) + "\r\n";
    }
    for (const auto& entry : response.headers) {
        if (is_valid_header(entry) && !is_connection_header(entry.name)) {
            const auto start = static_cast<std::ptrdiff_t>(head.size());
            head += entry.name;
            std::transform(head.begin() + start, head.end(), head.begin() + start,
                           [](unsigned char letter) { return std::tolower(letter); });
            head += ": ";
            head += entry.value;
            head += "\r\n";
        }
    }
    head += "\r\n";
    return head;
}

} // namespace detail

} // namespace bulrushgw::net
