#pragma once

/// Base types of the exceptions that bulrushgw throws.

#include <stdexcept>
#include <string>

namespace bulrushgw {

/// Base of all exception types. Each package derives its own types from it.
struct error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Text or bytes do not follow the expected format.
struct parse_error : error {
    using error::error;
};

} // namespace bulrushgw
