#pragma once

/// The flags of all commands, registered with gflags.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <gflags/gflags_declare.h>

#include "common/errors.h"

DECLARE_string(config);
DECLARE_bool(check);
DECLARE_bool(print_settings);
DECLARE_string(node);
DECLARE_uint32(timeout_ms);
DECLARE_bool(json);
DECLARE_string(operator);
DECLARE_uint64(base);
DECLARE_string(submission_id);
DECLARE_uint64(at);
DECLARE_uint32(most);
DECLARE_string(service);
DECLARE_string(range);
DECLARE_string(subject);
DECLARE_string(kind);
DECLARE_bool(switched_off);
DECLARE_string(path);
DECLARE_string(host);
DECLARE_string(key);
DECLARE_uint32(deadline_ms);
DECLARE_uint32(body_bytes);

namespace bulrushgw::cli {

/// Wrong usage of a command. The message says what was found and what was expected.
struct usage_error : error {
    using error::error;
};

/// Sets the flags in `arguments` and returns the positional arguments. Throws `usage_error` for a
/// flag that is not in `allowed` and for an invalid value. The parser of gflags is not used: on an
/// unknown flag, it ends the process with exit code 1, which means "refused" here.
std::vector<std::string> parse_flags(const std::vector<std::string>& arguments,
                                     const std::vector<std::string_view>& allowed);

/// The help line of a flag, with its default value.
std::string flag_help(std::string_view name);

/// True if the flag was set on the command line.
bool is_flag_set(std::string_view name);

} // namespace bulrushgw::cli
