#pragma once

/// Includes h2o's headers, which lack `extern "C"`, with the warnings disabled that they cause.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop
