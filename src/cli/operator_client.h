#pragma once

/// Blocking calls of the operator interface of a node.

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "net/http.h"

namespace bulrushgw::cli {

using nlohmann::ordered_json;

/// The node did not answer. `maybe_done`: the request may have been carried out.
struct unreachable_error : error {
    unreachable_error(const std::string& message, bool may_have_run)
        : error(message), maybe_done(may_have_run)
    {
    }
    bool maybe_done;
};

struct operator_answer {
    int status = 0;
    ordered_json body;

    [[nodiscard]] bool ok() const { return status == 200; }
    /// Type of the error body; empty without one.
    [[nodiscard]] std::string error_type() const;
    [[nodiscard]] std::string error_message() const;
};

/// Not thread-safe.
class operator_client {
public:
    operator_client(net::endpoint node, milliseconds timeout);

    /// Throws `unreachable_error` without a whole JSON answer.
    [[nodiscard]] operator_answer get(const std::string& path) const;
    [[nodiscard]] operator_answer post(const std::string& path, const ordered_json& body) const;

private:
    [[nodiscard]] operator_answer send(const std::string& method, const std::string& path,
                                       const std::string& body) const;

    net::endpoint node_;
    milliseconds timeout_;
};

using query_values = std::vector<std::pair<std::string, std::string>>;

/// Appends a percent-encoded query, leaving out empty values.
std::string with_query(const std::string& path, const query_values& values);

} // namespace bulrushgw::cli
