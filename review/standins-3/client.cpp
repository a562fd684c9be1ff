#include "client.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::review {

namespace {

constexpr int status_ok = 200;
constexpr milliseconds readiness_interval{1000};
constexpr milliseconds readiness_timeout{900};
constexpr std::size_t max_connections = 64;
constexpr std::size_t max_answer_bytes = std::size_t{1024} * 1024;

} // namespace

clients::clients(net::loop& loop, const machine& at, request_kind kind, milliseconds interval,
                 std::function<std::uint32_t()> next_key, record& log)
    : loop_(loop), at_(at), kind_(std::move(kind)), next_key_(std::move(next_key)), log_(log),
      http_(loop, max_connections, max_answer_bytes)
{
    check_readiness();
    readiness_timer_ = loop_.every(readiness_interval, [this] { check_readiness(); });
    request_timer_ = loop_.every(interval, [this] {
        if (!stopped_ && is_in()) {
            send_request();
        }
    });
}

clients::~clients()
{
    loop_.cancel(readiness_timer_);
    loop_.cancel(request_timer_);
}

void clients::check_readiness()
{
    http_.send(at_.ready, {"GET", "/v1/ready", {}, ""}, readiness_timeout,
               [this](const net::http_result& result) {
                   const bool ready = result.response && result.response->status == status_ok;
                   misses_ = ready ? 0 : misses_ + 1;
               });
}

void clients::send_request()
{
    const std::string id = at_.host + "-" + std::to_string(next_id_++);
    net::http_request request{"POST",
                              kind_.path,
                              {{"Host", kind_.host},
                               {"Request-Id", id},
                               {"Deadline-Ms", std::to_string(kind_.deadline.count())}},
                              "body of " + id};
    std::string key;
    if (kind_.keyed) {
        key = std::to_string(next_key_());
        request.headers.push_back({"Shard-Key", key});
    }
    answers_[id] = 0;
    log_.write("client: sent " + id + (key.empty() ? "" : " key " + key));
    http_.send(at_.requests, request, kind_.deadline, [this, id](const net::http_result& result) {
        const int status = result.response ? result.response->status : 0;
        answers_[id] = status;
        log_.write("client: answer " + id + " " + std::to_string(status));
    });
}

int clients::answered_with(int status) const
{
    return static_cast<int>(std::count_if(answers_.begin(), answers_.end(),
                                          [&](const auto& item) { return item.second == status; }));
}

heartbeat_network::heartbeat_network(net::loop& loop)
    : loop_(loop), http_(loop, max_connections, max_answer_bytes)
{
}

void heartbeat_network::deliver(const machine& to, const std::string& path, const std::string& body,
                                milliseconds after)
{
    constexpr milliseconds timeout{1000};
    loop_.after(after, [this, to, path, body] {
        http_.send(to.control, {"POST", path, {{"Content-Type", "application/json"}}, body},
                   timeout, [](const net::http_result&) {});
    });
}

} // namespace bulrushgw::review
