#pragma once

/// The rules in force at a node. Versions only go up.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "rules/types.h"

namespace bulrushgw::rules {

/// A node without news from the store for this long, directly or by a peer,
/// cannot tell whether its rules are the newest.
inline constexpr milliseconds stale_after{30000};

enum class apply_verdict {
    applied,
    already_applied, ///< the version in force, with the same text
    lower_version,
    wrong_digest, ///< the text is not the one that the digest names
    conflicting,  ///< a version that is known with another digest
    unreadable,   ///< the text has problems, e.g. rules of a newer build
};

struct rules_in_force {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;
    rule_set rules;
};

struct version_counters {
    std::uint64_t applied = 0;
    std::uint64_t lower = 0;
    std::uint64_t wrong_digest = 0;
    std::uint64_t conflicting = 0;
    std::uint64_t unreadable = 0;
};

/// Deterministic; not thread-safe.
class version_keeper {
public:
    explicit version_keeper(time_point now) : last_news_(now) {}

    /// A version is known to exist. True when its text is wanted.
    bool on_announced(std::uint64_t version, const std::string& digest);
    apply_verdict apply(std::uint64_t version, const std::string& digest, const std::string& text);
    /// The store answered, or a peer that is itself informed by the store.
    void on_news(time_point now) { last_news_ = now; }

    /// None before the first version was applied.
    [[nodiscard]] std::shared_ptr<const rules_in_force> current() const { return current_; }
    /// The highest version that was announced or applied; 0 for none.
    [[nodiscard]] std::uint64_t newest_known() const { return newest_version_; }
    /// The text of a newer version is still missing.
    [[nodiscard]] bool is_behind() const;
    [[nodiscard]] bool possibly_stale(time_point now) const;
    [[nodiscard]] const version_counters& counters() const { return counters_; }

private:
    std::shared_ptr<const rules_in_force> current_;
    std::uint64_t newest_version_ = 0;
    std::string newest_digest_;
    time_point last_news_;
    version_counters counters_;
};

} // namespace bulrushgw::rules
