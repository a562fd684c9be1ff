#include "node/event_log.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/log4cxx_library.h"

namespace bulrushgw::node {

namespace {

using nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warn", "error"};

constexpr bool is_table_in_order()
{
    for (std::size_t i = 0; i < event_table.size(); ++i) {
        if (static_cast<std::size_t>(event_table.at(i).kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(is_table_in_order(), "event_table must be in the order of event_kind");

std::string_view name_of(log_level level)
{
    return level_names.at(static_cast<std::size_t>(level));
}

log4cxx::LevelPtr to_log4cxx(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

/// log4cxx adds the wall-clock time as the first field; the event provides the other fields of the
/// JSON object.
constexpr const char* line_pattern =
    R"({"time":"%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z",%m}%n)";

event_log::sink log4cxx_sink(log_level min_level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(line_pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto logger = log4cxx::Logger::getLogger("bulrushgw");
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(appender);
    logger->setLevel(to_log4cxx(min_level));
    return [logger](log_level level, const std::string& line) {
        logger->log(to_log4cxx(level), line.substr(1, line.size() - 2));
    };
}

} // namespace

event_log::event_log(log_level min_level, const std::string& host)
    : event_log(min_level, host, log4cxx_sink(min_level))
{
}

event_log::event_log(log_level min_level, const std::string& host, sink write,
                     event_log_limits limits)
    : min_level_(min_level), host_(host), write_(std::move(write)), limits_(limits)
{
}

void event_log::set_incarnation(incarnation_id self)
{
    self_ = self;
}

void event_log::begin_window(time_point now)
{
    if (now - window_start_ < limits_.window) {
        return;
    }
    window_start_ = now;
    written_ = 0;
    for (const auto& [kind, count] : std::exchange(window_counts_, {})) {
        if (count.suppressed_count > 0) {
            emit({.kind = kind, .cause = "lines suppressed by the rate limit"},
                 event_table.at(static_cast<std::size_t>(kind)), count.suppressed_count);
        }
    }
}

void event_log::write(time_point now, const log_event& event)
{
    const event_info& info = event_table.at(static_cast<std::size_t>(event.kind));
    if (info.level < min_level_) {
        return;
    }
    begin_window(now);
    window_count& count = window_counts_[event.kind];
    if (count.written >= limits_.lines_per_kind || written_ >= limits_.lines) {
        ++count.suppressed_count;
        ++suppressed_;
        return;
    }
    ++count.written;
    ++written_;
    emit(event, info, 0);
}

void event_log::on_tick(time_point now)
{
    begin_window(now);
}

void event_log::emit(const log_event& event, const event_info& info, std::uint32_t suppressed_count)
{
    ordered_json line{{"level", name_of(info.level)}, {"event", info.name}, {"host", host_}};
    if (self_) {
        line["incarnation"] = to_string(self_);
    }
    if (!event.service.empty()) {
        line["service"] = event.service;
    }
    if (event.range) {
        line["range"] = event.range->value;
    }
    if (event.subject) {
        line["subject"] = to_string(event.subject);
    }
    if (event.version) {
        line["version"] = *event.version;
    }
    if (event.count) {
        line["count"] = *event.count;
    }
    if (!event.cause.empty()) {
        line["cause"] = event.cause;
    }
    if (suppressed_count > 0) {
        line["suppressed"] = suppressed_count;
    }
    write_(info.level, line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

std::string events_markdown()
{
    std::string text = "| event | level | meaning |\n|---|---|---|\n";
    for (const event_info& info : event_table) {
        text += "| `" + std::string(info.name) + "` | " + std::string(name_of(info.level)) + " | " +
                std::string(info.meaning) + " |\n";
    }
    return text;
}

} // namespace bulrushgw::node
