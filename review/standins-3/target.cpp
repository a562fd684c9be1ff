#include "target.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::review {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr std::uint32_t slots = 6;
constexpr milliseconds heartbeat_interval{870};
constexpr std::string_view long_path = "/reports/";

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::string text_of(std::uint32_t first, std::uint32_t last, std::uint64_t fence)
{
    return std::to_string(first) + ".." + std::to_string(last) + " fence " + std::to_string(fence);
}

} // namespace

void holder_check::violate(const std::string& kind, const std::string& text)
{
    constexpr int max_lines = 20;
    if (++violations_[kind] <= max_lines) {
        log_.write("OWNER broken: " + kind + ": " + text);
    }
}

void holder_check::on_grant(const target& by, std::uint32_t first, std::uint32_t last,
                            std::uint64_t fence)
{
    for (std::uint32_t key = (first + key_step - 1) / key_step * key_step; key <= last;
         key += key_step) {
        auto& known = fences_[key];
        const bool is_new = fence > known[by.name()];
        for (const auto& [other, highest] : known) {
            if (is_new && other != by.name() && highest >= fence) {
                violate("fence not above that of another target",
                        "key " + std::to_string(key) + ", " + by.name() + " fence " +
                            std::to_string(fence) + ", " + other + " had it with " +
                            std::to_string(highest));
            }
        }
        known[by.name()] = std::max(known[by.name()], fence);
        for (const auto* other : targets_) {
            if (is_new && other != &by && other->works_on(key, boot_clock::now())) {
                violate("a key was given while another target worked on it",
                        "key " + std::to_string(key) + " to " + by.name() + " with fence " +
                            std::to_string(fence) + ", " + other->name() + " works on it");
            }
        }
    }
}

void holder_check::on_run(const target& by, std::uint32_t key)
{
    const auto found = overlaps_.find(key);
    if (found == overlaps_.end()) {
        return;
    }
    auto& began = found->second.began_requests;
    if (began.insert(by.name()).second && began.size() == 2) {
        violate("two holders began requests",
                "key " + std::to_string(key) + ", " + *began.begin() + " and " + *began.rbegin());
    }
}

void holder_check::on_tick(time_point now)
{
    for (std::uint32_t key = 0; key < key_count; key += key_step) {
        std::string holders;
        int count = 0;
        for (const auto* item : targets_) {
            if (item->holds(key, now)) {
                ++count;
                holders += " " + item->name();
            }
        }
        if (count < 2) {
            overlaps_.erase(key);
            continue;
        }
        auto& current = overlaps_.try_emplace(key, overlap{now, {}, false}).first->second;
        if (now - current.since > max_overlap && !std::exchange(current.is_reported, true)) {
            violate("two holders for over half a second",
                    "key " + std::to_string(key) + " by" + holders);
        }
    }
}

target::target(net::loop& loop, const machine& at, target_settings settings, record& log,
               holder_check& check)
    : loop_(loop), at_(at), settings_(std::move(settings)), log_(log), check_(check),
      id_("i-" + at.host), name_(id_ + "/" + std::to_string(settings_.life)), born_ms_(unix_ms()),
      server_(loop, at.target, [this](const net::http_exchange& exchange) { handle(exchange); })
{
    check_.add(*this);
    heartbeat_timer_ = loop_.after(settings_.first_heartbeat, [this] {
        send_heartbeat();
        heartbeat_timer_ = loop_.every(heartbeat_interval, [this] { send_heartbeat(); });
    });
}

target::~target()
{
    *alive_ = false;
    check_.remove(*this);
    loop_.cancel(heartbeat_timer_);
}

void target::send_heartbeat()
{
    const json body{{"service", at_.service}, {"address", net::to_string(at_.target)},
                    {"zone", at_.zone},       {"version", "v1"},
                    {"slots", slots},         {"state", "ready"},
                    {"warmupLeftMs", 0},      {"born", born_ms_},
                    {"sequence", ++sequence_}};
    log_.write(name_ + ": sends heartbeat " + std::to_string(sequence_));
    settings_.send_heartbeat("/v1/Instances.Heartbeat/" + id_, body.dump());
}

bool target::holds(std::uint32_t key, time_point now) const
{
    return std::any_of(held_.begin(), held_.end(), [&](const held_range& item) {
        return item.first <= key && key <= item.last && now < item.until;
    });
}

time_point target::hold_end_of(std::uint32_t key) const
{
    time_point result{};
    for (const auto& item : held_) {
        if (item.first <= key && key <= item.last) {
            result = std::max(result, item.until);
        }
    }
    return result;
}

int target::runs_of(const std::string& request_id) const
{
    const auto found = runs_.find(request_id);
    return found == runs_.end() ? 0 : found->second;
}

net::header_list target::identity() const
{
    return {{"Instance-Id", id_},
            {"Server-Load", std::to_string(running_) + ",0," + std::to_string(slots)}};
}

void target::handle(const net::http_exchange& exchange)
{
    const std::string& path = exchange.request.path;
    if (path == "/v1/grant") {
        grant(exchange);
    }
    else if (path == "/v1/release") {
        release(exchange);
    }
    else if (path == "/health") {
        waiting_checks_.push_back(exchange);
        answer_waiting();
    }
    else {
        run(exchange);
    }
}

bool target::works_on(std::uint32_t key, time_point now) const
{
    return std::any_of(work_.begin(), work_.end(), [&](const auto& item) {
        return item.second.key == key && now < item.second.hold_end;
    });
}

