#include "store/client.h"

#include "store/backoff.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace bulrushgw::store {

namespace {

/// If no outcome of a message is reported within this time after its timeout, the message counts as
/// lost. Normally the caller's HTTP client reports the timeout earlier.
constexpr milliseconds timeout_grace{500};

/// Quarters of the queue that requests of each priority may fill. The rest stays free for more
/// urgent requests: a member's write of its own row must not be rejected because background
/// requests fill the queue.
constexpr std::array<std::size_t, 4> queue_quarters{4, 4, 3, 2};

/// Gives the read and the write limit of a node different random phases.
constexpr std::uint64_t write_seed = 0x9e3779b97f4a7c15;

constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_too_many = 429;
constexpr int http_first_server_error = 500;
constexpr int http_unavailable = 503;

using job_key = std::pair<priority, std::uint64_t>;

/// A request from its submission to its reply.
struct job {
    request content;
    std::vector<client::callback> callbacks;
    time_point deadline;
    std::string writer;           ///< writer token of a transaction
    std::uint64_t message_id = 0; ///< id of the message in flight; 0 while the request is queued
    bool may_have_run = false;    ///< an answer to the write was lost
    bool reading_back = false;
    bool sent_before = false;
    std::vector<std::string> keys;     ///< rows to read back
    std::vector<stored_row> rows_read; ///< rows read back so far; version 0 for a missing row
};

struct message_in_flight {
    job_key owner;
    time_point expires_at;
};

bool is_same_read(const request& a, const request& b)
{
    if (a.index() != b.index()) {
        return false;
    }
    if (const auto* row = std::get_if<read_row>(&a)) {
        return row->key == std::get<read_row>(b).key;
    }
    if (const auto* rows = std::get_if<read_prefix>(&a)) {
        return rows->prefix == std::get<read_prefix>(b).prefix;
    }
    if (const auto* object = std::get_if<get_object>(&a)) {
        return object->name == std::get<get_object>(b).name;
    }
    return false;
}

std::vector<std::string> keys_of(const transact& transaction)
{
    std::set<std::string> keys;
    for (const write& change : transaction.writes) {
        keys.insert(change.key);
    }
    for (const condition& expected : transaction.conditions) {
        keys.insert(expected.key);
    }
    return {keys.begin(), keys.end()};
}

enum class read_back_result { took_effect, did_not_run, undecided };

/// Decides from the rows that were read back whether the transaction was executed.
read_back_result outcome_from_rows(const transact& transaction, const std::string& writer,
                                   const std::vector<stored_row>& rows_read)
{
    const auto find = [&](const std::string& key) {
        return std::ranges::find_if(rows_read,
                                    [&](const stored_row& row) { return row.content.key == key; });
    };
    bool only_erases = true;
    bool all_erased = true;
    for (const write& change : transaction.writes) {
        const auto row = find(change.key);
        if (!change.erase) {
            only_erases = false;
            if (row->writer == writer) {
                return read_back_result::took_effect;
            }
        }
        else if (row->content.version != 0) {
            all_erased = false;
        }
    }
    if (only_erases && all_erased) {
        return read_back_result::took_effect;
    }
    const bool conditions_hold =
        std::ranges::all_of(transaction.conditions, [&](const condition& expected) {
            return find(expected.key)->content.version == expected.version;
        });
    return conditions_hold ? read_back_result::did_not_run : read_back_result::undecided;
}

} // namespace

