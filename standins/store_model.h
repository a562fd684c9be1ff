#pragma once

/// The platform store of docs/store-api.md in memory, without sockets and time.

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "net/http.h"

namespace bulrushgw::standin {

/// Faults that a test switches on. See `POST /control`.
struct store_faults {
    bool outage = false;       ///< refuse everything with 503, without effect
    bool silent = false;       ///< answer nothing and have no effect
    bool lose_answers = false; ///< carry out writes, then close without an answer
    milliseconds delay{0};     ///< wait before the effect and the answer
};

struct store_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< transactions and objects put, with any result
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0; ///< by an outage or silence
    std::uint64_t lost_answers = 0;
    std::uint64_t malformed = 0;
};

/// What the server does with a request.
enum class store_action { answer, drop, keep_silent };

struct store_outcome {
    store_action action = store_action::answer;
    net::http_response response;
};

/// Not thread-safe.
class store_model {
public:
    /// Carries out one request of the store protocol or of `/control`.
    store_outcome handle(const net::http_request& request);
    /// The delay that applies to a request; none for `/control`.
    [[nodiscard]] milliseconds delay_of(const net::http_request& request) const;
    [[nodiscard]] const store_counters& counters() const { return counters_; }

private:
    struct stored_row {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    net::http_response control(const net::http_request& request);
    store_outcome serve(const net::http_request& request);
    net::http_response transact(const std::string& body);
    net::http_response read_rows(const std::string& prefix);
    net::http_response read_row(const std::string& key);
    net::http_response get_object(const std::string& name);
    net::http_response refuse_malformed(const std::string& what);

    store_faults faults_;
    store_counters counters_;
    std::uint64_t last_version_ = 0; ///< shared by all keys, so that none is reused
    std::map<std::string, stored_row> rows_;
    std::map<std::string, std::string> objects_;
};

} // namespace bulrushgw::standin
