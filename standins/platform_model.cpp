#include "standins/platform_model.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace bulrushgw::standin {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int unavailable = 503;
constexpr milliseconds heartbeat_interval{300};
/// Upper bound on the age of the copy from which the store comes back.
constexpr milliseconds max_copy_age{10000};
constexpr std::size_t max_answer_bytes = 4096;
/// Bound on the size of an answer that a request asks for with the header `Answer-Bytes`.
constexpr std::size_t max_asked_bytes = std::size_t{512} * 1024;
const std::string evacuation_prefix = "evacuate/";
constexpr const char* heartbeat_path = "/v1/Instances.Heartbeat/";

std::string to_base64(const std::string& bytes)
{
    std::string result((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    result.resize(static_cast<std::size_t>(size));
    return result;
}

/// Value of a query parameter, or empty text. Values are not decoded, because the values that
/// the sidecar sends need no percent-encoding.
std::string query_parameter(const std::string& path, const std::string& name)
{
    const auto at = path.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
}

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

net::http_response answer(int status, std::string body = "{}", net::header_list headers = {})
{
    return {status, std::move(headers), std::move(body)};
}

net::http_server_limits server_limits(std::size_t max_body_bytes)
{
    net::http_server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    return limits;
}

/// Hexadecimal digest, by which a test checks that a body arrived unchanged.
std::string sha256_text(const std::string& bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string result;
    for (unsigned i = 0; i < size; ++i) {
        std::array<char, 3> text{};
        std::snprintf(text.data(), text.size(), "%02x", digest.at(i));
        result += text.data();
    }
    return result;
}

} // namespace

platform_store::platform_store(net::loop& loop, const net::endpoint& address,
                               const std::string& manifest)
    : loop_(loop),
      server_(loop, address, [this](const net::http_exchange& exchange) { handle(exchange); })
{
    put({"op", "config"}, to_base64(manifest));
}

void platform_store::respond(const net::http_exchange& exchange, int status, std::string body) const
{
    exchange.respond(answer(status, std::move(body), {{"Store-Era", std::to_string(era_)}}));
}

void platform_store::note_content()
{
    const auto now = loop_.now();
    earlier_contents_.emplace_back(now, content{rows_, version_});
    while (earlier_contents_.front().first < now - max_copy_age) {
        earlier_contents_.pop_front();
    }
}

void platform_store::restore_older_copy(milliseconds age, milliseconds away)
{
    if (std::exchange(away_, true)) {
        return;
    }
    content copy{rows_, version_};
    for (const auto& [until, earlier] : earlier_contents_) {
        if (until > loop_.now() - age) {
            copy = earlier;
            break;
        }
    }
    refuse_watchers();
    loop_.after(away, [this, copy] { replace_content(copy); });
}

void platform_store::replace_content(const content& copy)
{
    note_content();
    std::map<row_key, row> operator_rows;
    for (const auto& [key, item] : rows_) {
        if (key.first == "op") {
            operator_rows[key] = item;
        }
    }
    rows_ = copy.rows;
    version_ = copy.version;
    ++era_;
    away_ = false;
    for (auto& [key, item] : operator_rows) {
        item.version = ++version_;
        rows_[key] = std::move(item);
    }
}

void platform_store::refuse_watchers()
{
    for (const auto& [number, waiting] : std::exchange(watchers_, {})) {
        respond(waiting.exchange, unavailable);
    }
}

void platform_store::put(const row_key& key, const std::string& value)
{
    note_content();
    auto& target = rows_[key];
    const bool existed = target.version != 0 && !target.removed;
    target = {value, ++version_, false, existed ? target.created : loop_.now()};
}

void platform_store::remove(const row_key& key)
{
    const auto found = rows_.find(key);
    if (found != rows_.end() && !found->second.removed) {
        note_content();
        found->second = {"", ++version_, true, {}};
    }
}

std::optional<time_point> platform_store::evacuated_since(const std::string& zone) const
{
    const auto found = rows_.find({"op", evacuation_prefix + zone});
    return found == rows_.end() || found->second.removed ? std::nullopt
                                                         : std::optional{found->second.created};
}

std::string platform_store::rows_between(const std::string& table, const std::string& first,
                                         const std::string& end) const
{
    json rows = json::array();
    for (const auto& [key, content] : rows_) {
        if (key.first == table && !content.removed && key.second >= first && key.second < end) {
            rows.push_back({{"table", key.first},
                            {"part", ""},
                            {"key", key.second},
                            {"value", content.value},
                            {"ver", content.version}});
        }
    }
    return json{{"rows", rows}, {"morePages", false}, {"ver", version_}, {"nowMs", 1}}.dump();
}

std::string platform_store::rows_after(const std::string& table, std::uint64_t after) const
{
    json rows = json::array();
    for (const auto& [key, content] : rows_) {
        if (key.first != table || content.version <= after) {
            continue;
        }
        json item{{"table", key.first}, {"part", ""}, {"key", key.second}};
        item["ver"] = content.version;
        if (content.removed) {
            item["removed"] = true;
        }
        else {
            item["value"] = content.value;
        }
        rows.push_back(std::move(item));
    }
    return json{{"rows", rows}, {"ver", version_}, {"nowMs", 1}}.dump();
}

std::uint64_t platform_store::latest_version(const std::string& table) const
{
    std::uint64_t result = 0;
    for (const auto& [key, content] : rows_) {
        result = key.first == table ? std::max(result, content.version) : result;
    }
    return result;
}

std::pair<int, std::string> platform_store::transact(const std::string& body)
{
    constexpr int conflict = 412;
    const json root = json::parse(body);
    for (const json& item : root.at("precondition")) {
        const row_key key{item.at("table"), item.at("key")};
        const auto found = rows_.find(key);
        const std::uint64_t version =
            found == rows_.end() || found->second.removed ? 0 : found->second.version;
        if (version != item.at("ver").get<std::uint64_t>()) {
            return {conflict, rows_between(key.first, key.second, key.second + '0')};
        }
    }
    for (const json& item : root.at("puts")) {
        put({item.at("table"), item.at("key")}, item.at("value"));
    }
    for (const json& item : root.value("remove", json::array())) {
        remove({item.at("table"), item.at("key")});
    }
    answer_watchers();
    return {ok, json{{"ver", version_}, {"nowMs", 1}}.dump()};
}

void platform_store::handle(const net::http_exchange& exchange)
{
    constexpr int not_found = 404;
    const std::string& path = exchange.request.path;
    if (!available_ || away_) {
        respond(exchange, unavailable);
    }
    else if (path.starts_with("/v1/rows-tx")) {
        auto [status, body] = transact(exchange.request.body);
        if (answers_lost_) {
            exchange.drop();
            return;
        }
        respond(exchange, status, std::move(body));
    }
    else if (path.starts_with("/v1/rows-get")) {
        respond(exchange, ok,
                rows_between(query_parameter(path, "table"), query_parameter(path, "from"),
                             query_parameter(path, "target")));
    }
    else if (path.starts_with("/v1/rows-feed")) {
        watch(exchange);
    }
    else {
        respond(exchange, not_found);
    }
}

void platform_store::watch(const net::http_exchange& exchange)
{
    const std::string& path = exchange.request.path;
    const milliseconds wait{std::strtol(query_parameter(path, "waitMs").c_str(), nullptr, 10)};
    const auto after = std::strtoull(query_parameter(path, "after").c_str(), nullptr, 10);
    if (after > version_) {
        constexpr int gone = 410;
        respond(exchange, gone);
        return;
    }
    const auto number = next_watcher_++;
    const std::string table = query_parameter(path, "table");
    watchers_[number] = {exchange, table, after};
    loop_.after(latest_version(table) > after ? milliseconds{0} : wait,
                [this, number] { end_watch(number); });
}

void platform_store::end_watch(std::uint64_t number)
{
    const auto found = watchers_.find(number);
    if (found != watchers_.end()) {
        const auto& [exchange, table, after] = found->second;
        respond(exchange, ok, rows_after(table, after));
        watchers_.erase(found);
    }
}

void platform_store::set_manifest(const std::string& manifest)
{
    put({"op", "config"}, to_base64(manifest));
    answer_watchers();
}

void platform_store::answer_watchers()
{
    std::vector<std::uint64_t> due;
    for (const auto& [number, waiting] : watchers_) {
        if (latest_version(waiting.table) > waiting.after) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        end_watch(number);
    }
}

platform_target::platform_target(net::loop& loop, platform_target_settings settings,
                                 platform_history& history,
                                 std::vector<platform_target*>& running_targets)
    : loop_(loop), settings_(std::move(settings)), history_(history),
      running_targets_(running_targets),
      id_(settings_.id.empty() ? "i-" + std::to_string(settings_.address.port) : settings_.id),
      run_(++history.target_runs), started_ms_(unix_ms()), started_(loop.now()),
      client_(loop, 2, max_answer_bytes),
      server_(
          loop, settings_.address, [this](const net::http_exchange& exchange) { handle(exchange); },
          server_limits(settings_.max_body_bytes))
{
    running_targets_.push_back(this);
    heartbeat_timer_ = loop_.after(settings_.first_heartbeat, [this] {
        send_heartbeat();
        heartbeat_timer_ = loop_.every(heartbeat_interval, [this] { send_heartbeat(); });
    });
}

platform_target::~platform_target()
{
    *alive_ = false;
    loop_.cancel(heartbeat_timer_);
    std::erase(running_targets_, this);
}

std::string platform_target::next_heartbeat()
{
    const json body{{"service", settings_.service},
                    {"address", net::to_string(settings_.address)},
                    {"zone", settings_.zone},
                    {"version", "v1"},
                    {"slots", settings_.slots},
                    {"state", "ready"},
                    {"warmupLeftMs", warm_up_left().count()},
                    {"born", started_ms_},
                    {"sequence", ++sequence_}};
    return body.dump();
}

milliseconds platform_target::warm_up_left() const
{
    const auto left = started_ + settings_.warm_up - loop_.now();
    return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(left));
}

