#pragma once

/// The figures of one play of the load model.

#include <cstdint>
#include <map>
#include <string>

#include "bench/dispatch_silences.h"

namespace bulrushgw::bench {

/// What became of the requests of one kind that clients sent.
struct kind_figures {
    std::uint64_t asked = 0;
    std::uint64_t in_aim = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_again = 0; ///< returned after a refusal and was refused again
    std::uint64_t failed = 0;        ///< a call of its run failed, or no answer in time
};

/// What the entries of one availability zone did for clients.
struct zone_figures {
    std::uint64_t answered_in_aim = 0;
    std::uint64_t ended = 0;         ///< requests of clients, with any outcome
    std::uint64_t sent = 0;          ///< to targets, also for calls of runs
    std::uint64_t sent_to_other = 0; ///< part of `sent` that left the zone
};

struct load_figures {
    double worth_owed = 0;
    double worth_earned = 0;
    std::map<std::string, kind_figures> kinds;
    std::map<std::size_t, zone_figures> zones;
    silence_figures silence;

    [[nodiscard]] double worth_share() const;
    /// Share of the requests of clients that were answered, in time or late.
    [[nodiscard]] double served_share() const;
    /// -log10 of the share that was not answered.
    [[nodiscard]] double nines() const;
};

} // namespace bulrushgw::bench
