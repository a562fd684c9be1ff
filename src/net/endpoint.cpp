#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>

#include "net/http.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

bool is_ip_address(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

} // namespace

endpoint parse_endpoint(const std::string& text)
{
    const auto fail = [&](const char* expected) -> address_error {
        return address_error("address \"" + text + "\": expected " + expected);
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw fail("IP:port");
    }
    endpoint result;
    result.ip = text.substr(0, colon);
    int family = AF_INET;
    if (result.ip.size() > 2 && result.ip.front() == '[' && result.ip.back() == ']') {
        result.ip = result.ip.substr(1, result.ip.size() - 2);
        family = AF_INET6;
    }
    if (!is_ip_address(family, result.ip)) {
        throw fail("an IPv4 address, or an IPv6 address in brackets, before the port");
    }
    const char* end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data() + colon + 1, end, result.port);
    if (failure != std::errc{} || parsed_end != end || colon + 1 == text.size()) {
        throw fail("a port from 0 to 65535");
    }
    return result;
}

std::string to_string(const endpoint& address)
{
    const bool v6 = address.ip.find(':') != std::string::npos;
    return (v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    for (const auto& entry : headers) {
        if (detail::is_same_header_name(entry.name, name)) {
            return entry.value;
        }
    }
    return std::nullopt;
}

namespace detail {

bool is_same_header_name(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

socket_address to_socket_address(const endpoint& address)
{
    socket_address result;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&result.bytes);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.bytes);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        result.size = sizeof(sockaddr_in);
    }
    else if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        result.size = sizeof(sockaddr_in6);
    }
    else {
        throw address_error("\"" + address.ip + "\" is not an IP address");
    }
    return result;
}

} // namespace detail

} // namespace bulrushgw::net
