#include "rules/percent.h"

#include <array>
#include <cstddef>

namespace bulrushgw::rules {

namespace {

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

bool is_unreserved(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_' || byte == '~';
}

} // namespace

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        char byte = text[i];
        if (byte == '%') {
            if (i + 2 >= text.size()) {
                return std::nullopt;
            }
            const int high = hex_value(text[i + 1]);
            const int low = hex_value(text[i + 2]);
            if (high < 0 || low < 0) {
                return std::nullopt;
            }
            byte = static_cast<char>(high * 16 + low);
            i += 2;
        }
        if (byte == '\0') {
            return std::nullopt;
        }
        decoded.push_back(byte);
    }
    if (decoded.empty()) {
        return std::nullopt;
    }
    return decoded;
}

std::string percent_encode(std::string_view text)
{
    static constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7',
                                       '8', '9', 'A', 'B', 'C', 'D', 'E', 'F'};
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        if (is_unreserved(byte)) {
            encoded.push_back(byte);
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        encoded.push_back('%');
        encoded.push_back(digits[value / 16]);
        encoded.push_back(digits[value % 16]);
    }
    return encoded;
}

} // namespace bulrushgw::rules
