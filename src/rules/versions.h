#pragma once

/// The rules in force on a node. The version never decreases.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "rules/types.h"

namespace bulrushgw::rules {

/// A node that has had contact with neither the store nor another node for this long cannot tell
/// whether its rules are the newest.
inline constexpr milliseconds stale_after{30000};

enum class apply_result {
    applied,
    already_applied, ///< this version is in force, with the same digest
    lower_version,   ///< lower than the version in force, or 0
    wrong_digest,    ///< the text does not match the digest
    conflicting,     ///< this version is already known with a different digest
    unreadable,      ///< the text has problems, for example rules that a newer build introduced
};

struct rules_in_force {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;
    rule_set rules;
};

/// Number of `apply` calls by result. `conflicting` also counts conflicting announcements.
struct version_counters {
    std::uint64_t applied = 0;
    std::uint64_t lower = 0;
    std::uint64_t wrong_digest = 0;
    std::uint64_t conflicting = 0;
    std::uint64_t unreadable = 0;
};

/// Keeps the rules in force and the newest version that is known to exist. Deterministic; not
/// thread-safe.
class version_tracker {
public:
    explicit version_tracker(time_point now) : fresh_at_(now) {}

    /// Records that a version exists. Returns true when the caller should fetch its text.
    bool on_announced(std::uint64_t version, const std::string& digest);
    apply_result apply(std::uint64_t version, const std::string& digest, const std::string& text);
    /// Records recent contact with the store or with another node.
    void mark_fresh(time_point now) { fresh_at_ = now; }

    /// None before the first version was applied.
    [[nodiscard]] std::shared_ptr<const rules_in_force> current() const { return current_; }
    /// The highest version that was announced or applied; 0 for none.
    [[nodiscard]] std::uint64_t newest_known() const { return newest_version_; }
    /// True while the text of the newest known version has not been applied.
    [[nodiscard]] bool is_behind() const;
    /// True if at least `stale_after` has passed since the last call of `mark_fresh`, or since
    /// construction if there was no call.
    [[nodiscard]] bool possibly_stale(time_point now) const;
    [[nodiscard]] const version_counters& counters() const { return counters_; }

private:
    std::shared_ptr<const rules_in_force> current_;
    std::uint64_t newest_version_ = 0;
    std::string newest_digest_;
    time_point fresh_at_;
    version_counters counters_;
};

} // namespace bulrushgw::rules
