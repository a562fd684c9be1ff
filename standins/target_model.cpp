#include "standins/target_model.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "standins/url.h"

namespace bulrushgw::standin {

namespace {

using nlohmann::json;

/// Size limit of the record of runs; the oldest runs are removed first. The record grows beyond
/// the limit while its oldest run is still running.
constexpr std::size_t max_recorded_runs = 200'000;
/// Factor on the execution time right after the target's start. It falls linearly to 1 over
/// `target_settings::cold_start`.
constexpr int cold_factor = 4;

template <typename Number>
std::optional<Number> number_header(const net::http_request& request, std::string_view name)
{
    const auto text = net::find_header(request.headers, name);
    if (!text) {
        return std::nullopt;
    }
    Number value = 0;
    const auto [stop, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (failure != std::errc{} || stop != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

std::string text_header(const net::http_request& request, std::string_view name)
{
    return std::string(net::find_header(request.headers, name).value_or(""));
}

/// The key is the second segment of the path, as in "/ladders/{key}/standings".
std::string key_of(const net::http_request& request)
{
    return percent_decode(path_segment(path_of(request.path), 1));
}

net::http_response json_response(int status, const json& body)
{
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

/// The body of `POST /bulrush/v1/grants`, as described in docs/target-api.md.
struct grants_message {
    std::string incarnation;
    std::map<std::uint32_t, std::uint64_t> grants;
    std::vector<std::uint32_t> releases;
    std::uint64_t expires_at_ms = 0;
};

std::optional<grants_message> parse_grants(const std::string& body)
{
    try {
        const auto parsed = json::parse(body);
        grants_message result;
        result.incarnation = parsed.at("incarnation").get<std::string>();
        for (const auto& grant : parsed.at("grants")) {
            result.grants[grant.at("range").get<std::uint32_t>()] =
                grant.at("fence").get<std::uint64_t>();
        }
        result.releases = parsed.at("releases").get<std::vector<std::uint32_t>>();
        result.expires_at_ms = parsed.at("expires_at_ms").get<std::uint64_t>();
        return result;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::uint64_t clock_ms(time_point now)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

target_model::target_model(target_settings settings, std::uint64_t run_id, time_point now)
    : settings_(std::move(settings)), run_id_(run_id), started_(now)
{
}

void target_model::add_identity_headers(net::http_response& response, time_point now) const
{
    response.headers.push_back({"Bulrush-Target-Clock-Ms", std::to_string(clock_ms(now))});
    response.headers.push_back({"Bulrush-Target-Run", std::to_string(run_id_)});
}

net::http_response target_model::make_refusal(std::uint64_t& counter, int status,
                                              const char* reason) const
{
    ++counter;
    auto response = json_response(status, {{"not_run", reason}, {"target", settings_.name}});
    response.headers.push_back({"Bulrush-Not-Run", reason});
    return response;
}

net::http_response target_model::on_grants(const std::string& body, time_point)
{
    ++counters_.grant_messages;
    const auto message = parse_grants(body);
    if (!message) {
        ++counters_.grants_refused;
        return json_response(400, {{"error", "not a grants message"}});
    }
    if (replaced_incarnations_.contains(message->incarnation)) {
        ++counters_.grants_refused;
        return json_response(409, {{"error", "replaced incarnation"}});
    }
    if (message->incarnation != incarnation_) {
        replaced_incarnations_.insert(std::exchange(incarnation_, message->incarnation));
        grants_.clear();
        expires_at_ms_ = 0;
    }
    for (const auto range : message->releases) {
        grants_.erase(range);
    }
    auto stale = json::array();
    for (const auto& [range, fence] : message->grants) {
        auto& highest = highest_fences_[range];
        if (fence < highest) {
            stale.push_back({{"range", range}, {"fence", highest}});
            continue;
        }
        highest = fence;
        grants_[range] = fence;
    }
    // Keeps the later expiry, because messages may arrive out of order.
    expires_at_ms_ = std::max(expires_at_ms_, message->expires_at_ms);
    return json_response(200, {{"held", grants_.size()}, {"stale", stale}});
}

net::http_response target_model::on_drain(time_point)
{
    draining_ = true;
    return json_response(200, {{"in_flight", active_.size()}});
}

std::optional<net::http_response> target_model::check_fence(const net::http_request& request,
                                                            time_point now)
{
    const auto range = number_header<std::uint32_t>(request, "Bulrush-Range");
    const auto fence = number_header<std::uint64_t>(request, "Bulrush-Fence");
    if (!settings_.checks_fences || !range) {
        return std::nullopt;
    }
    const auto grant = grants_.find(*range);
    if (grant == grants_.end() || !fence || *fence > grant->second) {
        return make_refusal(counters_.no_grant, 409, "no-grant");
    }
    if (*fence < grant->second) {
        return make_refusal(counters_.stale_fence, 409, "stale-fence");
    }
    if (clock_ms(now) >= expires_at_ms_) {
        return make_refusal(counters_.grant_expired, 409, "grant-expired");
    }
    return std::nullopt;
}

std::optional<net::http_response> target_model::check_request(const net::http_request& request,
                                                              time_point now)
{
    if (draining_) {
        return make_refusal(counters_.draining, 503, "draining");
    }
    if (auto refusal = check_fence(request, now)) {
        return refusal;
    }
    if (number_header<std::int64_t>(request, "Bulrush-Deadline-Ms").value_or(1) <= 0) {
        return make_refusal(counters_.deadline_passed, 503, "deadline");
    }
    if (active_.size() >= settings_.slots) {
        return make_refusal(counters_.shed, 503, "shedding");
    }
    return std::nullopt;
}

start_result target_model::start(const net::http_request& request, time_point now)
{
    if (auto refusal = check_request(request, now)) {
        return {std::move(refusal), 0, milliseconds{0}};
    }
    start_result result;
    result.run = next_run_++;
    result.duration = settings_.delay;
    const auto age = std::chrono::duration_cast<milliseconds>(now - started_);
    if (age < settings_.cold_start) {
        const auto cold_time_left = settings_.cold_start - age;
        result.duration += settings_.delay * ((cold_factor - 1) * cold_time_left.count()) /
                           settings_.cold_start.count();
    }
    record(request, result.run, now);
    const auto deadline = number_header<std::int64_t>(request, "Bulrush-Deadline-Ms");
    if (deadline && milliseconds{*deadline} < result.duration) {
        result.duration = milliseconds{*deadline};
        active_[result.run].within_deadline = false;
    }
    return result;
}

void target_model::record(const net::http_request& request, std::uint64_t run, time_point now)
{
    ++counters_.started;
    run_record entry;
    entry.run = run;
    entry.request_id = text_header(request, "Bulrush-Request-Id");
    entry.key = key_of(request);
    entry.method = request.method;
    entry.path = request.path;
    entry.range = number_header<std::uint32_t>(request, "Bulrush-Range");
    entry.fence = number_header<std::uint64_t>(request, "Bulrush-Fence").value_or(0);
    entry.started_ms = clock_ms(now);
    if (!entry.request_id.empty() && ++starts_by_id_[entry.request_id] > 1) {
        double_runs_.insert(entry.request_id);
    }
    if (on_run_) {
        on_run_(entry);
    }
    runs_.push_back(std::move(entry));
    active_[run] = {&runs_.back(), true};
    if (runs_.size() > max_recorded_runs && runs_.front().outcome != run_outcome::running) {
        starts_by_id_.erase(runs_.front().request_id);
        runs_.pop_front();
        ++counters_.runs_dropped;
    }
}

net::http_response target_model::finish(std::uint64_t run, time_point)
{
    const auto found = active_.find(run);
    if (found == active_.end()) {
        return json_response(500, {{"error", "the run ended before"}});
    }
    const run_record& entry = *found->second.record;
    const bool within_deadline = found->second.within_deadline;
    const json body = {{"target", settings_.name}, {"service", settings_.service},
                       {"key", entry.key},         {"request_id", entry.request_id},
                       {"method", entry.method},   {"path", entry.path},
                       {"fence", entry.fence},     {"run", entry.run}};
    end_run(run, within_deadline ? run_outcome::done : run_outcome::deadline);
    if (!within_deadline) {
        return json_response(504, {{"error", "deadline passed during the run"}});
    }
    return json_response(200, body);
}

void target_model::cancel(std::uint64_t run)
{
    end_run(run, run_outcome::cancelled);
}

void target_model::end_run(std::uint64_t run, run_outcome outcome)
{
    const auto found = active_.find(run);
    if (found == active_.end()) {
        return;
    }
    found->second.record->outcome = outcome;
    active_.erase(found);
    switch (outcome) {
    case run_outcome::done:
        ++counters_.done;
        break;
    case run_outcome::cancelled:
        ++counters_.cancelled;
        break;
    case run_outcome::deadline:
        ++counters_.deadline_passed;
        break;
    case run_outcome::running:
        break;
    }
}

// Does not clear the record of runs, so that tests find double runs across restarts.
void target_model::restart_empty(time_point now)
{
    while (!active_.empty()) {
        cancel(active_.begin()->first);
    }
    ++run_id_;
    started_ = now;
    draining_ = false;
    incarnation_.clear();
    replaced_incarnations_.clear();
    grants_.clear();
    highest_fences_.clear();
    expires_at_ms_ = 0;
}

void target_model::control(const json& change, time_point now)
{
    auto next = settings_;
    next.checks_fences = change.value("checks_fences", next.checks_fences);
    next.slots = change.value("slots", next.slots);
    next.delay = milliseconds{change.value("delay_ms", next.delay.count())};
    const auto draining = change.value("draining", draining_);
    const auto frozen = change.value("frozen", frozen_);
    const auto hanging = change.value("hanging", hanging_);
    const auto report = change.value("report", report_override_);
    const bool restart = change.value("restart_empty", false);
    if (!report.is_object()) {
        throw parse_error("report: expected an object");
    }
    settings_ = std::move(next);
    draining_ = draining;
    frozen_ = frozen;
    hanging_ = hanging;
    report_override_ = report;
    if (restart) {
        restart_empty(now);
    }
}

} // namespace bulrushgw::standin
