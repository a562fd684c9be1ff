#include <algorithm>
#include <istream>
#include <ostream>
#include <set>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "common/errors.h"
#include "standins/load.h"

namespace bulrushgw::standin {

namespace {

using nlohmann::json;

void count_outcomes(const std::vector<load_record>& records, load_report& report)
{
    for (const auto& record : records) {
        ++report.sent;
        report.answered += record.outcome == "answered" ? 1 : 0;
        report.not_run += record.outcome == "not-run" ? 1 : 0;
        report.unknown += record.outcome == "unknown" ? 1 : 0;
        report.no_answer += record.outcome == "no-answer" ? 1 : 0;
        report.mismatched_answers += record.answer_matches ? 0 : 1;
    }
}

void count_runs(const std::vector<load_record>& records, const std::vector<logged_run>& runs,
                load_report& report)
{
    std::map<std::string, std::size_t> runs_by_id;
    for (const auto& run : runs) {
        ++runs_by_id[run.request_id];
    }
    for (const auto& record : records) {
        const auto found = runs_by_id.find(record.request_id);
        const std::size_t count = found == runs_by_id.end() ? 0 : found->second;
        report.run_twice += !record.idempotent && count > 1 ? 1 : 0;
        report.refused_but_run += record.outcome == "not-run" && count > 0 ? 1 : 0;
    }
}

/// Counts the runs that violate this rule: ordered by start time, the fences of a range
/// never decrease, and each fence is used by one target only.
std::size_t count_non_owner_runs(std::vector<logged_run> runs)
{
    std::stable_sort(runs.begin(), runs.end(),
                     [](const auto& a, const auto& b) { return a.started_ms < b.started_ms; });
    std::map<std::pair<std::string, std::uint32_t>, const logged_run*> newest;
    std::size_t violations = 0;
    for (const auto& run : runs) {
        if (!run.keyed) {
            continue;
        }
        const logged_run*& last = newest[{run.service, run.range}];
        const bool stale = last != nullptr && run.fence < last->fence;
        const bool shared =
            last != nullptr && run.fence == last->fence && run.target != last->target;
        violations += stale || shared ? 1 : 0;
        if (last == nullptr || run.fence >= last->fence) {
            last = &run;
        }
    }
    return violations;
}

/// The first two segments of the path, of which the second is the key. A path with one segment
/// has no key and is returned whole. Keyed requests with the same result have the same owner.
std::string key_of(const std::string& path)
{
    const auto begin = path.find('/', 1);
    return begin == std::string::npos ? path : path.substr(0, path.find('/', begin + 1));
}

/// Milliseconds from sending the request at `index` until this request, or a later one for the
/// same key, was answered. `mark_window` if none of them was answered.
std::int64_t time_until_served(const std::vector<const load_record*>& requests_of_key,
                               std::size_t index)
{
    const load_record& sent = *requests_of_key[index];
    for (std::size_t later = index; later < requests_of_key.size(); ++later) {
        if (requests_of_key[later]->outcome == "answered") {
            return requests_of_key[later]->done_ms - sent.sent_ms;
        }
    }
    return mark_window.count();
}

void compute_unavailability(const std::vector<load_record>& records,
                            const std::map<std::string, std::int64_t>& marks, load_report& report)
{
    std::map<std::string, std::vector<const load_record*>> by_key;
    for (const auto& record : records) {
        by_key[key_of(record.path)].push_back(&record);
    }
    for (const auto& [name, mark] : marks) {
        std::int64_t worst = 0;
        for (const auto& [key, requests_of_key] : by_key) {
            for (std::size_t i = 0; i < requests_of_key.size(); ++i) {
                const std::int64_t sent = requests_of_key[i]->sent_ms;
                if (sent >= mark && sent < mark + mark_window.count()) {
                    worst = std::max(worst, time_until_served(requests_of_key, i));
                }
            }
        }
        report.unavailable[name] = milliseconds{worst};
    }
}

template <typename Record, typename Parse>
std::vector<Record> read_lines(std::istream& in, Parse parse)
{
    std::vector<Record> records;
    std::string line;
    std::size_t number = 0;
    while (std::getline(in, line)) {
        ++number;
        try {
            records.push_back(parse(json::parse(line)));
        }
        catch (const json::exception& failure) {
            throw parse_error("line " + std::to_string(number) + ": " + failure.what());
        }
    }
    return records;
}

} // namespace

load_report make_report(const std::vector<load_record>& records,
                        const std::vector<logged_run>& runs,
                        const std::map<std::string, std::int64_t>& marks)
{
    load_report report;
    count_outcomes(records, report);
    count_runs(records, runs, report);
    report.non_owner_runs = count_non_owner_runs(runs);
    compute_unavailability(records, marks, report);
    return report;
}

void write_records(std::ostream& out, const std::vector<load_record>& records)
{
    for (const auto& record : records) {
        out << json{{"request_id", record.request_id},
                    {"path", record.path},
                    {"idempotent", record.idempotent},
                    {"sent_ms", record.sent_ms},
                    {"done_ms", record.done_ms},
                    {"outcome", record.outcome},
                    {"reason", record.reason},
                    {"status", record.status},
                    {"own_answer", record.answer_matches}}
                   .dump()
            << '\n';
    }
}

std::vector<load_record> read_records(std::istream& in)
{
    return read_lines<load_record>(in, [](const json& line) {
        load_record record;
        record.request_id = line.at("request_id");
        record.path = line.at("path");
        record.idempotent = line.at("idempotent");
        record.sent_ms = line.at("sent_ms");
        record.done_ms = line.at("done_ms");
        record.outcome = line.at("outcome");
        record.reason = line.at("reason");
        record.status = line.at("status");
        record.answer_matches = line.at("own_answer");
        return record;
    });
}

std::vector<logged_run> read_runs(std::istream& in)
{
    return read_lines<logged_run>(in, [](const json& line) {
        logged_run run;
        run.target = line.at("target");
        run.request_id = line.at("request_id");
        run.service = line.at("service");
        run.keyed = line.contains("range");
        run.range = line.value("range", 0U);
        run.fence = line.value("fence", std::uint64_t{0});
        run.started_ms = line.at("started_ms");
        return run;
    });
}

std::string to_text(const load_report& report)
{
    std::ostringstream out;
    const auto line = [&out](const std::string& name, std::size_t value, bool must_be_zero) {
        out << name << std::string(name.size() < 34 ? 34 - name.size() : 1, ' ') << value
            << (must_be_zero ? "  (must be 0)" : "") << '\n';
    };
    line("requests sent", report.sent, false);
    line("answered", report.answered, false);
    line("refused as not run", report.not_run, false);
    line("outcome unknown", report.unknown, false);
    line("no answer from the node", report.no_answer, false);
    line("run twice", report.run_twice, true);
    line("answered by a non-owner", report.non_owner_runs, true);
    line("refused as not run, but ran", report.refused_but_run, true);
    line("another request's answer", report.mismatched_answers, true);
    for (const auto& [name, time] : report.unavailable) {
        line("longest wait, " + name + ", ms", static_cast<std::size_t>(time.count()), false);
    }
    return out.str();
}

std::string to_json(const load_report& report)
{
    json unavailable = json::object();
    for (const auto& [name, time] : report.unavailable) {
        unavailable[name] = time.count();
    }
    return json{{"sent", report.sent},
                {"answered", report.answered},
                {"not_run", report.not_run},
                {"unknown", report.unknown},
                {"no_answer", report.no_answer},
                {"run_twice", report.run_twice},
                {"non_owner", report.non_owner_runs},
                {"untrue_not_run", report.refused_but_run},
                {"crossed", report.mismatched_answers},
                {"unavailable_ms", unavailable}}
        .dump();
}

} // namespace bulrushgw::standin
