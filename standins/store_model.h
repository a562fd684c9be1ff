#pragma once

/// In-memory model of the store that `bulrushgw node` uses (docs/store-api.md), without sockets
/// or clock.

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "net/http.h"

namespace bulrushgw::standin {

/// Faults that a test switches on with `POST /control`. They do not affect `/control` itself.
struct store_faults {
    bool outage = false;       ///< answer every request with 503, without effect
    bool silent = false;       ///< answer no request, without effect
    bool lose_answers = false; ///< apply writes, then close the connection without an answer
    milliseconds delay{0};     ///< wait before applying and answering a request
};

struct store_counters {
    std::uint64_t reads = 0;
    /// Transactions and PUTs of objects, including transactions with a failed condition, but
    /// not malformed requests.
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0; ///< requests during `outage` or `silent`
    std::uint64_t lost_answers = 0;
    std::uint64_t malformed = 0;
};

/// What the server does with a request: send the response, close the connection without a
/// response, or keep the connection open without a response.
enum class store_action { answer, drop, leave_unanswered };

struct store_outcome {
    store_action action = store_action::answer;
    net::http_response response; ///< valid with `store_action::answer`
};

/// Not thread-safe.
class store_model {
public:
    /// Executes one request of the store protocol or of `/control`.
    store_outcome handle(const net::http_request& request);
    /// The delay that applies to a request; zero for `/control`.
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
    std::uint64_t last_version_ = 0; ///< one counter for all keys, so that no version is reused
    std::map<std::string, stored_row> rows_;
    std::map<std::string, std::string> objects_;
};

} // namespace bulrushgw::standin
