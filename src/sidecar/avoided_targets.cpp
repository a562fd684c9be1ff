#include "sidecar/avoided_targets.h"

#include <cmath>
#include <sstream>

namespace bulrushgw::sidecar {

void avoided_targets::report(time_point now, dispatch::target_picker& picker, const log_hook& log)
{
    if (now - period_begin_ >= period) {
        period_begin_ = now;
        lines_ = 0;
    }
    for (const auto& change : picker.take_avoidance_changes()) {
        if (lines_ == max_lines) {
            ++suppressed_;
            continue;
        }
        ++lines_;
        journal::fields line{{"node", to_string(change.node)},
                             {"service", change.service},
                             {"zone", change.zone},
                             {"waiting", change.waiting},
                             {"missed", change.missed},
                             {"shown_ms", std::lround(change.shown_ms)},
                             {"usual_ms", std::lround(change.usual_ms)}};
        if (suppressed_ > 0) {
            line["suppressed"] = suppressed_;
            suppressed_ = 0;
        }
        log(change.avoided ? "target_avoided" : "target_used_again", line);
    }
}

std::string unanswered_text(const dispatch::target_picker& picker)
{
    const auto counts = picker.unanswered();
    std::ostringstream out;
    out << "# TYPE bulrushgw_unanswered_requests gauge\n"
        << "bulrushgw_unanswered_requests{target=\"used\"} " << counts.at_used << '\n'
        << "bulrushgw_unanswered_requests{target=\"avoided\"} " << counts.at_avoided << '\n'
        << "# TYPE bulrushgw_missed_requests_total counter\n"
        << "bulrushgw_missed_requests_total{target=\"used\"} " << counts.missed_at_used << '\n'
        << "bulrushgw_missed_requests_total{target=\"avoided\"} " << counts.missed_at_avoided
        << '\n'
        << "# TYPE bulrushgw_avoided_targets gauge\n"
        << "bulrushgw_avoided_targets " << counts.avoided_targets << '\n';
    return out.str();
}

} // namespace bulrushgw::sidecar
