#include "common/wall_time.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace bulrushgw {

std::string rfc3339(std::chrono::system_clock::time_point time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    const std::time_t seconds = ms.count() / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 96> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                  parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
                  parts.tm_min, parts.tm_sec, static_cast<int>(ms.count() % 1000));
    return text.data();
}

} // namespace bulrushgw
