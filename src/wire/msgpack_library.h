#pragma once

/// Includes msgpack, with the warnings disabled that its headers cause.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wshadow"
#include <msgpack.hpp>
#pragma GCC diagnostic pop
