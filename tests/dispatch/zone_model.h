#pragma once

/// A model of one service in three availability zones in virtual time: targets with queues, and
/// deciders that each choose targets with their own picker. Deciders learn the outcome of a request
/// `news_delay` after it ended. The same seed gives the same result.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "dispatch/target_picker.h"

namespace bulrushgw::dispatch {

constexpr std::size_t model_zones = 3;

struct zone_scenario {
    std::vector<std::size_t> targets{3, 3, 3}; ///< of each zone
    std::size_t deciders = 30;                 ///< of all zones
    milliseconds news_delay{100};
    milliseconds work{60};
    milliseconds aim{200};
    /// Demand of a zone as a part of the capacity of three targets of speed 1.
    std::function<double(std::size_t zone, milliseconds at)> demand;
    /// Speed of a target; 0: it is absent.
    std::function<double(std::size_t zone, std::size_t target, milliseconds at)> speed =
        [](std::size_t, std::size_t, milliseconds) { return 1.0; };
};

/// Figures of one zone's deciders over a period.
struct zone_outcome {
    double left = 0;     ///< share of the requests sent to other zones
    double in_time = 0;  ///< share of the requests answered within the latency goal
    double lowest = 1;   ///< lowest share that left in a second
    double highest = 0;  ///< highest share that left in a second
    double movement = 0; ///< mean change of the share that left from second to second
};

class zone_model {
public:
    zone_model(zone_scenario scenario, std::uint64_t seed);
    /// Continues until `end`, counted from the start of the model.
    void run_until(milliseconds end);
    /// Figures of requests sent between two times, in whole seconds.
    [[nodiscard]] zone_outcome outcome(std::size_t zone, milliseconds from, milliseconds to) const;

private:
    struct decider {
        std::size_t zone = 0;
        target_picker picker;
    };
    struct job {
        std::size_t decider = 0;
        time_point sent;
        bool refused_before = false;
        std::vector<incarnation_id> avoid;
    };
    struct target {
        std::size_t zone = 0;
        std::size_t index = 0;
        incarnation_id node;
        std::vector<job> waiting;
        int running = 0;
    };
    struct second {
        int sent = 0;
        int left = 0;
        int in_time = 0;
    };

    void send(job request);
    void start(target& at, job request);
    void finish(target& at, const job& request);
    void tell_later(const job& request, incarnation_id node,
                    std::function<void(target_picker&)> news);
    [[nodiscard]] double speed_of(const target& at) const;
    second& bin(const job& request);

    zone_scenario scenario_;
    std::mt19937_64 random_;
    time_point begin_{std::chrono::hours{1}};
    time_point now_ = begin_;
    std::vector<decider> deciders_;
    std::vector<std::unique_ptr<target>> targets_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<std::pair<std::size_t, std::int64_t>, second> seconds_;
};

} // namespace bulrushgw::dispatch
