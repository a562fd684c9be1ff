#include "standins/url.h"

#include <algorithm>
#include <charconv>

namespace bulrushgw::standin {

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::string percent_decode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        if (text[i] == '%' && text.size() - i > 2) {
            const char* first = text.data() + i + 1;
            const auto [stop, failure] = std::from_chars(first, first + 2, byte, 16);
            if (failure == std::errc{} && stop == first + 2) {
                result += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        result += text[i];
    }
    return result;
}

std::string_view path_segment(std::string_view path, std::size_t index)
{
    for (std::size_t i = 0; !path.empty(); ++i) {
        path.remove_prefix(1);
        const auto segment = path.substr(0, path.find('/'));
        if (i == index) {
            return segment;
        }
        path.remove_prefix(segment.size());
    }
    return {};
}

} // namespace bulrushgw::standin