bool target::is_working(std::uint32_t first, std::uint32_t last) const
{
    return std::any_of(work_.begin(), work_.end(), [&](const auto& item) {
        return first <= item.second.key && item.second.key <= last;
    });
}

// Answers the health checks and the releases that have nothing to wait for any more.
void target::answer_waiting()
{
    if (!settings_.waits_for_work || running_ < slots) {
        for (const auto& exchange : std::exchange(waiting_checks_, {})) {
            log_.write(name_ + ": answers a health check");
            exchange.respond({status_ok, identity(), ""});
        }
    }
    for (auto item = waiting_releases_.begin(); item != waiting_releases_.end();) {
        if (is_working(item->first, item->last)) {
            ++item;
            continue;
        }
        log_.write(name_ + ": confirms the release of " + std::to_string(item->first) + ".." +
                   std::to_string(item->last));
        item->exchange.respond({status_ok, {{"Handover", "5c0e7a21d94b36f8"}}, "{}"});
        item = waiting_releases_.erase(item);
    }
}

// Removes the keys from what the target holds. Ranges of which only a part is concerned are split.
void target::drop_keys(std::uint32_t first, std::uint32_t last)
{
    std::vector<held_range> rest;
    for (const auto& item : held_) {
        if (item.last < first || last < item.first) {
            rest.push_back(item);
            continue;
        }
        if (item.first < first) {
            rest.push_back({item.first, first - 1, item.fence, item.until});
        }
        if (item.last > last) {
            rest.push_back({last + 1, item.last, item.fence, item.until});
        }
    }
    held_ = std::move(rest);
}

void target::grant(const net::http_exchange& exchange)
{
    const json message = json::parse(exchange.request.body);
    held_range next;
    next.first = message.at("from");
    next.last = message.at("target");
    next.fence = message.at("fence");
    next.until = loop_.now() + milliseconds{message.at("holdMs").get<std::int64_t>()};
    const auto overlaps = [&](const held_range& item) {
        return item.first <= next.last && next.first <= item.last;
    };
    const bool higher_seen = std::any_of(seen_.begin(), seen_.end(), [&](const held_range& item) {
        return overlaps(item) && item.fence > next.fence;
    });
    const bool is_renewal = std::any_of(held_.begin(), held_.end(), [&](const held_range& item) {
        return item.first <= next.first && next.last <= item.last && item.fence == next.fence;
    });
    if (!is_renewal || higher_seen) {
        log_.write(name_ + ": grant " + text_of(next.first, next.last, next.fence) +
                   (higher_seen ? " refused" : ""));
    }
    if (higher_seen) {
        exchange.respond({status_conflict, {}, "{}"});
        return;
    }
    check_.on_grant(*this, next.first, next.last, next.fence);
    drop_keys(next.first, next.last);
    held_.push_back(next);
    std::erase_if(seen_, [&](const held_range& item) {
        return next.first <= item.first && item.last <= next.last;
    });
    seen_.push_back(next);
    exchange.respond({status_ok, {}, "{}"});
}

void target::release(const net::http_exchange& exchange)
{
    const json message = json::parse(exchange.request.body);
    const std::uint32_t first = message.at("from");
    const std::uint32_t last = message.at("target");
    log_.write(name_ + ": release " + text_of(first, last, message.at("fence")));
    drop_keys(first, last);
    if (settings_.waits_for_work) {
        waiting_releases_.push_back({first, last, exchange});
        answer_waiting();
        return;
    }
    // Work that was running on the keys has ended after the work time.
    loop_.after(settings_.work, [exchange, alive = alive_] {
        if (*alive) {
            exchange.respond({status_ok, {{"Handover", "5c0e7a21d94b36f8"}}, "{}"});
        }
    });
}

void target::run(const net::http_exchange& exchange)
{
    const auto& headers = exchange.request.headers;
    const std::string request_id(net::find_header(headers, "Request-Id").value_or(""));
    const std::string key_text(net::find_header(headers, "Shard-Key").value_or("0"));
    const auto key = static_cast<std::uint32_t>(std::strtoul(key_text.c_str(), nullptr, 10));
    auto answer_headers = identity();
    answer_headers.push_back({"Request-Id", request_id});
    const bool is_other = net::find_header(headers, "Expect-Instance").value_or(id_) != id_;
    const bool is_misdirected = is_other || (settings_.sharded && !holds(key, loop_.now()));
    if (is_misdirected || running_ >= slots) {
        answer_headers.push_back({"Not-Executed", "1"});
        exchange.respond(
            {is_misdirected ? status_misdirected : status_unavailable, answer_headers, ""});
        return;
    }
    ++running_;
    const auto number = next_work_++;
    if (settings_.waits_for_work) {
        work_[number] = {key, hold_end_of(key)};
    }
    ++runs_[request_id];
    log_.write(name_ + ": runs " + request_id + " key " + key_text);
    if (settings_.sharded) {
        check_.on_run(*this, key);
    }
    answer_headers.push_back({"Response-Seal", "seal-" + request_id});
    const auto work =
        exchange.request.path.starts_with(long_path) ? settings_.long_work : settings_.work;
    loop_.after(work, [this, exchange, answer_headers, request_id, number, alive = alive_] {
        if (*alive) {
            --running_;
            work_.erase(number);
            exchange.respond({status_ok, answer_headers, "done " + request_id});
            answer_waiting();
        }
    });
}

} // namespace bulrushgw::review
