#include "sidecar/process.h"

#include <utility>

namespace bulrushgw::sidecar {

void process::on_evacuations(const routing::evacuations::changes& changes)
{
    const auto ordered = coordination_.evacuations().ordered_at(settings_.zone);
    gate_.refuse_from(ordered ? std::optional{*ordered + settings_.times.evacuation_grace}
                              : std::nullopt);
    for (const auto& change : changes) {
        if (change.zone == settings_.zone && !change.evacuated) {
            on_own_evacuation_ended();
        }
    }
    // Requests that wait for a target may have one now, or may have none any more.
    entry_.on_tick();
}

void process::on_own_evacuation_ended()
{
    log("own_evacuation_ended", {{"zone", settings_.zone}, {"target", watch_.status().id}});
    warm_up_.forget_warmth(loop_.now());
    update_warmth();
    check_target();
}

void process::log_evacuation()
{
    const bool evacuated = gate_.is_evacuated();
    if (evacuated != std::exchange(logged_evacuated_, evacuated)) {
        log(evacuated ? "target_closed_for_evacuation" : "target_open_after_evacuation",
            {{"zone", settings_.zone},
             {"running", gate_.running()},
             {"refused", gate_.evacuation_refusals()}});
    }
}

void process::set_evacuation_gauges(sidecar_gauges& gauges) const
{
    const auto& evacuations = coordination_.evacuations();
    gauges.evacuated_zones = evacuations.size();
    if (const auto confirmed = evacuations.confirmed_at()) {
        gauges.evacuations_age = std::chrono::duration_cast<milliseconds>(loop_.now() - *confirmed);
    }
    gauges.keys_to_evacuate = coordination_.keys_to_evacuate();
    gauges.target_refusals_evacuated = gate_.evacuation_refusals();
}

} // namespace bulrushgw::sidecar
