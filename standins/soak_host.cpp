#include "standins/soak_host.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::standin {

using nlohmann::json;

soak_host::soak_host(net::loop& loop, soak_host_settings settings, platform_history& history,
                     std::vector<platform_target*>& running_targets)
    : loop_(loop), settings_(std::move(settings)), history_(history),
      running_targets_(running_targets), store_proxy_(loop, port(7), settings_.store),
      inner_proxy_(loop, port(8), port(4))
{
    write_settings();
    start_target();
    start_sidecar();
}

soak_host::~soak_host()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

net::endpoint soak_host::port(int offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(settings_.first_port + offset)};
}

void soak_host::write_settings() const
{
    const auto address_text = [this](int offset) { return net::to_string(port(offset)); };
    const json root{{"host", "h" + std::to_string(settings_.number)},
                    {"zone", "z" + std::to_string(settings_.number % 3)},
                    {"service", settings_.service},
                    {"target", address_text(5)},
                    {"store", address_text(7)},
                    {"descriptors", 2000},
                    {"processor_share", settings_.number % 2 == 0 ? 0.5 : 0.1},
                    {"addresses",
                     {{"requests", address_text(1)},
                      {"ready", address_text(2)},
                      {"control", address_text(3)},
                      {"inner", address_text(4)},
                      {"announced", address_text(8)},
                      {"metrics", address_text(6)}}},
                    {"bounds",
                     {{"drain_ms", 2000},
                      {"grace_s", 6},
                      {"longest_hold_ms", 10000},
                      {"retry_ratio", 0.2},
                      {"retry_slack", 50},
                      {"retry_window_s", 10},
                      {"warm_up_overage", 1.5},
                      {"warm_up_slack", 8}}}};
    std::ofstream(settings_.directory + "/" + std::to_string(settings_.number) + ".json")
        << root.dump(1);
}

void soak_host::start_sidecar()
{
    if (pid_ > 0) {
        return;
    }
    const std::string name = settings_.directory + "/" + std::to_string(settings_.number);
    std::string program = settings_.program;
    std::string command = "sidecar";
    std::string option = "--config";
    std::string file = name + ".json";
    std::array<char*, 5> arguments{program.data(), command.data(), option.data(), file.data(),
                                   nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = name + ".log";
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, readable);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The sidecar must not inherit the sockets of this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int spawn_error =
        posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
        pid_ = 0;
        throw std::runtime_error("cannot start " + program);
    }
}

void soak_host::signal(int number)
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void soak_host::reap()
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
}

void soak_host::start_target()
{
    if (target_ != nullptr) {
        return;
    }
    platform_target_settings values;
    values.address = port(5);
    values.control = port(3);
    values.service = settings_.service;
    values.sharded = settings_.sharded;
    values.execution_time = settings_.execution_time;
    values.warm_up = settings_.warm_up;
    values.first_heartbeat = milliseconds{900};
    // Every other run has an id of its own.
    if (++target_runs_ % 2 == 0) {
        values.id = "i-" + std::to_string(port(5).port) + "-" + std::to_string(target_runs_);
    }
    target_ = std::make_unique<platform_target>(loop_, values, history_, running_targets_);
}

} // namespace bulrushgw::standin