void platform_target::count_arrival()
{
    const auto now = loop_.now();
    if (warm_up_left().count() == 0) {
        return;
    }
    constexpr std::chrono::seconds window{1};
    cold_arrivals_.push_back(now);
    while (now - cold_arrivals_.front() >= window) {
        cold_arrivals_.pop_front();
    }
    history_.highest_cold_arrivals =
        std::max(history_.highest_cold_arrivals, cold_arrivals_.size());
}

void platform_target::send_control(const std::string& path, const std::string& body)
{
    client_.send(settings_.control, {"POST", path + id_, {}, body}, heartbeat_interval,
                 [](const net::http_result&) {});
}

void platform_target::send_heartbeat()
{
    send_control(heartbeat_path, next_heartbeat());
}

void platform_target::leave(milliseconds delay)
{
    loop_.cancel(heartbeat_timer_);
    leaving_ = true;
    loop_.after(delay, [this, alive = alive_, late_heartbeat = next_heartbeat()] {
        if (*alive) {
            send_control(heartbeat_path, late_heartbeat);
        }
    });
    send_control("/v1/Instances.Deregister/", "");
}

bool platform_target::holds(std::uint32_t first, std::uint32_t last) const
{
    return std::any_of(held_ranges_.begin(), held_ranges_.end(), [&](const held_range& item) {
        return item.first <= last && item.last >= first && item.until > loop_.now();
    });
}

