#include "node/target_link.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::node {

namespace {

using nlohmann::json;

// Grants are renewed as often as the lease, so that their expiry moves with the end of the lease.
constexpr milliseconds probe_interval{200};
// A probe without a response within this time is sent again, so that a target that becomes
// responsive again is detected quickly. `request::admission` measures the silence of the target
// from the first unanswered probe.
constexpr milliseconds probe_timeout{1000};
constexpr std::uint32_t max_slots = 100000;
constexpr std::int64_t permille = 1000;

template <typename Value>
Value required(const json& object, const char* name, const char* expected)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        throw announcement_error(std::string("field \"") + name + "\" is missing, expected " +
                                 expected);
    }
    try {
        return found->get<Value>();
    }
    catch (const json::exception&) {
        throw announcement_error(std::string("field \"") + name + "\" is " + found->dump() +
                                 ", expected " + expected);
    }
}

std::uint32_t required_count(const json& object, const char* name)
{
    const auto value = required<std::int64_t>(object, name, "an integer from 1");
    if (value < 1 || value > max_slots) {
        throw announcement_error(std::string("field \"") + name + "\" is " + std::to_string(value) +
                                 ", expected an integer from 1 to " + std::to_string(max_slots));
    }
    return static_cast<std::uint32_t>(value);
}

std::optional<std::int64_t> parse_ms(std::string_view text)
{
    std::int64_t value = 0;
    const auto [stop, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || stop != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Returns the ranges in the field "stale" of a response. The target has refused their grants,
/// because it has a higher fence for them.
std::set<range_id> refused_grants(const std::string& body)
{
    std::set<range_id> refused;
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("stale") || !answer["stale"].is_array()) {
        return refused;
    }
    for (const auto& entry : answer["stale"]) {
        if (entry.is_object() && entry.contains("range") && entry["range"].is_number_unsigned()) {
            refused.insert(range_id{entry["range"].get<std::uint32_t>()});
        }
    }
    return refused;
}

} // namespace

announcement parse_announcement(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        throw announcement_error("the body is not a JSON object");
    }
    announcement announced;
    announced.service = required<std::string>(object, "service", "a service name");
    announced.address =
        net::parse_endpoint(required<std::string>(object, "address", "\"IP:port\""));
    announced.slots = required_count(object, "slots");
    announced.connections = required_count(object, "connections");
    announced.checks_fences = required<bool>(object, "checks_fences", "true or false");
    announced.run_id = required<std::string>(object, "run_id", "a string");
    announced.load.in_flight = object.value("in_flight", 0U);
    announced.load.ready = object.value("ready", true);
    announced.load.draining = object.value("draining", false);
    if (announced.service.empty() || announced.run_id.empty()) {
        throw announcement_error("\"service\" and \"run_id\" must not be empty");
    }
    return announced;
}

target_link::target_link(net::loop& loop, net::http_client& http, unsigned drift_permille,
                         hooks hooks)
    : loop_(loop), http_(http), drift_permille_(drift_permille), hooks_(std::move(hooks)),
      next_probe_(loop.now())
{
}

bool target_link::on_announcement(const announcement& announced)
{
    const bool new_run = !target_ || target_->run_id != announced.run_id;
    const bool restarted = target_ && new_run;
    target_ = announced;
    if (new_run) {
        ++generation_;
        clock_.reset();
        confirmed_.clear();
        grants_changed_ = true;
    }
    if (restarted) {
        hooks_.on_restarted();
    }
    return new_run;
}

void target_link::on_serving_changed(const ownership::serving_changed& change)
{
    for (const auto& grant : change.grants) {
        wanted_[grant.range] = grant.token;
        std::erase(releases_, grant.range);
    }
    for (const range_id range : change.releases) {
        wanted_.erase(range);
        confirmed_.erase(range);
        releases_.push_back(range);
    }
    grants_changed_ = true;
    if (target_) {
        send_grants();
    }
}

void target_link::on_incarnation_ended()
{
    for (const auto& [range, token] : wanted_) {
        releases_.push_back(range);
    }
    wanted_.clear();
    confirmed_.clear();
    ++generation_;
    grants_changed_ = true;
}

bool target_link::is_granted(range_id range, fence token) const
{
    if (!target_) {
        return false;
    }
    if (!target_->checks_fences) {
        return true;
    }
    const auto found = confirmed_.find(range);
    return found != confirmed_.end() && found->second == token;
}

