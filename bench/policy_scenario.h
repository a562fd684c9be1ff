#pragma once

/// Deployments, workload and disturbances of the policy benchmark.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "rules/types.h"

namespace bulrushgw::bench {

using std::chrono::microseconds;
using random_engine = std::mt19937_64;

/// One kind of request and its share of the load.
struct request_kind {
    std::string route;
    bool keyed = true;
    rules::repeat_kind repeat = rules::repeat_kind::once;
    std::uint32_t worth = 1;
    double share = 0;             ///< of all requests
    microseconds service_time{0}; ///< mean
};

/// A deployment with the sizes from section 2 of the design. Service times are assumptions.
struct deployment {
    std::string name;
    std::size_t keyed_hosts = 0;
    std::size_t balanced_hosts = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 100;
    microseconds connection_cost{1000};
    microseconds between_zones{1000};
    microseconds to_clients{8000};
    milliseconds keyed_deadline{800};
    milliseconds balanced_deadline{2000};
    std::uint32_t ranges = 64;
    std::size_t keys = 2000;
    std::vector<request_kind> kinds;
    /// Load in each phase, as a fraction of the capacity of the keyed service.
    std::vector<double> phases;

    [[nodiscard]] std::size_t hosts() const { return keyed_hosts + balanced_hosts; }
    [[nodiscard]] std::size_t zone_of(std::size_t host) const { return host % 3; }
    [[nodiscard]] bool is_keyed(std::size_t host) const { return host < keyed_hosts; }
};

deployment ladderdesk();
deployment hima_kalapu();

enum class disturbance_kind {
    leave,        ///< planned stop
    crash,        ///< the process ends; its connections break
    vanish,       ///< the host is lost; its connections do not break
    come_back,    ///< the host returns with a new incarnation and cold caches
    freeze,       ///< the target stops answering
    unfreeze,     ///< the target answers again
    misreport,    ///< the target reports far too much load
    report_truth, ///< the target reports its actual load again
    store_down,
    store_up,
};

struct disturbance {
    milliseconds at{0};
    disturbance_kind kind = disturbance_kind::leave;
    std::size_t host = 0;
};

/// The disturbances of a run, the same for each policy, at fixed fractions of its length.
std::vector<disturbance> disturbances_of(const deployment& sizes, milliseconds length);

/// Draws keys with a Zipf distribution. The popularity ranks of the keys change with each phase,
/// because another club plays or another season begins.
class zipf_key_generator {
public:
    zipf_key_generator(std::size_t keys, double exponent, std::uint64_t seed);
    void next_phase();
    std::size_t draw(random_engine& random);

private:
    std::vector<double> cumulative_;
    std::vector<std::size_t> order_;
    random_engine shuffle_;
};

} // namespace bulrushgw::bench
