#pragma once

/// Flags of all commands, registered with gflags.

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

namespace bulrushgw::cli {

/// Wrong use of a command. The text says what was found and what is expected.
struct usage_error : error {
    using error::error;
};

/// Sets flags from arguments and returns the other arguments. Only the flags in
/// `allowed` are accepted. gflags' own parser ends the process with code 1 on an
/// unknown flag, which means "refused" here. Throws `usage_error`.
std::vector<std::string> parse_flags(const std::vector<std::string>& arguments,
                                     const std::vector<std::string_view>& allowed);

/// One line of help for a flag, with its default.
std::string flag_help(std::string_view name);

/// True when the flag was set on the command line.
bool is_flag_set(std::string_view name);

} // namespace bulrushgw::cli
