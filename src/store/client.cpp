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

/// The caller's HTTP client reports a timeout itself; the client does so only
/// when that report is overdue.
constexpr milliseconds timeout_grace{500};

/// Parts of the queue, in quarters, that each priority may fill. Background work
/// must not refuse a member's renewal of its row.
constexpr std::array<std::size_t, 4> queue_quarters{4, 4, 3, 2};

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
    request work;
    std::vector<client::callback> callbacks;
    time_point give_up;
    std::string writer;        ///< token of a transaction
    std::uint64_t message = 0; ///< in flight; 0: waits
    bool maybe_ran = false;    ///< an answer to the write was lost
    bool reading_back = false;
    bool sent_before = false;
    std::vector<std::string> keys; ///< to read back
    std::vector<stored_row> seen;  ///< read back so far, version 0: no row
};

struct flight {
    job_key owner;
    time_point timeout;
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
    for (const condition& wanted : transaction.conditions) {
        keys.insert(wanted.key);
    }
    return {keys.begin(), keys.end()};
}

enum class read_back_result { took_effect, did_not_run, undecided };

/// Decides from the rows that were read back whether a transaction ran.
read_back_result judge(const transact& transaction, const std::string& writer,
                       const std::vector<stored_row>& seen)
{
    const auto find = [&](const std::string& key) {
        return std::ranges::find_if(seen,
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
        std::ranges::all_of(transaction.conditions, [&](const condition& wanted) {
            return find(wanted.key)->content.version == wanted.version;
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

    submission submit(time_point now, request work, priority order, callback on_reply);
    void pump(time_point now);
    bool take_token(time_point now, priority order, bool write);
    void send(time_point now, job_key key, job& work);
    void read_back(job& work);
    void on_answer(time_point now, std::uint64_t id, int status, const std::string& body);
    void on_read_back(time_point now, job_key key, job& work, int status, const std::string& body);
    void on_final(time_point now, job_key key, job& work, int status, const std::string& body);
    void note_failure(time_point now);
    void note_loss(time_point now, job& work);
    void complete(job_key key, const reply& result);
    void give_up(time_point now);
    [[nodiscard]] time_point patience_end(time_point now, std::size_t read_slots) const;
    job* land(std::uint64_t id, job_key& key);

    client_settings settings;
    std::mt19937_64 random;
    rate_limit reads;
    rate_limit writes;
    std::string writer_prefix;
    std::uint64_t next_job = 1;
    std::uint64_t next_message = 1;
    std::map<job_key, job> jobs;
    std::map<std::uint64_t, flight> flights;
    std::vector<outgoing> sends;
    unsigned failures = 0; ///< in a row
    time_point retry_at;
    bool answered = false;
    std::optional<time_point> last_answer;
    client_counters counters;
};

submission client::state::submit(time_point now, request work, priority order, callback on_reply)
{
    if (!is_write(work)) {
        for (auto place = jobs.begin(); place != jobs.end(); ++place) {
            if (place->second.message != 0 || !is_same_read(place->second.work, work)) {
                continue;
            }
            ++counters.coalesced;
            auto node = jobs.extract(place);
            node.key().first = std::min(node.key().first, order);
            node.mapped().callbacks.push_back(std::move(on_reply));
            node.mapped().give_up = patience_end(now, 1);
            jobs.insert(std::move(node));
            pump(now);
            return submission::accepted;
        }
    }
    const std::size_t room =
        settings.queue * queue_quarters.at(static_cast<std::size_t>(order)) / queue_quarters[0];
    if (jobs.size() >= room) {
        ++counters.refused;
        return submission::queue_full;
    }
    job added;
    added.writer = writer_prefix + "-" + std::to_string(next_job);
    added.work = std::move(work);
    added.callbacks.push_back(std::move(on_reply));
    added.give_up = patience_end(now, 1);
    jobs.emplace(job_key{order, next_job++}, std::move(added));
    pump(now);
    return submission::accepted;
}

bool client::state::take_token(time_point now, priority order, bool write)
{
    rate_limit& limit = write ? writes : reads;
    return limit.take(now) || (order == priority::interactive && limit.take_reserve(now));
}

void client::state::pump(time_point now)
{
    // While the store fails, one message at a time probes it.
    const std::size_t most = failures > 0 ? 1 : settings.concurrent;
    if (failures > 0 && now < retry_at) {
        return;
    }
    std::array<bool, 2> spent{}; // reads, writes
    for (auto& [key, work] : jobs) {
        if (flights.size() >= most) {
            return;
        }
        if (work.message != 0) {
            continue;
        }
        const bool write = is_write(work.work) && !work.reading_back;
        if (spent.at(write ? 1 : 0)) {
            continue;
        }
        if (take_token(now, key.first, write)) {
            send(now, key, work);
        }
        else if (key.first != priority::interactive) {
            spent.at(write ? 1 : 0) = true;
        }
    }
}

void client::state::send(time_point now, job_key key, job& work)
{
    outgoing message;
    message.id = next_message++;
    message.timeout = settings.answer_timeout;
    if (work.reading_back) {
        message.message = row_query(work.keys.at(work.seen.size()));
        ++counters.read_backs;
    }
    else {
        message.message = to_http(work.work, work.writer);
        counters.repeats += work.sent_before ? 1 : 0;
        work.sent_before = true;
    }
    ++(is_write(work.work) && !work.reading_back ? counters.writes_sent : counters.reads_sent);
    work.message = message.id;
    flights.emplace(message.id, flight{key, now + settings.answer_timeout + timeout_grace});
    sends.push_back(std::move(message));
}

/// Takes a message out of flight. Returns null for a message given up before.
job* client::state::land(std::uint64_t id, job_key& key)
{
    const auto place = flights.find(id);
    if (place == flights.end()) {
        ++counters.late_answers;
        return nullptr;
    }
    key = place->second.owner;
    flights.erase(place);
    const auto owner = jobs.find(key);
    if (owner == jobs.end()) {
        ++counters.late_answers;
        return nullptr;
    }
    owner->second.message = 0;
    return &owner->second;
}

void client::state::note_failure(time_point now)
{
    answered = false;
    const milliseconds ceiling = backoff_ceiling(failures, settings.nodes);
    ++failures;
    std::uniform_int_distribution<milliseconds::rep> jitter(0, ceiling.count());
    retry_at = now + milliseconds{jitter(random)};
}

void client::state::read_back(job& work)
{
    work.reading_back = true;
    work.seen.clear();
    work.keys = keys_of(std::get<transact>(work.work));
}

/// A slot may just have passed, so that a request waits a whole period for one.
time_point client::state::patience_end(time_point now, std::size_t read_slots) const
{
    return now + settings.patience + writes.period() +
           reads.period() * static_cast<std::int64_t>(read_slots);
}

void client::state::note_loss(time_point now, job& work)
{
    // Objects are named by their content, so that a repeated put changes nothing.
    if (std::holds_alternative<transact>(work.work) && !work.reading_back) {
        read_back(work);
        if (!work.maybe_ran) {
            work.give_up = patience_end(now, work.keys.size());
        }
        work.maybe_ran = true;
    }
}

void client::state::complete(job_key key, const reply& result)
{
    const auto place = jobs.find(key);
    const auto callbacks = std::move(place->second.callbacks);
    jobs.erase(place);
    for (const callback& on_reply : callbacks) {
        if (on_reply) {
            on_reply(result);
        }
    }
}

void client::state::on_answer(time_point now, std::uint64_t id, int status, const std::string& body)
{
    job_key key;
    job* work = land(id, key);
    if (work == nullptr) {
        return;
    }
    if (status >= http_first_server_error || status == http_too_many) {
        ++counters.server_errors;
        note_failure(now);
        // 503 and 429 refuse a request before it runs; another 5xx may follow a
        // write that took effect.
        if (status != http_unavailable && status != http_too_many) {
            note_loss(now, *work);
        }
        return;
    }
    try {
        if (work->reading_back) {
            on_read_back(now, key, *work, status, body);
        }
        else {
            on_final(now, key, *work, status, body);
        }
    }
    catch (const protocol_error&) {
        ++counters.malformed;
        note_failure(now);
        note_loss(now, *work);
    }
}

void client::state::on_read_back(time_point now, job_key key, job& work, int status,
                                 const std::string& body)
{
    if (status != http_ok && status != http_not_found) {
        throw protocol_error("status " + std::to_string(status) + " for a row");
    }
    stored_row row;
    if (status == http_ok) {
        row = parse_row(body);
    }
    row.content.key = work.keys.at(work.seen.size());
    work.seen.push_back(std::move(row));
    failures = 0;
    answered = true;
    last_answer = now;
    if (work.seen.size() < work.keys.size()) {
        return;
    }
    work.reading_back = false;
    reply result;
    switch (judge(std::get<transact>(work.work), work.writer, work.seen)) {
    case read_back_result::did_not_run:
        return; // sent again by the next pump
    case read_back_result::took_effect:
        result.result = status::ok;
        for (const stored_row& seen : work.seen) {
            if (seen.writer == work.writer) {
                result.written.push_back({seen.content.key, seen.content.version, {}});
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

void client::state::on_final(time_point now, job_key key, job& work, int status,
                             const std::string& body)
{
    reply result;
    if (status == http_conflict && std::holds_alternative<transact>(work.work)) {
        if (work.maybe_ran) {
            // The first copy may have taken effect and caused this conflict.
            read_back(work);
            return;
        }
        ++counters.conflicts;
        result.result = status::conflict;
    }
    else if (status == http_not_found && !is_write(work.work)) {
        result.result = status::not_found;
    }
    else if (status == http_ok || status == http_no_content ||
             (status == 201 && std::holds_alternative<put_object>(work.work))) {
        result.result = status::ok;
        if (std::holds_alternative<transact>(work.work)) {
            result.written = parse_versions(body);
        }
        else if (std::holds_alternative<read_row>(work.work)) {
            result.rows.push_back(parse_row(body).content);
        }
        else if (std::holds_alternative<read_prefix>(work.work)) {
            result.rows = parse_rows(body);
        }
        else if (std::holds_alternative<get_object>(work.work)) {
            result.bytes = body;
        }
    }
    else {
        // Another 4xx refuses the request itself; a repeat would fail again.
        ++counters.malformed;
        result.result = work.maybe_ran ? status::unknown : status::unavailable;
    }
    failures = 0;
    answered = true;
    last_answer = now;
    complete(key, result);
}

void client::state::give_up(time_point now)
{
    std::vector<job_key> over;
    for (const auto& [key, work] : jobs) {
        if (now >= work.give_up) {
            over.push_back(key);
        }
    }
    for (const job_key& key : over) {
        const auto place = jobs.find(key);
        if (place == jobs.end()) {
            continue;
        }
        const job& work = place->second;
        const bool in_doubt = is_write(work.work) && (work.maybe_ran || work.message != 0);
        ++counters.gave_up;
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

submission client::submit(time_point now, request work, priority order, callback on_reply)
{
    return state_->submit(now, std::move(work), order, std::move(on_reply));
}

void client::on_answer(time_point now, std::uint64_t id, int http_status, const std::string& body)
{
    state_->on_answer(now, id, http_status, body);
    state_->pump(now);
}

void client::on_not_sent(time_point now, std::uint64_t id)
{
    job_key key;
    if (state_->land(id, key) != nullptr) {
        ++state_->counters.not_sent;
        state_->note_failure(now);
    }
}

void client::on_lost(time_point now, std::uint64_t id)
{
    job_key key;
    if (job* work = state_->land(id, key); work != nullptr) {
        ++state_->counters.answers_lost;
        state_->note_failure(now);
        state_->note_loss(now, *work);
    }
}

void client::on_tick(time_point now)
{
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, flight] : state_->flights) {
        if (now >= flight.timeout) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        on_lost(now, id);
    }
    state_->give_up(now);
    state_->pump(now);
}

std::vector<outgoing> client::take_sends()
{
    return std::exchange(state_->sends, {});
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
    return state_->answered;
}

std::optional<time_point> client::last_answer() const
{
    return state_->last_answer;
}

} // namespace bulrushgw::store
