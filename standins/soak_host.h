#pragma once

/// One host of the soak test: a sidecar process, a target in this process, and proxies in
/// front of the store and of the sidecar's inner port.

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "standins/loopback_proxy.h"
#include "standins/platform_model.h"

namespace bulrushgw::standin {

struct soak_host_settings {
    std::string program;   ///< path of bulrushgw
    std::string directory; ///< for settings files and logs
    int number = 0;
    int first_port = 0; ///< first of the ten ports of this host
    net::endpoint store;
    std::string service;
    bool sharded = false;
    milliseconds execution_time{20};
    milliseconds warm_up{0}; ///< see `platform_target_settings::warm_up`
};

/// Not thread-safe: runs on one loop.
class soak_host {
public:
    /// Starts the target and the sidecar.
    soak_host(net::loop& loop, soak_host_settings settings, platform_history& history,
              std::vector<platform_target*>& running_targets);
    /// Kills the sidecar with SIGKILL.
    ~soak_host();
    soak_host(const soak_host&) = delete;
    soak_host& operator=(const soak_host&) = delete;
    soak_host(soak_host&&) = delete;
    soak_host& operator=(soak_host&&) = delete;

    /// Starts the sidecar unless it runs. Throws `std::runtime_error` when it cannot be started.
    void start_sidecar();
    /// Sends a signal to the sidecar, if it runs.
    void signal(int number);
    /// Collects the exit status if the sidecar has ended. Must be called regularly, because
    /// `is_running` becomes false only here.
    void reap();
    [[nodiscard]] bool is_running() const { return pid_ > 0; }
    /// Exit code of the sidecar process that ended last. If a signal ended it, the negative
    /// number of that signal.
    [[nodiscard]] int exit_code() const { return exit_code_; }

    void kill_target() { target_.reset(); }
    void start_target();
    [[nodiscard]] bool has_target() const { return target_ != nullptr; }

    [[nodiscard]] loopback_proxy& store_proxy() { return store_proxy_; }
    [[nodiscard]] loopback_proxy& inner_proxy() { return inner_proxy_; }
    [[nodiscard]] net::endpoint requests() const { return port(1); }
    [[nodiscard]] net::endpoint ready() const { return port(2); }

private:
    /// Address of the port `first_port + offset`. Offsets: 1 requests, 2 ready, 3 control, 4 inner,
    /// 5 target, 6 metrics, 7 proxy to the store, 8 proxy to the inner port.
    [[nodiscard]] net::endpoint port(int offset) const;
    void write_settings() const;

    net::loop& loop_;
    soak_host_settings settings_;
    platform_history& history_;
    std::vector<platform_target*>& running_targets_;
    loopback_proxy store_proxy_;
    loopback_proxy inner_proxy_;
    std::unique_ptr<platform_target> target_;
    std::uint64_t target_runs_ = 0;
    pid_t pid_ = 0;
    int exit_code_ = 0;
};

} // namespace bulrushgw::standin