struct client::state {
    state(client_settings values, std::uint64_t seed, time_point now)
        : settings(values), random(seed), reads(values.reads_per_second, values.nodes, seed, now),
          writes(values.writes_per_second, values.nodes, seed ^ write_seed, now)
    {
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016llx",
                      static_cast<unsigned long long>(random()));
        writer_prefix = text.data();
    }

    submission submit(time_point now, request content, priority request_priority,
                      callback on_reply);
    void send_due(time_point now);
    bool take_token(time_point now, priority request_priority, bool write);
    void send(time_point now, job_key key, job& entry);
    void read_back(job& entry);
    void on_answer(time_point now, std::uint64_t id, int status, const std::string& body);
    void on_read_back(time_point now, job_key key, job& entry, int status, const std::string& body);
    void on_final(time_point now, job_key key, job& entry, int status, const std::string& body);
    void on_store_failure(time_point now);
    void on_answer_lost(time_point now, job& entry);
    void complete(job_key key, const reply& result);
    void expire_requests(time_point now);
    [[nodiscard]] time_point deadline_from(time_point now, std::size_t read_slots) const;
    job* remove_in_flight(std::uint64_t id, job_key& key);

    client_settings settings;
    std::mt19937_64 random;
    rate_limit reads;
    rate_limit writes;
    std::string writer_prefix;
    std::uint64_t next_job = 1;
    std::uint64_t next_message = 1;
    std::map<job_key, job> jobs;
    std::map<std::uint64_t, message_in_flight> messages_in_flight;
    std::vector<outgoing> unsent_messages;
    unsigned failures = 0; ///< consecutive failed messages
    time_point retry_at;
    bool store_up = false;
    std::optional<time_point> last_answer;
    client_counters counters;
};

submission client::state::submit(time_point now, request content, priority request_priority,
                                 callback on_reply)
{
    if (!is_write(content)) {
        for (auto found = jobs.begin(); found != jobs.end(); ++found) {
            if (found->second.message_id != 0 || !is_same_read(found->second.content, content)) {
                continue;
            }
            ++counters.coalesced;
            auto node = jobs.extract(found);
            node.key().first = std::min(node.key().first, request_priority);
            node.mapped().callbacks.push_back(std::move(on_reply));
            node.mapped().deadline = deadline_from(now, 1);
            jobs.insert(std::move(node));
            send_due(now);
            return submission::accepted;
        }
    }
    const std::size_t max_for_priority =
        settings.max_pending * queue_quarters.at(static_cast<std::size_t>(request_priority)) /
        queue_quarters[0];
    if (jobs.size() >= max_for_priority) {
        ++counters.refused;
        return submission::queue_full;
    }
    job added;
    added.writer = writer_prefix + "-" + std::to_string(next_job);
    added.content = std::move(content);
    added.callbacks.push_back(std::move(on_reply));
    added.deadline = deadline_from(now, 1);
    jobs.emplace(job_key{request_priority, next_job++}, std::move(added));
    send_due(now);
    return submission::accepted;
}

bool client::state::take_token(time_point now, priority request_priority, bool write)
{
    rate_limit& limit = write ? writes : reads;
    return limit.take(now) ||
           (request_priority == priority::interactive && limit.take_reserve(now));
}

void client::state::send_due(time_point now)
{
    // While the store is failing, only one message at a time is sent, as a probe.
    const std::size_t allowed_in_flight = failures > 0 ? 1 : settings.max_in_flight;
    if (failures > 0 && now < retry_at) {
        return;
    }
    std::array<bool, 2> exhausted{}; // reads, writes
    for (auto& [key, entry] : jobs) {
        if (messages_in_flight.size() >= allowed_in_flight) {
            return;
        }
        if (entry.message_id != 0) {
            continue;
        }
        const bool write = is_write(entry.content) && !entry.reading_back;
        if (exhausted.at(write ? 1 : 0)) {
            continue;
        }
        if (take_token(now, key.first, write)) {
            send(now, key, entry);
        }
        else if (key.first != priority::interactive) {
            exhausted.at(write ? 1 : 0) = true;
        }
    }
}

void client::state::send(time_point now, job_key key, job& entry)
{
    outgoing message;
    message.id = next_message++;
    message.timeout = settings.answer_timeout;
    if (entry.reading_back) {
        message.message = row_query(entry.keys.at(entry.rows_read.size()));
        ++counters.read_backs;
    }
    else {
        message.message = to_http(entry.content, entry.writer);
        counters.retries += entry.sent_before ? 1 : 0;
        entry.sent_before = true;
    }
    ++(is_write(entry.content) && !entry.reading_back ? counters.writes_sent : counters.reads_sent);
    entry.message_id = message.id;
    messages_in_flight.emplace(
        message.id, message_in_flight{key, now + settings.answer_timeout + timeout_grace});
    unsent_messages.push_back(std::move(message));
}