void target_link::on_tick()
{
    if (target_ && (grants_changed_ || loop_.now() >= next_probe_)) {
        send_grants();
    }
}

/// The end of the lease on the target's clock. The target read its clock before the node received
/// the reading, so the result is not later than the end of the lease. The time from the reading to
/// the end of the lease is shortened by the drift bound.
std::int64_t target_link::expiry_ms() const
{
    const auto end = hooks_.lease_end();
    if (!clock_ || !end || *end <= clock_->received) {
        return 0;
    }
    const auto span = std::chrono::duration_cast<milliseconds>(*end - clock_->received).count();
    return clock_->target_ms + span * (permille - drift_permille_) / permille;
}

std::string target_link::grant_body(bool grants_valid) const
{
    json grants = json::array();
    for (const auto& [range, token] : wanted_) {
        const auto found = confirmed_.find(range);
        if (found == confirmed_.end() || found->second != token) {
            grants.push_back({{"range", range.value}, {"fence", token.value}});
        }
    }
    json releases = json::array();
    for (const range_id range : releases_) {
        releases.push_back(range.value);
    }
    return json{{"incarnation", to_string(hooks_.incarnation())},
                {"grants", std::move(grants)},
                {"releases", std::move(releases)},
                {"expires_at_ms", grants_valid ? expiry_ms() : 0}}
        .dump();
}

void target_link::send_grants()
{
    if (probe_in_flight_) {
        return;
    }
    probe_in_flight_ = true;
    next_probe_ = loop_.now() + probe_interval;
    // Without a reading of the target's clock, the expiry is unknown. The first probe therefore
    // only fetches the reading, and the next probe carries the grants.
    const bool grants_valid = clock_ && expiry_ms() > 0 && hooks_.may_renew();
    if (grants_valid) {
        latest_grant_expiry_ = std::max(latest_grant_expiry_, *hooks_.lease_end());
    }
    grants_changed_ = grants_changed_ && !grants_valid;
    net::http_request request;
    request.method = "POST";
    request.path = "/bulrush/v1/grants";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = grant_body(grants_valid);
    const auto sent = grants_valid ? wanted_ : std::map<range_id, fence>{};
    releases_sent_ = std::exchange(releases_, {});
    hooks_.on_probe_sent();
    http_.send(target_->address, request, probe_timeout,
               [this, sent, generation = generation_](const net::http_result& result) {
                   on_grant_result(sent, generation, result);
               });
}

void target_link::on_grant_result(const std::map<range_id, fence>& sent, std::uint64_t generation,
                                  const net::http_result& result)
{
    probe_in_flight_ = false;
    connect_failed_ = !result.response && result.failure == net::http_failure::connect;
    const bool accepted = result.response && result.response->status == 200;
    if (result.response) {
        on_answer(*result.response);
    }
    if (!accepted || generation != generation_) {
        grants_changed_ = true;
        releases_.insert(releases_.end(), releases_sent_.begin(), releases_sent_.end());
        return;
    }
    const std::set<range_id> refused = refused_grants(result.response->body);
    for (const auto& [range, token] : sent) {
        const auto found = wanted_.find(range);
        if (found != wanted_.end() && found->second == token && !refused.contains(range)) {
            confirmed_[range] = token;
        }
    }
    if (grants_changed_) {
        send_grants();
    }
}

void target_link::on_answer(const net::http_response& response)
{
    hooks_.on_target_answer();
    const auto run = net::find_header(response.headers, target_run_header);
    if (target_ && run && *run != target_->run_id) {
        // The target restarted and has not announced itself yet. The clock reading and the grants
        // of the previous run are invalid.
        clock_.reset();
        confirmed_.clear();
        return;
    }
    const auto clock = net::find_header(response.headers, target_clock_header);
    const auto reading = clock ? parse_ms(*clock) : std::nullopt;
    if (reading) {
        clock_ = clock_reading{*reading, loop_.now()};
    }
}

time_point target_link::idle_from() const
{
    return connect_failed_ ? loop_.now() : std::max(loop_.now(), latest_grant_expiry_);
}

void target_link::drain()
{
    if (!target_) {
        return;
    }
    net::http_request request;
    request.method = "POST";
    request.path = "/bulrush/v1/drain";
    http_.send(target_->address, request, probe_timeout, [](const net::http_result&) {});
}

} // namespace bulrushgw::node
