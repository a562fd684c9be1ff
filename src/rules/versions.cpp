#include "rules/versions.h"

#include <utility>

#include "common/hash.h"
#include "rules/parser.h"

namespace bulrushgw::rules {

bool version_tracker::on_announced(std::uint64_t version, const std::string& digest)
{
    if (version > newest_version_) {
        newest_version_ = version;
        newest_digest_ = digest;
        return true;
    }
    if (version == newest_version_ && version != 0 && digest != newest_digest_) {
        ++counters_.conflicting;
    }
    return version == newest_version_ && digest == newest_digest_ && is_behind();
}

apply_result version_tracker::apply(std::uint64_t version, const std::string& digest,
                                    const std::string& text)
{
    const std::uint64_t in_force = current_ ? current_->version : 0;
    if (version < in_force || version == 0) {
        ++counters_.lower;
        return apply_result::lower_version;
    }
    if (content_digest(text) != digest) {
        ++counters_.wrong_digest;
        return apply_result::wrong_digest;
    }
    const bool digest_conflicts = (version == in_force && digest != current_->digest) ||
                                  (version == newest_version_ && digest != newest_digest_);
    if (digest_conflicts) {
        ++counters_.conflicting;
        return apply_result::conflicting;
    }
    if (version == in_force) {
        return apply_result::already_applied;
    }
    auto file = parse_and_check(text);
    if (!file.problems.empty()) {
        ++counters_.unreadable;
        return apply_result::unreadable;
    }
    on_announced(version, digest);
    current_ = std::make_shared<const rules_in_force>(
        rules_in_force{version, digest, text, std::move(file.rules)});
    ++counters_.applied;
    return apply_result::applied;
}

bool version_tracker::is_behind() const
{
    return newest_version_ > (current_ ? current_->version : 0);
}

bool version_tracker::possibly_stale(time_point now) const
{
    return now - fresh_at_ >= stale_after;
}

} // namespace bulrushgw::rules
