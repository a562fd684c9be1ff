#pragma once

/// Acceptance of a submitted rules file by a single transaction of the platform store.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/errors.h"
#include "rules/text.h"
#include "rules/types.h"
#include "store/types.h"

namespace bulrushgw::rules {

/// Key of the row that holds the record of the newest accepted version.
inline constexpr std::string_view head_row = "rules/head";
std::string history_row(std::uint64_t version);
std::string submission_row(std::string_view submission_id);
std::string object_name(std::string_view digest);

/// Record of an accepted version, stored in the rows `rules/head`, `rules/history/<version>` and
/// `rules/submissions/<submission id>`.
struct version_record {
    std::uint64_t version = 0;
    std::string digest;
    std::string object; ///< name of the object that holds the text
    std::string who;    ///< operator who submitted the version
    std::string submission_id;
    std::string when; ///< wall-clock time of the accepting node; informational only
    auto operator<=>(const version_record&) const = default;
};

std::string to_json(const version_record& record);
/// Throws `parse_error`.
version_record parse_record(const std::string& json);

struct submission {
    std::string id;                 ///< 1 to 64 of [A-Za-z0-9._-]
    std::uint64_t base_version = 0; ///< version that was edited; 0 for the first submission
    std::string who;                ///< operator who submits the text
    std::string when;               ///< wall-clock time; informational only, never compared
    std::string text;
};

enum class submission_status {
    accepted,     ///< `record` is the accepted version
    repeated,     ///< this submission was accepted earlier; `record` is the version it created
    invalid,      ///< `problems` lists the reasons; nothing was written to the store
    lost_race,    ///< another submission with the same base version was accepted first
    id_reused,    ///< the submission id was already used for a different text
    unavailable,  ///< certainly not accepted, as the store did not answer or holds an invalid row
    undetermined, ///< may have been accepted; retry with the same submission id
};

struct submission_result {
    submission_status status = submission_status::unavailable;
    std::optional<version_record> record;
    std::vector<rule_problem> problems;
    // The next four members are set only for `submission_status::lost_race`.
    std::optional<version_record> winner;    ///< version that directly follows the base version
    std::optional<version_record> head;      ///< the newest accepted version
    std::vector<changed_line> their_changes; ///< changes from the base version to `head`
    std::vector<changed_line> differing;     ///< changes from `head` to the submitted text
    std::string message;                     ///< human-readable explanation
};

/// State machine that processes one submission. It performs no I/O: the caller sends each store
/// request that a step returns and passes the reply to `on_reply`. Finishes after a bounded number
/// of requests. Not thread-safe.
class submission_process {
public:
    /// Maximum number of attempts for each request that the store does not answer. A submission
    /// also ends if it has sent at least this many commits and still finds no record of its result.
    static constexpr unsigned max_attempts = 4;

    explicit submission_process(submission input);

    using step = std::variant<store::request, submission_result>;
    step start();
    /// Precondition: the previous step returned a request, and `reply` is its reply.
    step on_reply(const store::reply& reply);

private:
    enum class phase {
        read_earlier_result,
        read_head,
        put_text,
        commit,
        read_back,
        read_winner,
        read_head_text,
        read_base,
        read_base_text
    };

    step enter_phase(phase next);
    [[nodiscard]] store::request request_for(phase wanted) const;
    step retry_or_finish();
    step on_earlier_result(const store::reply& reply);
    step on_head(const store::reply& reply);
    step on_commit(const store::reply& reply);
    step on_read_back(const store::reply& reply);
    step on_lost_race_reply(const store::reply& reply);
    step finish_from_record(const store::row& row);
    step finish(submission_status status, std::string message);
    step finish_lost_race();

    submission input_;
    std::string digest_;
    phase phase_ = phase::read_earlier_result;
    unsigned attempts_ = 0;
    unsigned commit_attempts_ = 0;
    bool may_have_committed_ = false;
    std::uint64_t head_row_version_ = 0;
    submission_result result_;
    std::string head_text_;
    std::string base_text_;
    std::string base_object_;
};

} // namespace bulrushgw::rules
