#pragma once

/// The parts of msgpack that this package uses, without their warnings.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wshadow"
#include <msgpack.hpp>
#pragma GCC diagnostic pop
