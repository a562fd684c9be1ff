#pragma once

/// A parsed rules file.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace bulrushgw::rules {

/// Who requested a rule and why, from the comment at the end of its line.
struct requester {
    std::string name;
    std::string reason;
    auto operator<=>(const requester&) const = default;
};

enum class service_kind { keyed, balanced };

struct service_rule {
    std::string name;
    service_kind kind = service_kind::keyed;
    std::uint32_t ranges = 0; ///< 0 for a balanced service
    milliseconds deadline{1000};
    requester asked_by;
    std::size_t line = 0;
};

enum class repeat_kind {
    idempotent, ///< may be sent to a target more than once
    once,       ///< sent to a target at most once; needs a request id
};

struct route_rule {
    std::string method;
    std::string pattern; ///< path with at most one `{key}` segment
    std::string service;
    repeat_kind repeat = repeat_kind::once;
    std::uint32_t worth = 1; ///< priority in the target's queue; higher is sent first
    requester asked_by;
    std::size_t line = 0;
};

/// Limits of a service. Limits without a value have their defaults.
struct limit_rule {
    std::string service;
    std::optional<std::uint32_t> queue;          ///< maximum queued requests per target
    std::optional<std::uint32_t> retry_percent;  ///< maximum retries, in percent of the requests
    std::optional<std::uint32_t> moves_per_hour; ///< maximum planned moves of ranges per hour
    requester asked_by;
    std::size_t line = 0;
};

/// Places a key in an availability zone.
struct pin_rule {
    std::string service;
    std::string key;
    std::string zone;
    requester asked_by;
    std::size_t line = 0;
};

struct rule_set {
    std::vector<service_rule> services;
    std::vector<route_rule> routes;
    std::vector<limit_rule> limits;
    std::vector<pin_rule> pins;
};

/// A problem in a rules file. Lines and columns count from 1; 0 when the problem has no position.
struct rule_problem {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string found;
    std::string expected;
    auto operator<=>(const rule_problem&) const = default;
};

} // namespace bulrushgw::rules
