#include "request/duplicate_table.h"

namespace bulrushgw::request {

namespace {

/// Bytes of one record without the contents of its strings: two list nodes, a map node and the
/// string objects.
constexpr std::size_t record_overhead_bytes = 400;

std::size_t bytes_of(const final_answer& answer)
{
    std::size_t sum = answer.body.size();
    for (const auto& [name, value] : answer.headers) {
        sum += name.size() + value.size() + 2 * sizeof(std::string);
    }
    return sum;
}

/// The key is stored in the map and in up to two lists.
std::size_t bytes_of(const request_key& key)
{
    return record_overhead_bytes + 3 * (key.request_id.size() + key.service.size());
}

} // namespace

duplicate_table::duplicate_table(duplicate_settings settings) : settings_(settings) {}

void duplicate_table::on_acquired(time_point now, const std::string& service, range_id range)
{
    ranges_[{service, range}].acquired = now;
}

bool duplicate_table::history_incomplete(time_point now, const request_key& key) const
{
    const auto found = ranges_.find({key.service, key.range});
    if (found == ranges_.end() || now - found->second.acquired < settings_.retention) {
        return true;
    }
    const auto& evicted = found->second.evicted;
    return evicted && now - *evicted < settings_.retention;
}

void duplicate_table::drop_answer(entry& record)
{
    const std::size_t freed = bytes_of(record.answer);
    record.answer.headers.clear();
    record.answer.headers.shrink_to_fit();
    record.answer.body.clear();
    record.answer.body.shrink_to_fit();
    record.answer_kept = false;
    record.bytes -= freed;
    bytes_ -= freed;
    kept_answers_.erase(record.answer_position);
}

void duplicate_table::erase(std::map<request_key, entry>::iterator found)
{
    auto& old = found->second;
    if (!old.running) {
        ended_.erase(old.position);
        if (old.answer_kept) {
            kept_answers_.erase(old.answer_position);
        }
    }
    bytes_ -= old.bytes;
    entries_.erase(found);
}

bool duplicate_table::make_room(time_point now, std::size_t needed)
{
    while (bytes_ + needed > settings_.max_bytes && !kept_answers_.empty()) {
        ++counters_.answers_dropped;
        drop_answer(entries_.find(kept_answers_.front())->second);
    }
    while (bytes_ + needed > settings_.max_bytes && !ended_.empty()) {
        const auto oldest = entries_.find(ended_.front());
        ++counters_.evicted;
        ranges_[{oldest->first.service, oldest->first.range}].evicted = now;
        erase(oldest);
    }
    return bytes_ + needed <= settings_.max_bytes;
}

duplicate_check duplicate_table::begin(time_point now, const request_key& key,
                                       std::uint32_t attempt, std::uint64_t fingerprint)
{
    auto found = entries_.find(key);
    if (found != entries_.end() && !found->second.running &&
        now - found->second.ended >= settings_.retention) {
        ++counters_.expired;
        erase(found);
        found = entries_.end();
    }
    if (found != entries_.end()) {
        const auto& known = found->second;
        if (known.fingerprint != fingerprint) {
            return {duplicate_verdict::id_reused, std::nullopt};
        }
        if (known.running) {
            ++counters_.in_progress;
            return {duplicate_verdict::in_progress, std::nullopt};
        }
        ++counters_.replayed;
        auto answer = known.answer;
        if (!known.answer_kept) {
            answer.why = reason::answer_not_kept;
            answer.status = info_of(reason::answer_not_kept).status;
        }
        else if (answer.why == reason::none) {
            answer.why = reason::replayed;
        }
        return {duplicate_verdict::replay, std::move(answer)};
    }
    if (attempt > 1 && history_incomplete(now, key)) {
        ++counters_.history_lost;
        return {duplicate_verdict::history_lost, std::nullopt};
    }
    const std::size_t needed = bytes_of(key);
    if (!make_room(now, needed)) {
        return {duplicate_verdict::full, std::nullopt};
    }
    entry added;
    added.fingerprint = fingerprint;
    added.bytes = needed;
    bytes_ += needed;
    entries_.emplace(key, std::move(added));
    ++counters_.recorded;
    return {};
}

void duplicate_table::complete(time_point now, const request_key& key, final_answer answer)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.running) {
        return;
    }
    if (info_of(answer.why).result == outcome::not_run) {
        erase(found);
        return;
    }
    auto& record = found->second;
    const std::size_t size = bytes_of(answer);
    // Memory is freed before this record is added to the lists, so that `make_room` cannot remove
    // this record.
    record.answer_kept = size <= settings_.max_answer_bytes && make_room(now, size);
    record.answer = std::move(answer);
    record.running = false;
    record.ended = now;
    record.position = ended_.insert(ended_.end(), key);
    if (record.answer_kept) {
        record.answer_position = kept_answers_.insert(kept_answers_.end(), key);
        record.bytes += size;
        bytes_ += size;
    }
    else {
        record.answer.headers.clear();
        record.answer.body.clear();
        record.answer.body.shrink_to_fit();
    }
}

void duplicate_table::on_tick(time_point now)
{
    while (!ended_.empty()) {
        const auto oldest = entries_.find(ended_.front());
        if (now - oldest->second.ended < settings_.retention) {
            return;
        }
        ++counters_.expired;
        erase(oldest);
    }
}

} // namespace bulrushgw::request