void platform_target::handle(const net::http_exchange& exchange)
{
    const std::string& path = exchange.request.path;
    if (path == "/v1/grant") {
        grant(exchange);
    }
    else if (path == "/v1/release") {
        release(exchange);
    }
    else if (path == "/health") {
        constexpr int unavailable = 503;
        count_arrival();
        exchange.respond(answer(leaving_ ? unavailable : ok, "",
                                {{"Instance-Id", id_},
                                 {"Server-Load", "0,0,6,100"},
                                 {"Warmup-Ms", std::to_string(warm_up_left().count())}}));
    }
    else {
        run(exchange);
    }
}

void platform_target::run(const net::http_exchange& exchange)
{
    constexpr int misdirected = 421;
    constexpr int unavailable = 503;
    const auto& headers = exchange.request.headers;
    const std::string id(net::find_header(headers, "Request-Id").value_or(""));
    const auto key = net::find_header(headers, "Shard-Key");
    const auto number = static_cast<std::uint32_t>(
        std::strtoul(std::string(key.value_or("0")).c_str(), nullptr, 10));
    const bool key_not_held = settings_.sharded && !holds(number, number);
    if (key_not_held || net::find_header(headers, "Expect-Instance") != id_) {
        history_.misdirected_requests += key_not_held ? 1 : 0;
        exchange.respond(answer(misdirected, "", {{"Not-Executed", "1"}}));
        return;
    }
    const auto ordered =
        settings_.evacuated_since ? settings_.evacuated_since() : std::optional<time_point>{};
    history_.late_evacuated_runs +=
        ordered && loop_.now() - *ordered > settings_.evacuation_bound ? 1 : 0;
    count_arrival();
    if (running_ >= settings_.slots) {
        ++history_.over_limit_requests;
        exchange.respond(answer(unavailable, "", {{"Not-Executed", "1"}}));
        return;
    }
    ++running_;
    ++history_.runs[id];
    // A run ends without an answer when its connection closes.
    const auto ended = std::make_shared<bool>(false);
    if (exchange.on_cancel) {
        *exchange.on_cancel = [this, alive = alive_, ended] {
            if (*alive && !std::exchange(*ended, true)) {
                --running_;
            }
        };
    }
    // A renewal of the hold does not extend the time of a run that has begun.
    const milliseconds hold = settings_.sharded ? hold_left(number) : settings_.execution_time;
    const bool completes = settings_.execution_time <= hold;
    loop_.after(std::min(settings_.execution_time, hold),
                [this, alive = alive_, ended, exchange, id, completes] {
                    if (*alive && !std::exchange(*ended, true)) {
                        finish_run(exchange, id, completes);
                    }
                });
}

