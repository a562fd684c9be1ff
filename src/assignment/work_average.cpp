#include "assignment/work_average.h"

#include <algorithm>

namespace bulrushgw::assignment {

namespace {

/// Weight of a report. The average covers about 12 reports, which is 3 s.
constexpr double report_weight = 0.08;
/// Reports that follow sooner, such as those of releases, tell nothing new.
constexpr milliseconds min_interval{200};

} // namespace

void work_average::add(time_point now, std::chrono::microseconds reported)
{
    if (reported.count() <= 0 || (reports_ > 0 && now - last_ < min_interval)) {
        return;
    }
    last_ = now;
    reports_ += 1;
    mean_us_ +=
        std::max(report_weight, 1 / reports_) * (static_cast<double>(reported.count()) - mean_us_);
}

} // namespace bulrushgw::assignment
