#include "ownership/certificates.h"

#include <algorithm>

namespace bulrushgw::ownership {

std::optional<certificate> certificate_of(const seal& first, const seal& second)
{
    if (first.holder != second.holder || first.set_version != second.set_version) {
        return std::nullopt;
    }
    const auto is_holder_seal = [](const seal& item) { return item.witness == item.holder; };
    const placement_version adopted = std::max(first.adopted, second.adopted);
    const bool with_holder = (first.with_holder && !is_holder_seal(first)) ||
                             (second.with_holder && !is_holder_seal(second));
    if (with_holder) {
        return certificate{first.holder, adopted, "holder"};
    }
    if (first.witness == second.witness || is_holder_seal(first) || is_holder_seal(second)) {
        return std::nullopt;
    }
    return certificate{first.holder, adopted, "witnesses"};
}

bool seal_table::add(const seal& item)
{
    std::vector<seal>& known = seals_[item.holder];
    if (std::find(known.begin(), known.end(), item) != known.end()) {
        return false;
    }
    known.push_back(item);
    std::sort(known.begin(), known.end(), [](const seal& left, const seal& right) {
        return left.set_version != right.set_version ? left.set_version > right.set_version
                                                     : left < right;
    });
    if (known.size() > seals_per_holder) {
        known.pop_back();
    }
    return std::find(known.begin(), known.end(), item) != known.end();
}

std::optional<certificate> seal_table::prove(incarnation_id holder) const
{
    const std::vector<seal>* known = of(holder);
    if (known == nullptr) {
        return std::nullopt;
    }
    for (const seal& first : *known) {
        for (const seal& second : *known) {
            if (auto proof = certificate_of(first, second)) {
                return proof;
            }
        }
    }
    return std::nullopt;
}

void seal_table::remove(incarnation_id holder)
{
    seals_.erase(holder);
}

std::vector<seal> seal_table::all() const
{
    std::vector<seal> result;
    for (const auto& [holder, known] : seals_) {
        result.insert(result.end(), known.begin(), known.end());
    }
    return result;
}

const std::vector<seal>* seal_table::of(incarnation_id holder) const
{
    const auto found = seals_.find(holder);
    return found == seals_.end() ? nullptr : &found->second;
}

} // namespace bulrushgw::ownership
