/// What the picker reports about targets that do not answer.

#include <utility>

#include "dispatch/target_picker.h"

namespace bulrushgw::dispatch {

void target_picker::note_change(incarnation_id node, const target_stats& stats, double shown_ms,
                                double usual_ms)
{
    if (changes_.size() < max_changes) {
        changes_.push_back({node, stats.service, stats.zone, stats.probes.is_avoided(),
                            stats.unanswered.waiting(), stats.unanswered.missed(), shown_ms,
                            usual_ms});
    }
}

std::vector<avoidance_change> target_picker::take_avoidance_changes()
{
    return std::exchange(changes_, {});
}

unanswered_counts target_picker::unanswered() const
{
    unanswered_counts result;
    result.missed_at_used = missed_at_used_;
    result.missed_at_avoided = missed_at_avoided_;
    for (const auto& [node, stats] : stats_) {
        const bool avoided = stats.probes.is_avoided();
        (avoided ? result.at_avoided : result.at_used) += stats.unanswered.waiting();
        result.avoided_targets += avoided ? 1 : 0;
    }
    return result;
}

} // namespace bulrushgw::dispatch
