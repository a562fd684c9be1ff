#include "common/boot_clock.h"

#include <ctime>

namespace bulrushgw {

boot_clock::time_point boot_clock::now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

} // namespace bulrushgw
