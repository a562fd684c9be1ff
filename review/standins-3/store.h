#pragma once

/// The platform's metadata store. It can be away, and it can come back from an older copy of its
/// rows, as the users' pages describe it.

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "deployment.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::review {

/// Not thread-safe: runs on one loop.
class store {
public:
    store(net::loop& loop, const net::endpoint& address, const std::string& manifest, record& log);

    /// Keeps a copy of all rows and of the version counter.
    void take_copy();
    /// While true, every call is answered with 503 and has no effect.
    void set_away(bool away);
    /// Replaces all rows and the counter by the copy and raises the era. The operator writes its
    /// manifest again.
    void restore_copy();

private:
    struct row {
        std::string value; ///< base64, as sent
        std::uint64_t version = 0;
    };
    using row_key = std::pair<std::string, std::string>; ///< table and key
    struct content {
        std::map<row_key, row> rows;
        std::uint64_t version = 1;
    };
    /// A long poll for the rows of a table whose version is above `after`.
    struct watcher {
        net::http_exchange exchange;
        std::string table;
        std::uint64_t after = 0;
    };

    void handle(const net::http_exchange& exchange);
    void transact(const net::http_exchange& exchange);
    void read(const net::http_exchange& exchange);
    void watch(const net::http_exchange& exchange);
    void end_watch(std::uint64_t number);
    void answer_watchers();
    void put(const row_key& key, const std::string& value);
    void respond(const net::http_exchange& exchange, int status, std::string body) const;
    [[nodiscard]] std::string rows_after(const std::string& table, std::uint64_t after) const;

    net::loop& loop_;
    record& log_;
    std::string manifest_; ///< base64
    content content_;
    content copy_;
    std::uint64_t era_ = 1;
    bool away_ = false;
    std::map<std::uint64_t, watcher> watchers_;
    std::uint64_t next_watcher_ = 1;
    net::http_server server_;
};

} // namespace bulrushgw::review
