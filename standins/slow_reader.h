#pragma once

/// A client that pipelines requests on one connection and reads the answers at a limited rate.

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

struct slow_reader_settings {
    net::endpoint address;
    std::string path;
    std::string id_prefix; ///< request ids are this and a number
    std::size_t requests = 28;
    std::size_t answer_bytes = 56000;  ///< asked of the target in the header `Answer-Bytes`
    std::size_t bytes_per_s = 300'000; ///< rate of reading; 0: reads nothing
    milliseconds time_budget{25000};   ///< of each request
};

/// Not thread-safe: runs on one loop.
class slow_reader {
public:
    /// Connects and sends all requests. Throws `std::runtime_error` if that is not possible at
    /// once. `on_end` is called once, when all requests are answered or the connection has ended.
    slow_reader(net::loop& loop, slow_reader_settings settings, std::function<void()> on_end);
    ~slow_reader();
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;
    slow_reader(slow_reader&&) = delete;
    slow_reader& operator=(slow_reader&&) = delete;

    /// Status of each complete answer, by request id.
    [[nodiscard]] const std::map<std::string, int>& answers() const;
    [[nodiscard]] time_point sent() const;
    /// The id of request `number`, which counts from 0.
    [[nodiscard]] std::string id_of(std::size_t number) const;
    [[nodiscard]] const slow_reader_settings& settings() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::standin
