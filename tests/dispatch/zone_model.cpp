#include "zone_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

constexpr std::array<std::string_view, model_zones> names{"a", "b", "c"};
constexpr std::uint32_t slots = 4;
constexpr std::size_t max_waiting = 8;
constexpr std::size_t max_tries = 4;
constexpr double targets_of_full_demand = 3;

} // namespace

zone_model::zone_model(zone_scenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)), random_(seed)
{
    for (std::size_t i = 0; i < scenario_.deciders; ++i) {
        deciders_.push_back({i % model_zones, target_picker{}});
    }
    for (std::size_t zone = 0; zone < model_zones; ++zone) {
        for (std::size_t i = 0; i < scenario_.targets[zone]; ++i) {
            targets_.push_back(std::make_unique<target>(
                target{zone, i, incarnation_id{targets_.size() + 1}, {}, 0}));
        }
    }
}

double zone_model::speed_of(const target& at) const
{
    return scenario_.speed(at.zone, at.index,
                           std::chrono::duration_cast<milliseconds>(now_ - begin_));
}

zone_model::second& zone_model::bin(const job& request)
{
    const auto at = std::chrono::duration_cast<std::chrono::seconds>(request.sent - begin_);
    return seconds_[{deciders_[request.decider].zone, at.count()}];
}

void zone_model::run_until(milliseconds end)
{
    for (; now_ < begin_ + end; now_ += milliseconds{1}) {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto event = events_.extract(events_.begin());
            event.mapped()();
        }
        const auto at = std::chrono::duration_cast<milliseconds>(now_ - begin_);
        for (std::size_t zone = 0; zone < std::min(model_zones, deciders_.size()); ++zone) {
            const double per_ms = scenario_.demand(zone, at) * targets_of_full_demand * slots /
                                  static_cast<double>(scenario_.work.count());
            const int arrivals = std::poisson_distribution<int>(per_ms)(random_);
            const std::size_t deciders = (deciders_.size() + model_zones - 1 - zone) / model_zones;
            for (int i = 0; i < arrivals; ++i) {
                send({zone + model_zones * (random_() % deciders), now_, false, {}});
            }
        }
    }
}

void zone_model::send(job request)
{
    auto& from = deciders_[request.decider];
    std::vector<pick_candidate> candidates;
    for (const auto& item : targets_) {
        if (speed_of(*item) > 0) {
            candidates.push_back(
                {item->node, slots, item->zone == from.zone, false, names.at(item->zone)});
        }
    }
    const auto aim =
        std::max(milliseconds{0},
                 std::chrono::duration_cast<milliseconds>(request.sent + scenario_.aim - now_));
    const auto picked = from.picker.pick(now_, candidates, request.avoid, aim, random_);
    if (!picked) {
        return;
    }
    auto& at = **std::find_if(targets_.begin(), targets_.end(),
                              [&](const auto& item) { return item->node == *picked; });
    if (request.avoid.empty()) {
        ++bin(request).sent;
        bin(request).left += at.zone == from.zone ? 0 : 1;
    }
    from.picker.on_sent(*picked);
    if (at.running < static_cast<int>(slots)) {
        start(at, std::move(request));
    }
    else if (at.waiting.size() < max_waiting) {
        at.waiting.push_back(std::move(request));
    }
    else {
        const int load = at.running + static_cast<int>(at.waiting.size());
        tell_later(request, at.node, [this, node = at.node, load](target_picker& picker) {
            picker.on_refusal(now_, node, load);
        });
        request.avoid.push_back(at.node);
        if (request.avoid.size() < max_tries) {
            send(std::move(request));
        }
    }
}

void zone_model::start(target& at, job request)
{
    ++at.running;
    std::exponential_distribution<double> work(1 / static_cast<double>(scenario_.work.count()));
    const double ms = work(random_) / std::max(speed_of(at), 0.1);
    events_.emplace(now_ + milliseconds{std::max(1L, std::lround(ms))},
                    [this, &at, request = std::move(request)] { finish(at, request); });
}

void zone_model::finish(target& at, const job& request)
{
    --at.running;
    const auto took = std::chrono::duration_cast<milliseconds>(now_ - request.sent);
    bin(request).in_time += took <= scenario_.aim ? 1 : 0;
    const int load = at.running + static_cast<int>(at.waiting.size());
    tell_later(request, at.node,
               [this, node = at.node, load, took, aim = scenario_.aim](target_picker& picker) {
                   picker.on_answer(now_, node, took, load, aim);
               });
    if (!at.waiting.empty()) {
        auto next = std::move(at.waiting.front());
        at.waiting.erase(at.waiting.begin());
        start(at, std::move(next));
    }
}

// The request itself ends at once, so that only what is learned from it is late.
void zone_model::tell_later(const job& request, incarnation_id node,
                            std::function<void(target_picker&)> news)
{
    auto& picker = deciders_[request.decider].picker;
    picker.on_end(node);
    events_.emplace(now_ + scenario_.news_delay, [&picker, node, news = std::move(news)] {
        picker.on_sent(node);
        news(picker);
    });
}

zone_outcome zone_model::outcome(std::size_t zone, milliseconds from, milliseconds to) const
{
    zone_outcome result;
    second total;
    double previous = -1;
    int seconds = 0;
    for (const auto& [at, counts] : seconds_) {
        const milliseconds begin = std::chrono::seconds{at.second};
        if (at.first != zone || begin < from || begin >= to || counts.sent == 0) {
            continue;
        }
        const double share = static_cast<double>(counts.left) / counts.sent;
        total.sent += counts.sent;
        total.left += counts.left;
        total.in_time += counts.in_time;
        result.lowest = std::min(result.lowest, share);
        result.highest = std::max(result.highest, share);
        result.movement += previous < 0 ? 0 : std::abs(share - previous);
        seconds += previous < 0 ? 0 : 1;
        previous = share;
    }
    result.left = total.sent > 0 ? static_cast<double>(total.left) / total.sent : 0;
    result.in_time = total.sent > 0 ? static_cast<double>(total.in_time) / total.sent : 0;
    result.movement = seconds > 0 ? result.movement / seconds : 0;
    return result;
}

} // namespace bulrushgw::dispatch