/// Removes a message from the messages in flight and returns its request. Returns null if the
/// message has timed out or its request has already completed.
job* client::state::remove_in_flight(std::uint64_t id, job_key& key)
{
    const auto found = messages_in_flight.find(id);
    if (found == messages_in_flight.end()) {
        ++counters.late_answers;
        return nullptr;
    }
    key = found->second.owner;
    messages_in_flight.erase(found);
    const auto owner = jobs.find(key);
    if (owner == jobs.end()) {
        ++counters.late_answers;
        return nullptr;
    }
    owner->second.message_id = 0;
    return &owner->second;
}

void client::state::on_store_failure(time_point now)
{
    store_up = false;
    const milliseconds ceiling = backoff_ceiling(failures, settings.nodes);
    ++failures;
    std::uniform_int_distribution<milliseconds::rep> jitter(0, ceiling.count());
    retry_at = now + milliseconds{jitter(random)};
}

void client::state::read_back(job& entry)
{
    entry.reading_back = true;
    entry.rows_read.clear();
    entry.keys = keys_of(std::get<transact>(entry.content));
}

/// Deadline of a request that may need one write slot and `read_slots` read slots. Allows a full
/// period for each slot, because a slot may have passed just before the request was submitted.
time_point client::state::deadline_from(time_point now, std::size_t read_slots) const
{
    return now + settings.request_timeout + writes.period() +
           reads.period() * static_cast<std::int64_t>(read_slots);
}

void client::state::on_answer_lost(time_point now, job& entry)
{
    // Objects are named by the digest of their content, so repeating a put has no effect. Only a
    // transaction must be read back.
    if (std::holds_alternative<transact>(entry.content) && !entry.reading_back) {
        read_back(entry);
        if (!entry.may_have_run) {
            entry.deadline = deadline_from(now, entry.keys.size());
        }
        entry.may_have_run = true;
    }
}

void client::state::complete(job_key key, const reply& result)
{
    const auto found = jobs.find(key);
    const auto callbacks = std::move(found->second.callbacks);
    jobs.erase(found);
    for (const callback& on_reply : callbacks) {
        if (on_reply) {
            on_reply(result);
        }
    }
}

void client::state::on_answer(time_point now, std::uint64_t id, int status, const std::string& body)
{
    job_key key;
    job* entry = remove_in_flight(id, key);
    if (entry == nullptr) {
        return;
    }
    if (status >= http_first_server_error || status == http_too_many) {
        ++counters.server_errors;
        on_store_failure(now);
        // The store sends 503 and 429 only for requests that it has not executed. It may send any
        // other 5xx after a write has taken effect.
        if (status != http_unavailable && status != http_too_many) {
            on_answer_lost(now, *entry);
        }
        return;
    }
    try {
        if (entry->reading_back) {
            on_read_back(now, key, *entry, status, body);
        }
        else {
            on_final(now, key, *entry, status, body);
        }
    }
    catch (const protocol_error&) {
        ++counters.malformed;
        on_store_failure(now);
        on_answer_lost(now, *entry);
    }
}

void client::state::on_read_back(time_point now, job_key key, job& entry, int status,
                                 const std::string& body)
{
    if (status != http_ok && status != http_not_found) {
        throw protocol_error("unexpected status " + std::to_string(status) +
                             " in reply to a row read");
    }
    stored_row row;
    if (status == http_ok) {
        row = parse_row(body);
    }
    row.content.key = entry.keys.at(entry.rows_read.size());
    entry.rows_read.push_back(std::move(row));
    failures = 0;
    store_up = true;
    last_answer = now;
    if (entry.rows_read.size() < entry.keys.size()) {
        return;
    }
    entry.reading_back = false;
    reply result;
    switch (outcome_from_rows(std::get<transact>(entry.content), entry.writer, entry.rows_read)) {
    case read_back_result::did_not_run:
        return; // sent again by the next call of `send_due`
    case read_back_result::took_effect:
        result.result = status::ok;
        for (const stored_row& current : entry.rows_read) {
            if (current.writer == entry.writer) {
                result.written.push_back({current.content.key, current.content.version, {}});
            }
        }
        break;
    case read_back_result::undecided:
        result.result = status::unknown;
        ++counters.unresolved;
        break;
    }
    complete(key, result);
}

