#include "common/ids.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "common/errors.h"

namespace bulrushgw {

namespace {
constexpr std::size_t incarnation_digits = 16;
}

std::string to_string(incarnation_id id)
{
    std::array<char, incarnation_digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id.value));
    return text.data();
}

incarnation_id parse_incarnation(const std::string& text)
{
    incarnation_id id;
    const char* end = text.data() + text.size();
    auto [parsed_end, error] = std::from_chars(text.data(), end, id.value, 16);
    if (error != std::errc{} || parsed_end != end || text.size() != incarnation_digits) {
        throw parse_error("incarnation \"" + text + "\" is not 16 hexadecimal digits");
    }
    return id;
}

} // namespace bulrushgw
