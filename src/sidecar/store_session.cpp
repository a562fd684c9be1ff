#include "sidecar/store_session.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar {

namespace {

/// Timeout of a read or write. A slow store takes about 0.7 s for a write.
constexpr milliseconds call_timeout{1000};
/// Time for which the store may delay the answer to a watch while nothing changes. The store delays
/// an answer for 30 s at most. A broken connection is detected only after this time; until then,
/// peers announce a new manifest. Only the leader uses `short_watch_wait`, because each call is
/// work for the store and the other nodes learn of a new manifest from the leader.
constexpr milliseconds watch_wait{30000};
constexpr milliseconds short_watch_wait{1000};
/// Delay after the first failed call. It doubles with each further failure, at most
/// `max_doublings` times, and is randomized so that not all nodes retry at the same time.
constexpr milliseconds first_retry_delay{100};
constexpr unsigned max_doublings = 3;
/// The watch, the calls for the leader's record and the reads of the manifest use separate
/// connections.
constexpr std::size_t max_connections = 4;
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

store_session::store_session(net::loop& loop, net::endpoint address,
                             const platform_protocol& protocol, std::uint64_t seed, hooks callbacks)
    : loop_(loop), address_(std::move(address)), protocol_(protocol), random_(seed),
      hooks_(std::move(callbacks)), http_(loop, max_connections, max_answer_bytes)
{
}

void store_session::set_state(bool up, const std::string& cause)
{
    if (std::exchange(up_, up) != up) {
        hooks_.on_state(up, cause);
    }
}

void store_session::call(const net::http_request& request, milliseconds timeout,
                         std::function<void(const call_result&)> done)
{
    ++calls_;
    http_.send(address_, request, timeout,
               [this, done = std::move(done)](const net::http_result& result) {
                   if (result.response) {
                       done(read_answer(*result.response));
                       return;
                   }
                   const bool sent = result.failure != net::http_failure::connect &&
                                     result.failure != net::http_failure::not_sent;
                   set_state(false, sent ? "no answer" : "no connection");
                   done({sent ? store_outcome::unknown : store_outcome::unavailable});
               });
}

store_session::call_result store_session::read_answer(const net::http_response& response)
{
    const bool is_conflict = response.status == protocol_.conflict_status;
    const bool is_executed = response.status == 200 || is_conflict;
    call_result result{store_outcome::unavailable, &response};
    try {
        const auto era = protocol_.parse_store_era(response.headers);
        accept_era(era);
        result.era = era.value_or(0);
    }
    catch (const store_format_error& failure) {
        set_state(false, failure.what());
        result.outcome = is_executed ? store_outcome::unknown : store_outcome::unavailable;
        return result;
    }
    if (!is_executed) {
        // A call that the store refused was not executed.
        set_state(false, "status " + std::to_string(response.status));
        return result;
    }
    set_state(true, "answered");
    // Answers of two eras may cross on two connections. The later era has replaced what the answer
    // of the earlier one says.
    if (result.era < era_.value_or(0)) {
        result.outcome = store_outcome::unknown;
    }
    else {
        result.outcome = is_conflict ? store_outcome::conflict : store_outcome::done;
    }
    return result;
}

void store_session::accept_era(std::optional<std::uint64_t> era)
{
    if (!era || (era_ && *era <= *era_)) {
        return;
    }
    const bool has_returned = era_.has_value();
    era_ = era;
    hooks_.on_era(*era);
    if (has_returned && watch_generation_ != 0) {
        // The watch waits for versions of the earlier era, which the store gives out again.
        watch_manifest();
    }
}

void store_session::read_leader(std::function<void(store_outcome, const leader_rows&)> done)
{
    call(protocol_.read_leader(), call_timeout,
         [this, done = std::move(done)](const call_result& answer) {
             leader_rows rows;
             auto outcome = answer.outcome;
             if (outcome == store_outcome::done) {
                 try {
                     rows = protocol_.parse_leader(answer.response->body, answer.era);
                 }
                 catch (const store_format_error& failure) {
                     set_state(false, failure.what());
                     outcome = store_outcome::unavailable;
                 }
             }
             done(outcome, rows);
         });
}

void store_session::write_leader(const leader_write& content,
                                 std::function<void(store_outcome, store_version)> done)
{
    call(protocol_.write_leader(content), call_timeout,
         [this, era = content.expected.era(), done = std::move(done)](const call_result& answer) {
             store_version version;
             auto outcome = answer.outcome;
             if (outcome == store_outcome::done && answer.era != era) {
                 outcome = store_outcome::unknown;
             }
             if (outcome == store_outcome::done) {
                 try {
                     version = version_in_era(era, protocol_.parse_version(answer.response->body));
                 }
                 catch (const store_format_error& failure) {
                     set_state(false, failure.what());
                     outcome = store_outcome::unknown;
                 }
             }
             done(outcome, version);
         });
}

void store_session::watch_manifest()
{
    ++watch_generation_;
    read_manifest();
}

void store_session::set_fast_watch(bool fast)
{
    // Restart the watch, since the current call may wait for a long time on a broken connection.
    if (std::exchange(fast_watch_, fast) != fast && fast) {
        watch_manifest();
    }
}

void store_session::read_manifest()
{
    call(protocol_.read_manifest(), call_timeout,
         [this, generation = watch_generation_](const call_result& answer) {
             if (generation != watch_generation_) {
                 return;
             }
             if (answer.outcome != store_outcome::done) {
                 retry_watch();
                 return;
             }
             const auto& body = answer.response->body;
             try {
                 // First the orders, so that an unreadable manifest does not hide them.
                 hooks_.on_evacuations(protocol_.parse_evacuations(body, answer.era), true);
                 const stored_row row = protocol_.parse_manifest_row(body);
                 watched_version_ = protocol_.parse_version(body);
                 failures_ = 0;
                 if (row.version != 0) {
                     hooks_.on_manifest(row.value);
                 }
             }
             catch (const store_format_error& failure) {
                 set_state(false, failure.what());
                 retry_watch();
                 return;
             }
             continue_watch();
         });
}

void store_session::continue_watch()
{
    const auto wait = fast_watch_ ? short_watch_wait : watch_wait;
    call(protocol_.watch_manifest(watched_version_, wait), wait + call_timeout,
         [this, generation = watch_generation_](const call_result& answer) {
             if (generation != watch_generation_) {
                 return;
             }
             if (answer.outcome != store_outcome::done) {
                 const bool history_lost = answer.response != nullptr &&
                                           answer.response->status == protocol_.history_lost_status;
                 if (history_lost) {
                     read_manifest();
                 }
                 else {
                     retry_watch();
                 }
                 return;
             }
             const auto& body = answer.response->body;
             try {
                 hooks_.on_evacuations(protocol_.parse_evacuations(body, answer.era), false);
                 const feed_page page = protocol_.parse_feed(body);
                 watched_version_ = std::max(watched_version_, page.next);
                 failures_ = 0;
                 for (const auto& row : page.rows) {
                     if (row.version != 0) {
                         hooks_.on_manifest(row.value);
                     }
                 }
             }
             catch (const store_format_error& failure) {
                 set_state(false, failure.what());
                 retry_watch();
                 return;
             }
             continue_watch();
         });
}

void store_session::retry_watch()
{
    const auto max_delay = first_retry_delay * (1U << std::min(failures_, max_doublings));
    ++failures_;
    std::uniform_int_distribution<milliseconds::rep> delay(max_delay.count() / 2,
                                                           max_delay.count());
    loop_.after(milliseconds{delay(random_)}, [this, generation = watch_generation_] {
        if (generation == watch_generation_) {
            read_manifest();
        }
    });
}

} // namespace bulrushgw::sidecar
