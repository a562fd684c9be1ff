#pragma once

/// Targets that hold keys under grants, and the check that no key has two holders and that none is
/// given to a target while another works on it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "deployment.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::review {

class target;

/// Checks the rule on holders of keys for all targets of a deployment, on a sample of the keys. Not
/// thread-safe: runs on one loop.
class holder_check {
public:
    /// Every key of the sample is a multiple of this.
    static constexpr std::uint32_t key_step = 1024;
    static constexpr std::uint32_t key_count = 65536;
    /// Two targets may hold the same key for this time.
    static constexpr milliseconds max_overlap{500};

    explicit holder_check(record& log) : log_(log) {}

    void add(const target& which) { targets_.push_back(&which); }
    void remove(const target& which) { std::erase(targets_, &which); }
    /// A target accepted a grant of these keys.
    void on_grant(const target& by, std::uint32_t first, std::uint32_t last, std::uint64_t fence);
    /// A target began a request on the key.
    void on_run(const target& by, std::uint32_t key);
    /// Looks at the present holders.
    void on_tick(time_point now);
    /// Number of violations by kind.
    [[nodiscard]] const std::map<std::string, int>& violations() const { return violations_; }

private:
    struct overlap {
        time_point since;
        std::set<std::string> began_requests; ///< names of lives
        bool is_reported = false;
    };

    void violate(const std::string& kind, const std::string& text);

    record& log_;
    std::vector<const target*> targets_;
    std::map<std::uint32_t, overlap> overlaps_; ///< by key, while several targets hold it
    /// The highest fence under which each life of a target had a key.
    std::map<std::uint32_t, std::map<std::string, std::uint64_t>> fences_;
    std::map<std::string, int> violations_;
};

struct target_settings {
    bool sharded = true;
    milliseconds work{30};
    /// Work of requests whose path begins with "/reports/".
    milliseconds long_work{30};
    /// A health check waits for a free slot, and a release is answered when the requests that run
    /// on its keys have ended. Otherwise a health check is answered at once, and a release after
    /// `work`.
    bool waits_for_work = false;
    /// From the start of the target to its first heartbeat.
    milliseconds first_heartbeat{100};
    /// Tells a life of the target from others that have the same id.
    int life = 1;
    /// Delivers a heartbeat, given as path and body, to the control address of the machine.
    std::function<void(const std::string& path, const std::string& body)> send_heartbeat;
};

/// One life of a target of a service. Not thread-safe: runs on one loop.
class target {
public:
    target(net::loop& loop, const machine& at, target_settings settings, record& log,
           holder_check& check);
    ~target();
    target(const target&) = delete;
    target& operator=(const target&) = delete;
    target(target&&) = delete;
    target& operator=(target&&) = delete;

    [[nodiscard]] bool holds(std::uint32_t key, time_point now) const;
    /// True if a request runs on the key whose hold, as it was at the begin of the request, has not
    /// run out.
    [[nodiscard]] bool works_on(std::uint32_t key, time_point now) const;
    /// Number of requests that run.
    [[nodiscard]] std::uint32_t running() const { return running_; }
    /// Names this life of the target.
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] int runs_of(const std::string& request_id) const;

private:
    struct held_range {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        time_point until;
    };

    /// A request that runs.
    struct work_item {
        std::uint32_t key = 0;
        time_point hold_end;
    };
    /// A release that waits for the requests on its keys.
    struct waiting_release {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        net::http_exchange exchange;
    };

    void handle(const net::http_exchange& exchange);
    void answer_waiting();
    [[nodiscard]] time_point hold_end_of(std::uint32_t key) const;
    [[nodiscard]] bool is_working(std::uint32_t first, std::uint32_t last) const;
    void grant(const net::http_exchange& exchange);
    void release(const net::http_exchange& exchange);
    void run(const net::http_exchange& exchange);
    void send_heartbeat();
    void drop_keys(std::uint32_t first, std::uint32_t last);
    [[nodiscard]] net::header_list identity() const;

    net::loop& loop_;
    machine at_;
    target_settings settings_;
    record& log_;
    holder_check& check_;
    std::string id_;
    std::string name_;
    std::uint64_t born_ms_;
    std::uint64_t sequence_ = 0;
    std::vector<held_range> held_;
    /// The highest fence seen, for each key of a range. Later entries go before earlier ones.
    std::vector<held_range> seen_;
    std::map<std::string, int> runs_;
    std::uint32_t running_ = 0;
    std::map<std::uint64_t, work_item> work_;
    std::uint64_t next_work_ = 1;
    std::vector<net::http_exchange> waiting_checks_;
    std::vector<waiting_release> waiting_releases_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::loop::timer_id heartbeat_timer_ = 0;
    net::http_server server_;
};

} // namespace bulrushgw::review
