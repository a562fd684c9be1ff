#include "net/request_target.h"

#include <algorithm>
#include <string_view>

namespace bulrushgw::net {

namespace {

int hex_digit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const int high = hex_digit(text[i + 1]);
            const int low = hex_digit(text[i + 2]);
            if (high >= 0 && low >= 0) {
                decoded += static_cast<char>(high * 16 + low);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

request_target parse_request_target(const std::string& target)
{
    request_target parsed;
    const std::size_t query_start = std::min(target.find('?'), target.size());
    parsed.path = target.substr(0, query_start);
    std::string_view rest(target);
    rest.remove_prefix(std::min(query_start + 1, target.size()));
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, std::min(rest.find('&'), rest.size()));
        rest.remove_prefix(std::min(item.size() + 1, rest.size()));
        if (item.empty()) {
            continue;
        }
        const std::size_t equals = std::min(item.find('='), item.size());
        parsed.query.emplace_back(decode(item.substr(0, equals)),
                                  decode(item.substr(std::min(equals + 1, item.size()))));
    }
    return parsed;
}

} // namespace bulrushgw::net