void client::state::on_final(time_point now, job_key key, job& entry, int status,
                             const std::string& body)
{
    reply result;
    if (status == http_conflict && std::holds_alternative<transact>(entry.content)) {
        if (entry.may_have_run) {
            // An earlier copy of this transaction may have taken effect and caused the conflict.
            read_back(entry);
            return;
        }
        ++counters.conflicts;
        result.result = status::conflict;
    }
    else if (status == http_not_found && !is_write(entry.content)) {
        result.result = status::not_found;
    }
    else if (status == http_ok || status == http_no_content ||
             (status == 201 && std::holds_alternative<put_object>(entry.content))) {
        result.result = status::ok;
        if (std::holds_alternative<transact>(entry.content)) {
            result.written = parse_versions(body);
        }
        else if (std::holds_alternative<read_row>(entry.content)) {
            result.rows.push_back(parse_row(body).content);
        }
        else if (std::holds_alternative<read_prefix>(entry.content)) {
            result.rows = parse_rows(body);
        }
        else if (std::holds_alternative<get_object>(entry.content)) {
            result.bytes = body;
        }
    }
    else {
        // With any other status, such as another 4xx, the store rejects the request itself. A retry
        // would fail again.
        ++counters.malformed;
        result.result = entry.may_have_run ? status::unknown : status::unavailable;
    }
    failures = 0;
    store_up = true;
    last_answer = now;
    complete(key, result);
}

void client::state::expire_requests(time_point now)
{
    std::vector<job_key> expired;
    for (const auto& [key, entry] : jobs) {
        if (now >= entry.deadline) {
            expired.push_back(key);
        }
    }
    for (const job_key& key : expired) {
        const auto found = jobs.find(key);
        if (found == jobs.end()) {
            continue;
        }
        const job& entry = found->second;
        const bool in_doubt =
            is_write(entry.content) && (entry.may_have_run || entry.message_id != 0);
        ++counters.timed_out;
        counters.unresolved += in_doubt ? 1 : 0;
        reply result;
        result.result = in_doubt ? status::unknown : status::unavailable;
        complete(key, result);
    }
}

client::client(client_settings settings, std::uint64_t seed, time_point now)
    : state_(std::make_unique<state>(settings, seed, now))
{
}

client::~client() = default;
client::client(client&&) noexcept = default;
client& client::operator=(client&&) noexcept = default;

void client::set_nodes(time_point now, std::size_t nodes)
{
    state_->settings.nodes = nodes;
    state_->reads.set_nodes(now, nodes);
    state_->writes.set_nodes(now, nodes);
}

submission client::submit(time_point now, request content, priority request_priority,
                          callback on_reply)
{
    return state_->submit(now, std::move(content), request_priority, std::move(on_reply));
}

void client::on_answer(time_point now, std::uint64_t id, int http_status, const std::string& body)
{
    state_->on_answer(now, id, http_status, body);
    state_->send_due(now);
}

void client::on_not_sent(time_point now, std::uint64_t id)
{
    job_key key;
    if (state_->remove_in_flight(id, key) != nullptr) {
        ++state_->counters.not_sent;
        state_->on_store_failure(now);
    }
}

void client::on_lost(time_point now, std::uint64_t id)
{
    job_key key;
    if (job* entry = state_->remove_in_flight(id, key); entry != nullptr) {
        ++state_->counters.answers_lost;
        state_->on_store_failure(now);
        state_->on_answer_lost(now, *entry);
    }
}

void client::on_tick(time_point now)
{
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, message] : state_->messages_in_flight) {
        if (now >= message.expires_at) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        on_lost(now, id);
    }
    state_->expire_requests(now);
    state_->send_due(now);
}

std::vector<outgoing> client::take_messages()
{
    return std::exchange(state_->unsent_messages, {});
}

const client_counters& client::counters() const
{
    return state_->counters;
}

std::size_t client::pending() const
{
    return state_->jobs.size();
}

bool client::is_store_up() const
{
    return state_->store_up;
}

std::optional<time_point> client::last_answer() const
{
    return state_->last_answer;
}

} // namespace bulrushgw::store
