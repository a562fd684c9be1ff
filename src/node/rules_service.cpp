#include "node/rules_service.h"

#include <algorithm>
#include <utility>

#include "common/errors.h"

namespace bulrushgw::node {

namespace {

// Maximum number of reads of the head row per second by all nodes together. This is a fifteenth of
// the store's read budget. Above 500 nodes, each node polls less often to stay within the limit.
constexpr std::size_t max_polls_per_second = 100;
constexpr milliseconds min_poll_interval{5000};
// Poll interval while the store does not answer or no rules are in force.
constexpr milliseconds poll_retry_interval{500};
constexpr milliseconds fetch_interval{200};
// Number of requests to peers after which a missing text is read from the store. A peer may not
// know the newest version yet, or may not have its text.
constexpr unsigned peer_fetches_before_store = 2;

} // namespace

rules_service::rules_service(hooks hooks)
    : hooks_(std::move(hooks)), versions_(hooks_.now()), next_poll_(hooks_.now()),
      next_fetch_(hooks_.now())
{
}

std::shared_ptr<const rules::rules_in_force> rules_service::current() const
{
    return versions_.current();
}

bool rules_service::possibly_stale() const
{
    return versions_.possibly_stale(hooks_.now());
}

milliseconds rules_service::poll_interval() const
{
    const std::size_t seconds = hooks_.node_count() / max_polls_per_second;
    return std::max(min_poll_interval, milliseconds{std::chrono::seconds{seconds}});
}

void rules_service::on_tick()
{
    const time_point now = hooks_.now();
    if (now >= next_poll_ && !polling_) {
        poll_head();
    }
    if (versions_.is_behind() && now >= next_fetch_) {
        fetch_missing();
    }
}

void rules_service::poll_head()
{
    polling_ = true;
    hooks_.call_store(store::read_row{std::string(rules::head_row)}, store::priority::normal,
                      [this](const store::reply& reply) { on_head(reply); });
}

void rules_service::on_head(const store::reply& reply)
{
    polling_ = false;
    const bool answered =
        reply.result == store::status::ok || reply.result == store::status::not_found;
    const bool no_rules_yet = versions_.current() == nullptr;
    next_poll_ = hooks_.now() +
                 (answered && !no_rules_yet ? poll_interval() : milliseconds{poll_retry_interval});
    if (answered) {
        versions_.mark_fresh(hooks_.now());
    }
    if (reply.result != store::status::ok || reply.rows.empty()) {
        return;
    }
    try {
        const auto record = rules::parse_record(reply.rows.front().value);
        on_stamp({record.version, record.digest});
    }
    catch (const parse_error& failure) {
        hooks_.on_refused(std::string("rules/head: invalid row: ") + failure.what());
    }
}

void rules_service::on_stamp(const ownership::rules_stamp& stamp)
{
    if (stamp.version == 0 || stamp.version <= versions_.newest_known()) {
        return;
    }
    versions_.on_announced(stamp.version, stamp.digest);
    hooks_.announce(stamp);
    peer_fetches_ = 0;
    fetch_missing();
}

void rules_service::fetch_missing()
{
    next_fetch_ = hooks_.now() + fetch_interval;
    const bool ask_store = peer_fetches_ >= peer_fetches_before_store;
    if (!ask_store && hooks_.send_to_any_peer(wire::rules_pull{versions_.newest_known()})) {
        ++peer_fetches_;
        return;
    }
    peer_fetches_ = 0;
    fetch_from_store();
}

void rules_service::fetch_from_store()
{
    if (fetching_from_store_) {
        return;
    }
    fetching_from_store_ = true;
    const std::uint64_t wanted = versions_.newest_known();
    hooks_.call_store(
        store::read_row{rules::history_row(wanted)}, store::priority::normal,
        [this, wanted](const store::reply& row) {
            if (row.result != store::status::ok || row.rows.empty()) {
                fetching_from_store_ = false;
                return;
            }
            rules::version_record record;
            try {
                record = rules::parse_record(row.rows.front().value);
            }
            catch (const parse_error& failure) {
                fetching_from_store_ = false;
                hooks_.on_refused(rules::history_row(wanted) + ": invalid row: " + failure.what());
                return;
            }
            hooks_.call_store(store::get_object{record.object}, store::priority::normal,
                              [this, record](const store::reply& object) {
                                  fetching_from_store_ = false;
                                  if (object.result == store::status::ok) {
                                      apply(record.version, record.digest, object.bytes,
                                            rules::to_json(record));
                                  }
                              });
        });
}

void rules_service::on_text(const wire::rules_text& text)
{
    apply(text.version, text.digest, text.text, text.record);
}

std::optional<wire::rules_text> rules_service::text_for(const wire::rules_pull& pull) const
{
    const auto known = versions_.current();
    if (known == nullptr || known->version < pull.version) {
        return std::nullopt;
    }
    return wire::rules_text{known->version, known->digest, known->text, current_record_};
}

void rules_service::mark_fresh()
{
    versions_.mark_fresh(hooks_.now());
}

void rules_service::apply(std::uint64_t version, const std::string& digest, const std::string& text,
                          const std::string& record)
{
    const auto outcome = versions_.apply(version, digest, text);
    switch (outcome) {
    case rules::apply_result::applied:
        current_record_ = record;
        routes_ = std::make_unique<request::route_table>(versions_.current()->rules);
        hooks_.announce({version, digest});
        hooks_.on_applied();
        return;
    case rules::apply_result::already_applied:
    case rules::apply_result::lower_version:
        return;
    case rules::apply_result::wrong_digest:
        hooks_.on_refused("text of rules version " + std::to_string(version) +
                          " does not match its digest");
        return;
    case rules::apply_result::conflicting:
        hooks_.on_refused("rules version " + std::to_string(version) +
                          " is already known with a different digest");
        return;
    case rules::apply_result::unreadable:
        hooks_.on_refused("rules version " + std::to_string(version) +
                          " contains rules that this build " + "cannot parse");
        return;
    }
}

void rules_service::submit(rules::submission input, submit_completion on_result)
{
    std::string text = input.text;
    auto process = std::make_shared<rules::submission_process>(std::move(input));
    advance(process, text, process->start(), std::move(on_result));
}

void rules_service::advance(const std::shared_ptr<rules::submission_process>& process,
                            const std::string& text, rules::submission_process::step step,
                            submit_completion on_result)
{
    if (const auto* result = std::get_if<rules::submission_result>(&step)) {
        const bool accepted = result->status == rules::submission_status::accepted ||
                              result->status == rules::submission_status::repeated;
        if (accepted && result->record) {
            versions_.mark_fresh(hooks_.now());
            versions_.on_announced(result->record->version, result->record->digest);
            apply(result->record->version, result->record->digest, text,
                  rules::to_json(*result->record));
        }
        on_result(*result);
        return;
    }
    hooks_.call_store(
        std::get<store::request>(step), store::priority::interactive,
        [this, process, text, on_result = std::move(on_result)](const store::reply& reply) {
            advance(process, text, process->on_reply(reply), on_result);
        });
}

} // namespace bulrushgw::node
