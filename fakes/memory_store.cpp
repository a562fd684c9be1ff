#include "fakes/memory_store.h"

namespace bulrushgw::fakes {

store::reply memory_store::run(const store::transact& transaction)
{
    store::reply reply;
    for (const store::condition& condition : transaction.conditions) {
        const store::row* row = find(condition.key);
        if ((row == nullptr ? 0 : row->version) != condition.version) {
            ++counters_.conflicts;
            reply.result = store::status::conflict;
            return reply;
        }
    }
    reply.result = store::status::ok;
    for (const store::write& write : transaction.writes) {
        const std::uint64_t version = ++last_versions_[write.key];
        store::row row{write.key, version, write.value};
        reply.written.push_back({write.key, write.erase ? 0 : version, {}});
        if (write.erase) {
            rows_.erase(write.key);
        }
        else {
            rows_[write.key] = row;
        }
        if (hook_) {
            hook_(row, write.erase);
        }
    }
    return reply;
}

store::reply memory_store::apply(const store::request& request)
{
    ++(store::is_write(request) ? counters_.writes : counters_.reads);
    store::reply reply;
    reply.result = store::status::ok;
    if (const auto* transaction = std::get_if<store::transact>(&request)) {
        return run(*transaction);
    }
    if (const auto* read = std::get_if<store::read_row>(&request)) {
        const store::row* row = find(read->key);
        if (row == nullptr) {
            reply.result = store::status::not_found;
        }
        else {
            reply.rows.push_back(*row);
        }
    }
    else if (const auto* prefix = std::get_if<store::read_prefix>(&request)) {
        for (auto it = rows_.lower_bound(prefix->prefix);
             it != rows_.end() && it->first.starts_with(prefix->prefix); ++it) {
            reply.rows.push_back(it->second);
        }
    }
    else if (const auto* put = std::get_if<store::put_object>(&request)) {
        objects_[put->name] = put->bytes;
    }
    else if (const auto* get = std::get_if<store::get_object>(&request)) {
        const auto found = objects_.find(get->name);
        if (found == objects_.end()) {
            reply.result = store::status::not_found;
        }
        else {
            reply.bytes = found->second;
        }
    }
    return reply;
}

const store::row* memory_store::find(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second;
}

} // namespace bulrushgw::fakes
