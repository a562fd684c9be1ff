#pragma once

/// Helpers to run sidecars as separate processes on loopback: free ports, settings files, signals,
/// and the record of what was sent, answered and run.

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "common/boot_clock.h"
#include "net/http.h"

namespace bulrushgw::review {

/// Writes one line per event, with the time since the start in milliseconds. Not thread-safe.
class record {
public:
    explicit record(const std::string& file);
    void write(const std::string& line);
    [[nodiscard]] milliseconds age() const;

private:
    time_point start_;
    std::ofstream file_;
};

/// Addresses and settings of one machine with a sidecar and a target.
struct machine {
    std::string host;
    std::string zone;
    std::string service;
    net::endpoint requests;
    net::endpoint ready;
    net::endpoint control;
    net::endpoint inner;
    net::endpoint metrics;
    net::endpoint target;
    /// Where the other machines reach `inner`, for example through a proxy.
    std::optional<net::endpoint> announced = std::nullopt;
    int link_mbps = 1000;
};

/// A loopback address with a port that is free now.
net::endpoint free_address();

machine make_machine(const std::string& host, const std::string& zone, const std::string& service);

/// The sidecar process of a machine. The destructor kills the process. Not thread-safe.
class sidecar_process {
public:
    /// `folder` takes the settings file and the log. `program` is the built program.
    sidecar_process(machine at, const net::endpoint& store, std::string program,
                    std::string folder);
    ~sidecar_process();
    sidecar_process(const sidecar_process&) = delete;
    sidecar_process& operator=(const sidecar_process&) = delete;
    sidecar_process(sidecar_process&&) = delete;
    sidecar_process& operator=(sidecar_process&&) = delete;

    /// Precondition: the process does not run.
    void start();
    void signal(int number) const;
    /// Collects the process if it has ended.
    [[nodiscard]] bool runs();
    [[nodiscard]] const machine& at() const { return at_; }

private:
    machine at_;
    std::string program_;
    std::string folder_;
    pid_t pid_ = 0;
};

} // namespace bulrushgw::review
