#pragma once

/// Open-loop load generator for the demo and the process tests, and the check of its
/// responses against the run logs of the target stand-ins.

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// One kind of request in the mix.
struct load_kind {
    std::string method;
    std::string path_before_key;
    /// If `has_key` is false, this is empty and `path_before_key` is the whole path.
    std::string path_after_key;
    bool has_key = true;
    bool idempotent = true;
    unsigned share = 1; ///< weight in the mix, relative to the other kinds
};

struct load_options {
    std::vector<net::endpoint> nodes;
    milliseconds duration{10000};
    double requests_per_second = 200;
    std::uint64_t seed = 1;
    unsigned keys = 32;
    milliseconds deadline{2500};
    std::vector<load_kind> kinds;
};

/// The request mix for the deployment "ladderdesk", for its service "ladder-front" alone, or
/// for the deployment "hima-kalapu". The paths match the rules files under examples/.
/// Throws `error` for another name.
std::vector<load_kind> load_kinds_of(const std::string& deployment);

/// One request as the client saw it. Times are milliseconds of the boot clock.
struct load_record {
    std::string request_id;
    std::string path;
    bool idempotent = true;
    std::int64_t sent_ms = 0;
    std::int64_t done_ms = 0;
    /// Value of Bulrush-Outcome. Without that header, or if no response arrived: "no-answer".
    /// If the request could not be sent: "not-run".
    std::string outcome;
    std::string reason;
    int status = 0;
    bool answer_matches = true; ///< false if the body of an answer lacks the request id
};

/// Sends requests at a fixed rate, whether or not earlier ones were answered.
/// Calls `on_done` after the duration, when each request was answered or has failed.
/// Not thread-safe; runs on the loop.
class load_generator {
public:
    load_generator(net::loop& loop, load_options options, std::function<void()> on_done);

    void start();
    [[nodiscard]] const std::vector<load_record>& records() const { return records_; }

private:
    void send_due();
    void send_one();
    void finish(std::size_t index, const net::http_result& result);
    const load_kind& choose_kind();

    net::loop& loop_;
    load_options options_;
    std::function<void()> on_done_;
    net::http_client client_;
    std::mt19937_64 random_;
    time_point started_;
    std::vector<load_record> records_;
    std::size_t sent_ = 0;
    std::size_t finished_ = 0;
};

/// One line of a target's run log: the start of a request on that target.
struct logged_run {
    std::string target;
    std::string request_id;
    std::string service;
    std::uint32_t range = 0;
    std::uint64_t fence = 0;
    bool keyed = false;
    bool idempotent = true;
    std::int64_t started_ms = 0;
};

struct load_report {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t no_answer = 0;
    std::size_t run_twice = 0;          ///< non-idempotent request ids that ran more than once
    std::size_t refused_but_run = 0;    ///< requests reported as not run that are in a run log
    std::size_t mismatched_answers = 0; ///< answers without the id of their request
    /// Runs under a lower fence than an earlier run of the same range, or under a fence under
    /// which another target ran this range.
    std::size_t non_owner_runs = 0;
    /// For each mark (a named point in time): the longest time from sending a request until its
    /// key was served. Only requests sent within `mark_window` after the mark count. A request
    /// whose key was not served again counts as `mark_window`.
    std::map<std::string, milliseconds> unavailable;

    [[nodiscard]] bool guarantees_hold() const
    {
        return run_twice == 0 && refused_but_run == 0 && mismatched_answers == 0 &&
               non_owner_runs == 0;
    }
};

/// Requests sent within this time after a mark count towards the unavailability of that mark.
inline constexpr milliseconds mark_window{4000};

/// `marks` maps the name of each mark to its time in milliseconds of the boot clock.
load_report make_report(const std::vector<load_record>& records,
                        const std::vector<logged_run>& runs,
                        const std::map<std::string, std::int64_t>& marks);

void write_records(std::ostream& out, const std::vector<load_record>& records);
/// `read_records` and `read_runs` throw `parse_error` for a line that is not one record.
std::vector<load_record> read_records(std::istream& in);
std::vector<logged_run> read_runs(std::istream& in);

std::string to_text(const load_report& report);
std::string to_json(const load_report& report);

} // namespace bulrushgw::standin
