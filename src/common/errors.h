#pragma once

/// Base types of the failures that bulrushgw reports by exception.

#include <stdexcept>
#include <string>

namespace bulrushgw {

/// Base of every failure type. Each package derives its own types.
struct error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Text or bytes that do not follow their format.
struct parse_error : error {
    using error::error;
};

} // namespace bulrushgw
