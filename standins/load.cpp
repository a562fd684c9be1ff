#include "standins/load.h"

#include <algorithm>
#include <utility>

#include "common/errors.h"

namespace bulrushgw::standin {

namespace {

constexpr std::size_t max_connections_per_node = 200;
constexpr std::size_t max_response_bytes = 1024 * 1024;
constexpr milliseconds send_interval{5};
// The client timeout is the request deadline plus this time, so that a refusal sent at the
// deadline still arrives.
constexpr milliseconds answer_allowance{1000};

std::int64_t to_ms(time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

std::string outcome_of(const net::http_response& response, load_record& record)
{
    if (const auto reason = net::find_header(response.headers, "Bulrush-Reason")) {
        record.reason = *reason;
    }
    const auto outcome = net::find_header(response.headers, "Bulrush-Outcome");
    return outcome ? std::string(*outcome) : std::string("no-answer");
}

} // namespace

std::vector<load_kind> load_kinds_of(const std::string& deployment)
{
    if (deployment == "ladderdesk") {
        return {{"GET", "/ladders/", "/standings", true, true, 6},
                {"POST", "/ladders/", "/challenges", true, false, 2},
                {"POST", "/results", "", false, false, 1}};
    }
    if (deployment == "ladder-front") {
        return {{"GET", "/ladders/", "/standings", true, true, 3},
                {"POST", "/ladders/", "/challenges", true, false, 1}};
    }
    if (deployment == "hima-kalapu") {
        return {{"GET", "/moulds/", "", true, true, 6},
                {"POST", "/bookings/", "/slots", true, false, 2},
                {"POST", "/bookings/", "/deposits", true, false, 1}};
    }
    throw error("unknown deployment \"" + deployment +
                "\", expected ladderdesk, ladder-front or hima-kalapu");
}

load_generator::load_generator(net::loop& loop, load_options options, std::function<void()> on_done)
    : loop_(loop), options_(std::move(options)), on_done_(std::move(on_done)),
      client_(loop, max_connections_per_node, max_response_bytes), random_(options_.seed)
{
}

void load_generator::start()
{
    started_ = loop_.now();
    send_due();
}

void load_generator::send_due()
{
    const auto elapsed = std::min<boot_clock::duration>(loop_.now() - started_, options_.duration);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const auto due = static_cast<std::size_t>(seconds * options_.requests_per_second);
    while (sent_ < due) {
        send_one();
    }
    if (elapsed < options_.duration) {
        loop_.after(send_interval, [this] { send_due(); });
    }
    else if (finished_ == sent_) {
        on_done_();
    }
}

const load_kind& load_generator::choose_kind()
{
    unsigned total = 0;
    for (const auto& kind : options_.kinds) {
        total += kind.share;
    }
    unsigned chosen = static_cast<unsigned>(random_() % total);
    for (const auto& kind : options_.kinds) {
        if (chosen < kind.share) {
            return kind;
        }
        chosen -= kind.share;
    }
    return options_.kinds.back();
}

void load_generator::send_one()
{
    const load_kind& kind = choose_kind();
    load_record record;
    record.request_id = "load-" + std::to_string(options_.seed) + "-" + std::to_string(sent_);
    record.path = kind.path_before_key;
    if (kind.has_key) {
        record.path += "key-" + std::to_string(random_() % options_.keys) + kind.path_after_key;
    }
    record.idempotent = kind.idempotent;
    record.sent_ms = to_ms(loop_.now());

    net::http_request request;
    request.method = kind.method;
    request.path = record.path;
    request.headers = {{"Bulrush-Request-Id", record.request_id},
                       {"Bulrush-Deadline-Ms", std::to_string(options_.deadline.count())}};
    const net::endpoint& node = options_.nodes[sent_ % options_.nodes.size()];
    const std::size_t index = sent_++;
    records_.push_back(std::move(record));
    client_.send(node, request, options_.deadline + answer_allowance,
                 [this, index](const net::http_result& result) { finish(index, result); });
}

void load_generator::finish(std::size_t index, const net::http_result& result)
{
    load_record& record = records_[index];
    record.done_ms = to_ms(loop_.now());
    record.outcome = "no-answer";
    if (result.response) {
        record.status = result.response->status;
        record.outcome = outcome_of(*result.response, record);
        if (record.outcome == "answered") {
            const std::string quoted = '"' + record.request_id + '"';
            record.answer_matches = result.response->body.find(quoted) != std::string::npos;
        }
    }
    else if (result.failure == net::http_failure::connect ||
             result.failure == net::http_failure::not_sent) {
        record.outcome = "not-run";
        record.reason = "no connection to the node";
    }
    ++finished_;
    if (finished_ == sent_ && loop_.now() - started_ >= options_.duration) {
        on_done_();
    }
}

} // namespace bulrushgw::standin
