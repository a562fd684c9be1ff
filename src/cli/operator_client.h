#pragma once

/// Blocking client of a node's operator interface.

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "net/http.h"

namespace bulrushgw::cli {

using nlohmann::ordered_json;

/// The node sent no usable answer, or the outcome of a submission is unknown. `may_have_run`: the
/// node may have executed the request.
struct unreachable_error : error {
    unreachable_error(const std::string& message, bool request_may_have_run)
        : error(message), may_have_run(request_may_have_run)
    {
    }
    bool may_have_run;
};

/// Answer of the operator interface.
struct operator_answer {
    int status = 0;
    ordered_json body;

    [[nodiscard]] bool ok() const { return status == 200; }
    /// Type and message of the error in the body; empty if there is none.
    [[nodiscard]] std::string error_type() const;
    [[nodiscard]] std::string error_message() const;
};

/// Sends requests to one node and waits for the answers. Not thread-safe.
class operator_client {
public:
    operator_client(net::endpoint node, milliseconds timeout);

    /// `get` and `post` throw `unreachable_error` unless a complete JSON answer arrives in time.
    [[nodiscard]] operator_answer get(const std::string& path) const;
    [[nodiscard]] operator_answer post(const std::string& path, const ordered_json& body) const;

private:
    [[nodiscard]] operator_answer send(const std::string& method, const std::string& path,
                                       const std::string& body) const;

    net::endpoint node_;
    milliseconds timeout_;
};

using query_values = std::vector<std::pair<std::string, std::string>>;

/// Appends `values` to `path` as a percent-encoded query. Empty values are omitted.
std::string with_query(const std::string& path, const query_values& values);

} // namespace bulrushgw::cli
