#include "dispatch/slot_forecast.h"

namespace bulrushgw::dispatch {

void slot_forecast::add_running(double work_ms)
{
    ++busy_;
    end_rate_ += 1 / work_ms;
}

double slot_forecast::wait_ms(std::uint32_t reserved) const
{
    const bool has_slot = busy_ + reserved < slots_;
    return has_slot || end_rate_ <= 0 ? elapsed_ms_ : elapsed_ms_ + 1 / end_rate_;
}

void slot_forecast::add_queued(double work_ms, std::uint32_t reserved)
{
    elapsed_ms_ = wait_ms(reserved);
    const bool has_slot = busy_ + reserved < slots_;
    if (!has_slot && busy_ > 0) {
        end_rate_ -= end_rate_ / busy_;
        --busy_;
    }
    add_running(work_ms);
}

} // namespace bulrushgw::dispatch
