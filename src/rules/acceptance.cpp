#include "rules/acceptance.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "common/hash.h"
#include "rules/parser.h"

namespace bulrushgw::rules {

namespace {

constexpr std::size_t max_submission_id_bytes = 64;

bool is_submission_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_submission_id_bytes &&
           std::all_of(text.begin(), text.end(), [](char byte) {
               return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
                      (byte >= '0' && byte <= '9') || byte == '.' || byte == '_' || byte == '-';
           });
}

std::string describe(const version_record& record)
{
    return "version " + std::to_string(record.version) + " by " + record.who + " at " + record.when;
}

} // namespace

std::string history_row(std::uint64_t version)
{
    return "rules/history/" + std::to_string(version);
}

std::string submission_row(std::string_view submission_id)
{
    return "rules/submissions/" + std::string(submission_id);
}

std::string object_name(std::string_view digest)
{
    return "rules/" + std::string(digest);
}

std::string to_json(const version_record& record)
{
    return nlohmann::json{{"version", record.version},
                          {"hash", record.digest},
                          {"object", record.object},
                          {"who", record.who},
                          {"submission", record.submission_id},
                          {"when", record.when}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

version_record parse_record(const std::string& json)
{
    try {
        const auto value = nlohmann::json::parse(json);
        return {value.at("version").get<std::uint64_t>(),  value.at("hash").get<std::string>(),
                value.at("object").get<std::string>(),     value.at("who").get<std::string>(),
                value.at("submission").get<std::string>(), value.at("when").get<std::string>()};
    }
    catch (const nlohmann::json::exception& failure) {
        throw parse_error(std::string("rules record: ") + failure.what());
    }
}

submission_process::submission_process(submission input)
    : input_(std::move(input)), digest_(content_digest(input_.text))
{
}

submission_process::step submission_process::start()
{
    auto file = parse_and_check(input_.text);
    result_.problems = std::move(file.problems);
    if (!is_submission_id(input_.id)) {
        result_.problems.push_back({0, 0, "the submission id \"" + input_.id + "\"",
                                    "1 to 64 letters, digits, \".\", \"_\" and \"-\""});
    }
    if (input_.who.empty()) {
        result_.problems.push_back({0, 0, "no operator", "the name of who submits the rules"});
    }
    if (!result_.problems.empty()) {
        return finish(submission_status::invalid,
                      std::to_string(result_.problems.size()) + " problems; nothing was changed");
    }
    return enter_phase(phase::read_earlier_result);
}

submission_process::step submission_process::enter_phase(phase next)
{
    if (next != phase_) {
        attempts_ = 0;
    }
    phase_ = next;
    ++attempts_;
    return request_for(next);
}

store::request submission_process::request_for(phase wanted) const
{
    switch (wanted) {
    case phase::read_earlier_result:
    case phase::read_back:
        return store::read_row{submission_row(input_.id)};
    case phase::read_head:
        return store::read_row{std::string(head_row)};
    case phase::put_text:
        return store::put_object{object_name(digest_), input_.text};
    case phase::read_winner:
        return store::read_row{history_row(input_.base_version + 1)};
    case phase::read_head_text:
        return store::get_object{result_.head->object};
    case phase::read_base:
        return store::read_row{history_row(input_.base_version)};
    case phase::read_base_text:
        return store::get_object{base_object_};
    case phase::commit:
        break;
    }
    const std::uint64_t version = input_.base_version + 1;
    const auto value =
        to_json({version, digest_, object_name(digest_), input_.who, input_.id, input_.when});
    store::transact commit;
    commit.conditions = {{std::string(head_row), head_row_version_},
                         {history_row(version), 0},
                         {submission_row(input_.id), 0}};
    commit.writes = {{std::string(head_row), value},
                     {history_row(version), value},
                     {submission_row(input_.id), value}};
    return commit;
}

submission_process::step submission_process::finish(submission_status status, std::string message)
{
    result_.status = status;
    result_.message = std::move(message);
    return result_;
}

/// Sends the request of the current phase again because the store did not answer it. Finishes the
/// submission if the request was already sent `max_attempts` times.
submission_process::step submission_process::retry_or_finish()
{
    if (attempts_ < max_attempts) {
        return enter_phase(phase_);
    }
    if (may_have_committed_) {
        return finish(submission_status::undetermined,
                      "the store did not tell whether the rules were accepted; submit again with "
                      "the same submission id " +
                          input_.id);
    }
    return finish(submission_status::unavailable,
                  "the store could not be reached; nothing was changed");
}

submission_process::step submission_process::on_reply(const store::reply& reply)
{
    const bool unanswered =
        reply.result == store::status::unavailable || reply.result == store::status::unknown;
    try {
        switch (phase_) {
        case phase::read_earlier_result:
            return unanswered ? retry_or_finish() : on_earlier_result(reply);
        case phase::read_head:
            return unanswered ? retry_or_finish() : on_head(reply);
        case phase::put_text:
            // Repeating the put has no effect, because the object is named by the digest of its
            // content.
            return unanswered ? retry_or_finish() : enter_phase(phase::commit);
        case phase::commit:
            return on_commit(reply);
        case phase::read_back:
            return unanswered ? retry_or_finish() : on_read_back(reply);
        default:
            return on_lost_race_reply(reply);
        }
    }
    catch (const parse_error& failure) {
        return finish(may_have_committed_ ? submission_status::undetermined
                                          : submission_status::unavailable,
                      std::string("the store holds a row that cannot be read: ") + failure.what());
    }
}

/// Finishes with the result recorded for this submission id in the row `rules/submissions/<id>`.
submission_process::step submission_process::finish_from_record(const store::row& row)
{
    result_.record = parse_record(row.value);
    if (result_.record->digest != digest_) {
        return finish(submission_status::id_reused, "the submission id " + input_.id +
                                                        " belongs to another text, " +
                                                        describe(*result_.record));
    }
    if (commit_attempts_ > 0) {
        return finish(submission_status::accepted, "accepted as " + describe(*result_.record));
    }
    return finish(submission_status::repeated,
                  "was accepted before as " + describe(*result_.record));
}

submission_process::step submission_process::on_earlier_result(const store::reply& reply)
{
    if (!reply.rows.empty()) {
        return finish_from_record(reply.rows.front());
    }
    return enter_phase(phase::read_head);
}

submission_process::step submission_process::on_head(const store::reply& reply)
{
    version_record head;
    head_row_version_ = 0;
    if (!reply.rows.empty()) {
        head = parse_record(reply.rows.front().value);
        head_row_version_ = reply.rows.front().version;
    }
    if (head.version == input_.base_version) {
        return enter_phase(commit_attempts_ == 0 ? phase::put_text : phase::commit);
    }
    if (head.version < input_.base_version) {
        result_.problems.push_back(
            {0, 0, "base version " + std::to_string(input_.base_version),
             "at most " + std::to_string(head.version) + ", the version in force"});
        return finish(submission_status::invalid, "the base version does not exist");
    }
    result_.head = head;
    return enter_phase(phase::read_winner);
}

submission_process::step submission_process::on_commit(const store::reply& reply)
{
    ++commit_attempts_;
    switch (reply.result) {
    case store::status::ok:
        result_.record = version_record{input_.base_version + 1,
                                        digest_,
                                        object_name(digest_),
                                        input_.who,
                                        input_.id,
                                        input_.when};
        return finish(submission_status::accepted, "accepted as " + describe(*result_.record));
    case store::status::unavailable:
        return retry_or_finish();
    case store::status::unknown:
        may_have_committed_ = true;
        break;
    default:
        // The conflict may be caused by an earlier commit of this submission whose answer was lost.
        break;
    }
    return enter_phase(phase::read_back);
}

submission_process::step submission_process::on_read_back(const store::reply& reply)
{
    if (!reply.rows.empty()) {
        return finish_from_record(reply.rows.front());
    }
    if (commit_attempts_ >= max_attempts) {
        attempts_ = max_attempts;
        return retry_or_finish();
    }
    return enter_phase(phase::read_head);
}

/// Handles a reply to one of the reads for the result of a lost race. If the store does not return
/// a version or a text, the result is sent without it. If the record of the winner is missing, the
/// head takes its place.
submission_process::step submission_process::on_lost_race_reply(const store::reply& reply)
{
    const bool found = reply.result == store::status::ok;
    switch (phase_) {
    case phase::read_winner:
        result_.winner =
            found && !reply.rows.empty() ? parse_record(reply.rows.front().value) : *result_.head;
        return enter_phase(phase::read_head_text);
    case phase::read_head_text:
        if (!found || content_digest(reply.bytes) != result_.head->digest) {
            return finish_lost_race();
        }
        head_text_ = reply.bytes;
        result_.differing = diff_lines(head_text_, input_.text);
        if (input_.base_version > 0) {
            return enter_phase(phase::read_base);
        }
        result_.their_changes = diff_lines("", head_text_);
        return finish_lost_race();
    case phase::read_base:
        if (!found || reply.rows.empty()) {
            return finish_lost_race();
        }
        base_object_ = parse_record(reply.rows.front().value).object;
        return enter_phase(phase::read_base_text);
    default:
        if (found) {
            result_.their_changes = diff_lines(reply.bytes, head_text_);
        }
        return finish_lost_race();
    }
}

submission_process::step submission_process::finish_lost_race()
{
    std::string message = "the edited version " + std::to_string(input_.base_version) +
                          " was replaced by " + describe(*result_.winner);
    if (result_.head->version != result_.winner->version) {
        message += "; in force is " + describe(*result_.head);
    }
    return finish(submission_status::lost_race, message);
}

} // namespace bulrushgw::rules