void platform_target::finish_run(const net::http_exchange& exchange, const std::string& id,
                                 bool completed)
{
    constexpr int failed = 500;
    --running_;
    history_.cut_runs += completed ? 0 : 1;
    std::string body = completed ? "done " + id : "";
    if (completed) {
        const std::string asked(
            net::find_header(exchange.request.headers, "Answer-Bytes").value_or("0"));
        const std::size_t asked_bytes =
            std::min<std::size_t>(std::strtoul(asked.c_str(), nullptr, 10), max_asked_bytes);
        body.resize(std::max({body.size(), settings_.answer_bytes, asked_bytes}), '.');
    }
    exchange.respond(answer(completed ? ok : failed, std::move(body),
                            {{"Request-Id", id},
                             {"Response-Seal", "seal-" + id},
                             {"Body-Sha256", sha256_text(exchange.request.body)}}));
}

milliseconds platform_target::hold_left(std::uint32_t key) const
{
    time_point end = loop_.now();
    for (const held_range& item : held_ranges_) {
        if (item.first <= key && key <= item.last) {
            end = std::max(end, item.until);
        }
    }
    return std::chrono::duration_cast<milliseconds>(end - loop_.now());
}

bool platform_target::has_higher_fence(const std::vector<held_range>& seen, const held_range& next)
{
    return std::any_of(seen.begin(), seen.end(), [&](const held_range& item) {
        return item.first <= next.last && item.last >= next.first && item.fence > next.fence;
    });
}

void platform_target::grant(const net::http_exchange& exchange)
{
    const json message = json::parse(exchange.request.body);
    held_range next;
    next.first = message.at("from");
    next.last = message.at("target");
    next.fence = message.at("fence");
    next.until = loop_.now() + milliseconds{message.at("holdMs").get<std::int64_t>()};
    constexpr int higher_fence_seen = 409;
    if (has_higher_fence(granted_, next) || has_higher_fence(released_, next)) {
        exchange.respond(answer(higher_fence_seen));
        return;
    }
    for (const auto* other : running_targets_) {
        history_.overlapping_grants += other != this && other->holds(next.first, next.last) ? 1 : 0;
        history_.lower_fence_grants +=
            other != this && has_higher_fence(other->granted_, next) ? 1 : 0;
    }
    record_grant({run_, next.first, next.last, next.fence});
    std::erase_if(granted_, [&](const held_range& item) {
        return item.first >= next.first && item.last <= next.last;
    });
    granted_.push_back(next);
    std::erase_if(held_ranges_, [&](const held_range& item) {
        return item.first >= next.first && item.last <= next.last;
    });
    held_ranges_.push_back(next);
    exchange.respond(answer(ok));
}

void platform_target::record_grant(const platform_history::granted_keys& next)
{
    auto& grants = history_.grants;
    const bool is_reused = std::any_of(grants.begin(), grants.end(), [&](const auto& item) {
        return item.run != next.run && item.first <= next.last && next.first <= item.last &&
               item.fence >= next.fence;
    });
    history_.reused_fence_grants += is_reused ? 1 : 0;
    std::erase_if(grants, [&](const auto& item) {
        return next.first <= item.first && item.last <= next.last && item.fence <= next.fence;
    });
    grants.push_back(next);
}

void platform_target::release(const net::http_exchange& exchange)
{
    const json message = json::parse(exchange.request.body);
    const std::uint32_t first = message.at("from");
    const std::uint32_t last = message.at("target");
    released_.push_back({first, last, message.at("fence").get<std::uint64_t>(), {}});
    std::vector<held_range> remaining;
    for (const held_range& item : held_ranges_) {
        if (item.first < first) {
            remaining.push_back(
                {item.first, std::min(item.last, first - 1), item.fence, item.until});
        }
        if (item.last > last) {
            remaining.push_back(
                {std::max(item.first, last + 1), item.last, item.fence, item.until});
        }
    }
    held_ranges_ = std::move(remaining);
    loop_.after(settings_.execution_time, [exchange] {
        exchange.respond(answer(ok, "{}", {{"Handover", "token"}}));
    });
}

} // namespace bulrushgw::standin
