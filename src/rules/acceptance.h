#pragma once

/// Acceptance of a submitted rules file as one transaction of the platform store.

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

inline constexpr std::string_view head_row = "rules/head";
std::string history_row(std::uint64_t version);
std::string submission_row(std::string_view submission_id);
std::string object_name(std::string_view digest);

/// One accepted version: the value of `rules/head`, `rules/history/<version>`
/// and `rules/submissions/<submission id>`.
struct version_record {
    std::uint64_t version = 0;
    std::string digest;
    std::string object;
    std::string who;
    std::string submission_id;
    std::string when; ///< wall-clock text of the accepting node, for people only
    auto operator<=>(const version_record&) const = default;
};

std::string to_json(const version_record& record);
/// Throws `parse_error`.
version_record parse_record(const std::string& json);

struct submission {
    std::string id;                 ///< 1 to 64 of [A-Za-z0-9._-]
    std::uint64_t base_version = 0; ///< the version that was edited; 0: none yet
    std::string who;
    std::string when; ///< for people only, never compared
    std::string text;
};

enum class submission_status {
    accepted,     ///< `record` is the accepted version
    repeated,     ///< this submission id was accepted before; `record` is that result
    invalid,      ///< `problems` says why; the store was not asked
    lost_race,    ///< another submission was accepted on the edited version
    id_reused,    ///< the id belongs to a submission of another text
    unavailable,  ///< certainly not accepted: the store could not be reached
    undetermined, ///< may have been accepted: repeat with the same submission id
};

struct submission_result {
    submission_status status = submission_status::unavailable;
    std::optional<version_record> record;
    std::vector<rule_problem> problems;
    // With lost_race:
    std::optional<version_record> winner;    ///< the first version after the edited one
    std::optional<version_record> head;      ///< the version in force
    std::vector<changed_line> their_changes; ///< edited version to the version in force
    std::vector<changed_line> differing;     ///< version in force to the submitted text
    std::string message;                     ///< for people
};

/// Carries one submission through the store. The caller sends each request and
/// passes its reply. Ends after a bounded number of requests. Not thread-safe.
class submission_process {
public:
    /// Attempts for each request that the store did not answer.
    static constexpr unsigned max_attempts = 4;

    explicit submission_process(submission input);

    using step = std::variant<store::request, submission_result>;
    step start();
    /// Precondition: the last step was a request, and this is its reply.
    step on_reply(const store::reply& reply);

private:
    enum class phase {
        find_earlier,
        read_head,
        put_text,
        commit,
        read_back,
        read_winner,
        read_head_text,
        read_base,
        read_base_text
    };

    step ask(phase next);
    [[nodiscard]] store::request request_for(phase wanted) const;
    step repeat_or_end();
    step on_earlier(const store::reply& reply);
    step on_head(const store::reply& reply);
    step on_commit(const store::reply& reply);
    step on_read_back(const store::reply& reply);
    step on_loser_reply(const store::reply& reply);
    step recognise(const store::row& row);
    step finish(submission_status status, std::string message);
    step finish_lost_race();

    submission input_;
    std::string digest_;
    phase phase_ = phase::find_earlier;
    unsigned attempts_ = 0;
    unsigned commits_ = 0;
    bool may_have_committed_ = false;
    std::uint64_t head_row_version_ = 0;
    submission_result result_;
    std::string head_text_;
    std::string base_text_;
    std::string base_object_;
};

} // namespace bulrushgw::rules
