#include "node/audit_trail.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "common/wall_time.h"

namespace bulrushgw::node {

namespace {

using nlohmann::ordered_json;

constexpr std::array<std::string_view, audit_kind_count> kind_names{
    "join",    "grant",       "release",      "takeover",
    "refusal", "seal",        "end",          "witness-replaced",
    "leave",   "proposal",    "rules-change", "rules-refused",
    "drain",   "end-asserted"};

// The kinds of the engine must come first, in the same order; `from_engine` relies on it.
static_assert(static_cast<int>(audit_kind::join) == static_cast<int>(ownership::audit_kind::join));
static_assert(static_cast<int>(audit_kind::proposal) ==
              static_cast<int>(ownership::audit_kind::proposal));
static_assert(static_cast<std::size_t>(audit_kind::end_asserted) == audit_kind_count - 1);

ordered_json to_object(const audit_record& record)
{
    ordered_json object{
        {"number", record.number}, {"at", rfc3339(record.at)}, {"kind", to_string(record.kind)}};
    if (!record.service.empty()) {
        object["service"] = record.service;
    }
    if (record.range) {
        object["range"] = record.range->value;
    }
    if (record.token.value != 0) {
        object["fence"] = record.token.value;
        object["epoch"] = record.token.value >> fence_position_bits;
    }
    if (record.subject) {
        object["subject"] = to_string(record.subject);
    }
    object["seen_by"] = to_string(record.seen_by);
    if (!record.who.empty()) {
        object["who"] = record.who;
    }
    object["cause"] = record.cause;
    return object;
}

std::string dump(const ordered_json& object)
{
    return object.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

bool matches(const audit_record& record, const audit_query& wanted)
{
    return (wanted.service.empty() || record.service == wanted.service) &&
           (!wanted.range || record.range == wanted.range) &&
           (!wanted.kind || record.kind == *wanted.kind) &&
           (!wanted.subject || record.subject == *wanted.subject ||
            record.seen_by == *wanted.subject);
}

} // namespace

std::string_view to_string(audit_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<audit_kind> parse_audit_kind(std::string_view name)
{
    const auto* found = std::ranges::find(kind_names, name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<audit_kind>(found - kind_names.begin());
}

audit_kind from_engine(ownership::audit_kind kind)
{
    // The kinds of the engine come first, in the same order.
    static_assert(static_cast<int>(audit_kind::join) ==
                  static_cast<int>(ownership::audit_kind::join));
    static_assert(static_cast<int>(audit_kind::proposal) ==
                  static_cast<int>(ownership::audit_kind::proposal));
    return static_cast<audit_kind>(static_cast<int>(kind));
}

std::string to_json(const audit_record& record)
{
    return dump(to_object(record));
}

audit_trail::audit_trail(audit_settings settings, store_hook write)
    : settings_(settings), write_(std::move(write)), alive_(std::make_shared<bool>(true))
{
}

audit_trail::~audit_trail()
{
    *alive_ = false;
}

void audit_trail::set_incarnation(incarnation_id self)
{
    if (self_ != self) {
        self_ = self;
        next_row_ = 0;
    }
}

void audit_trail::record(audit_record record)
{
    record.number = next_number_++;
    record.seen_by = self_;
    ring_.push_back(std::move(record));
    if (ring_.size() > settings_.ring_capacity) {
        if (ring_.front().number > stored_ && write_ && settings_.rows_per_minute > 0) {
            ++dropped_;
        }
        ring_.pop_front();
    }
}

void audit_trail::record(std::chrono::system_clock::time_point at,
                         const ownership::audit_event& event)
{
    audit_record converted;
    converted.at = at;
    converted.kind = from_engine(event.kind);
    converted.service = event.service;
    converted.range = event.range;
    converted.token = event.token;
    converted.subject = event.subject;
    converted.cause = event.cause;
    record(std::move(converted));
}

void audit_trail::on_tick(time_point now)
{
    if (!write_ || writing_ || settings_.rows_per_minute == 0 || !self_) {
        return;
    }
    const auto interval = std::chrono::nanoseconds{std::chrono::minutes{1}} /
                          static_cast<std::int64_t>(settings_.rows_per_minute);
    if (last_write_ && now - *last_write_ < interval) {
        return;
    }
    const auto first = std::ranges::upper_bound(ring_, stored_, {}, &audit_record::number);
    if (first == ring_.end()) {
        return;
    }
    ordered_json events = ordered_json::array();
    std::uint64_t last = stored_;
    for (auto record = first; record != ring_.end() && events.size() < settings_.events_per_row;
         ++record) {
        events.push_back(to_object(*record));
        last = record->number;
    }
    const std::string key = "audit/" + to_string(self_) + "/" + std::to_string(next_row_);
    store::transact transaction;
    transaction.writes.push_back({key, dump({{"events", events}}), false});
    if (rows_.size() >= settings_.rows_kept) {
        transaction.writes.push_back({rows_.front(), {}, true});
    }
    writing_ = true;
    last_write_ = now;
    write_(std::move(transaction), [this, last, key, alive = alive_](store::status result) {
        if (*alive) {
            on_written(last, key, result);
        }
    });
}

void audit_trail::on_written(std::uint64_t last, const std::string& key, store::status result)
{
    writing_ = false;
    if (result != store::status::ok) {
        // The next attempt writes the events to the same row, so they are not stored twice if only
        // the answer was lost.
        return;
    }
    stored_ = std::max(stored_, last);
    if (rows_.size() >= settings_.rows_kept) {
        rows_.pop_front();
    }
    rows_.push_back(key);
    ++next_row_;
}

std::vector<audit_record> audit_trail::query(const audit_query& wanted) const
{
    std::vector<audit_record> found;
    for (auto record = ring_.rbegin(); record != ring_.rend() && found.size() < wanted.most;
         ++record) {
        if (matches(*record, wanted)) {
            found.push_back(*record);
        }
    }
    std::ranges::reverse(found);
    return found;
}

} // namespace bulrushgw::node
