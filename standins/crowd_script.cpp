#include <array>
#include <cstdio>
#include <string_view>

#include "common/errors.h"
#include "net/stream_codec.h"
#include "standins/crowd.h"
#include "wire/messages.h"

namespace bulrushgw::standin {

namespace {

constexpr std::size_t large_chunks = 3;
/// As many one-byte chunks as the clients were seen to send in one body.
constexpr std::size_t small_chunks = 150000;
constexpr std::size_t endless_chunk_bytes = std::size_t{64} * 1024;
/// Bodies and heads "without an end" end here, which is twice the highest `maxBodyBytes`.
constexpr std::size_t endless_bytes = std::size_t{128} * 1024 * 1024;
constexpr std::size_t announced_bytes = std::size_t{10} * 1024 * 1024 * 1024;
/// Below the smallest limit on heads, 16,384 bytes.
constexpr std::size_t unfinished_head_bytes = 15000;
constexpr std::size_t pipelined_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t unread_answers = 20;
constexpr std::size_t header_value_bytes = 1000;
constexpr std::size_t missing_frame_bytes = 100;

std::string head(const crowd_options& options, const std::string& method, std::size_t number,
                 const std::string& framing)
{
    return method + " " + options.path + " HTTP/1.1\r\nHost: " + options.host +
           "\r\nRequest-Id: crowd-" + std::to_string(number) + "\r\n" + framing + "\r\n";
}

std::string with_length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string chunk(std::size_t bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'a') + "\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

crowd_script large_chunk_body(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, chunked), chunk(options.body_bytes / large_chunks),
            large_chunks};
}

crowd_script small_chunk_body(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, chunked), chunk(1), small_chunks};
}

crowd_script declared_body(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, with_length(options.body_bytes)) +
                std::string(options.body_bytes - 1, 'a'),
            ""};
}

crowd_script endless_body(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, chunked), chunk(endless_chunk_bytes),
            endless_bytes / endless_chunk_bytes};
}

crowd_script announced_body(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, with_length(announced_bytes)),
            std::string(endless_chunk_bytes, 'a'), endless_bytes / endless_chunk_bytes};
}

// Every second head stays below the limit and stops; the others go on.
crowd_script unfinished_head(const crowd_options& options, std::size_t number)
{
    const std::string line = "X-Fill: " + std::string(header_value_bytes, 'a') + "\r\n";
    const auto bytes = number % 2 == 0 ? unfinished_head_bytes : endless_bytes;
    return {"POST " + options.path + " HTTP/1.1\r\nHost: " + options.host + "\r\n", line,
            bytes / line.size() - 1};
}

// Behind the running request, every second connection sends whole bodies, the others small
// requests.
crowd_script pipelined(const crowd_options& options, std::size_t number)
{
    const auto body = std::string(options.body_bytes, 'a');
    const auto next = number % 2 == 0
                          ? head(options, "POST", number, with_length(options.body_bytes)) + body
                          : head(options, "GET", number,
                                 "X-Fill: " + std::string(header_value_bytes, 'a') + "\r\n");
    return {head(options, "GET", number, ""), next, pipelined_bytes / next.size()};
}

crowd_script stopped_reader(const crowd_options& options, std::size_t number)
{
    return {"", head(options, "GET", number, ""), unread_answers, false};
}

crowd_script upload(const crowd_options& options, std::size_t number)
{
    return {head(options, "POST", number, with_length(options.body_bytes)) +
                std::string(options.body_bytes, 'a'),
            ""};
}

// The connection's first frame announces the highest size and stops short of it. The bytes compress
// well, so that the peer holds far more than it receives.
crowd_script unfinished_frame(const crowd_options&, std::size_t)
{
    std::string frame(wire::length_bytes + wire::max_frame_bytes - missing_frame_bytes, 'a');
    for (std::size_t i = 0; i < wire::length_bytes; ++i) {
        constexpr unsigned bits_per_byte = 8;
        frame[i] = static_cast<char>(wire::max_frame_bytes >>
                                     (bits_per_byte * (wire::length_bytes - 1 - i)));
    }
    return {net::detail::stream_compressor().compress(frame), ""};
}

struct kind {
    std::string_view name;
    std::string_view description;
    crowd_script (*make)(const crowd_options&, std::size_t);
};

constexpr std::array<kind, 10> kinds{{
    {"large-chunks", "chunked bodies in three chunks that stop before their end", large_chunk_body},
    {"small-chunks", "chunked bodies in one-byte chunks that stop before their end",
     small_chunk_body},
    {"declared", "bodies with a declared length that stop one byte before it", declared_body},
    {"endless", "chunked bodies without an end", endless_body},
    {"announced", "bodies that announce a length far over any limit", announced_body},
    {"heads", "request heads that never end", unfinished_head},
    {"pipelined", "requests and bodies sent behind a running request", pipelined},
    {"readers", "requests whose answers are not read", stopped_reader},
    {"uploads", "whole bodies with a declared length", upload},
    {"frames", "frames between nodes that stop before their end", unfinished_frame},
}};

} // namespace

std::string crowd_kinds()
{
    std::string result;
    for (const auto& each : kinds) {
        result += std::string(each.name) + ": " + std::string(each.description) + "\n";
    }
    return result;
}

crowd_script make_crowd_script(const crowd_options& options, std::size_t number)
{
    for (const auto& each : kinds) {
        if (each.name == options.kind) {
            return each.make(options, number);
        }
    }
    throw parse_error("unknown kind of crowd: " + options.kind);
}

} // namespace bulrushgw::standin
