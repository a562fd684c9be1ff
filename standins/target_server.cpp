#include "standins/target_server.h"

#include <utility>

#include "standins/url.h"

namespace bulrushgw::standin {

namespace {

constexpr milliseconds announce_timeout{900};
constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024;
constexpr milliseconds hang_poll_interval{20};

net::http_response json_response(int status, const nlohmann::json& body)
{
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

} // namespace

target_server::target_server(net::loop& loop, const net::endpoint& address,
                             std::optional<net::endpoint> node, target_settings settings,
                             std::uint64_t run_id, milliseconds announce_interval)
    : loop_(loop), node_(std::move(node)), client_(loop, 1, max_answer_bytes),
      server_(loop, address, [this](const net::http_exchange& exchange) { handle(exchange); })
{
    if (settings.address.empty()) {
        settings.address = to_string(server_.address());
    }
    model_ = std::make_unique<target_model>(std::move(settings), run_id, loop_.now());
    if (node_) {
        announce_timer_ = loop_.every(announce_interval, [this] { announce(); });
        announce();
    }
}

target_server::~target_server()
{
    loop_.cancel(announce_timer_);
}

void target_server::log_runs(const std::string& file)
{
    run_log_.open(file, std::ios::app);
    if (!run_log_) {
        throw error("cannot open the run log " + file);
    }
    model_->set_run_hook([this](const run_record& entry) {
        nlohmann::json line = {{"target", model_->settings().name},
                               {"service", model_->settings().service},
                               {"request_id", entry.request_id},
                               {"key", entry.key},
                               {"fence", entry.fence},
                               {"started_ms", entry.started_ms}};
        if (entry.range) {
            line["range"] = *entry.range;
        }
        run_log_ << line.dump() << std::endl;
    });
}

void target_server::respond(const net::http_exchange& exchange, net::http_response response)
{
    model_->add_identity_headers(response, loop_.now());
    exchange.respond(std::move(response));
}

void target_server::handle(const net::http_exchange& exchange)
{
    if (path_of(exchange.request.path) == "/control") {
        on_control(exchange);
        return;
    }
    // A frozen target behaves like a stopped process: it answers nothing, and its socket buffers
    // keep the requests. After it resumes, it reads all of them, even if their clients have gone.
    if (model_->frozen()) {
        unread_.push_back(exchange);
        return;
    }
    process(exchange);
}

void target_server::process(const net::http_exchange& exchange)
{
    const auto path = path_of(exchange.request.path);
    const bool is_post = exchange.request.method == "POST";
    if (is_post && path == "/bulrush/v1/grants") {
        respond(exchange, model_->on_grants(exchange.request.body, loop_.now()));
    }
    else if (is_post && path == "/bulrush/v1/drain") {
        respond(exchange, model_->on_drain(loop_.now()));
    }
    else {
        run(exchange);
    }
}

void target_server::run(const net::http_exchange& exchange)
{
    auto start = model_->start(exchange.request, loop_.now());
    if (start.refusal) {
        respond(exchange, std::move(*start.refusal));
        return;
    }
    const auto id = start.run;
    *exchange.on_cancel = [this, id] { model_->cancel(id); };
    if (start.duration.count() == 0) {
        complete(exchange, id);
        return;
    }
    loop_.after(start.duration, [this, exchange, id] { complete(exchange, id); });
}

void target_server::complete(const net::http_exchange& exchange, std::uint64_t run)
{
    // A frozen or hanging target completes no run, so the completion is tried again later.
    if (model_->frozen() || model_->hanging()) {
        loop_.after(hang_poll_interval, [this, exchange, run] { complete(exchange, run); });
        return;
    }
    respond(exchange, model_->finish(run, loop_.now()));
}

void target_server::on_control(const net::http_exchange& exchange)
{
    if (exchange.request.method == "POST") {
        const auto change = nlohmann::json::parse(exchange.request.body, nullptr, false);
        try {
            model_->control(change, loop_.now());
        }
        catch (const std::exception& failure) {
            respond(exchange, json_response(400, {{"error", failure.what()}}));
            return;
        }
        while (!model_->frozen() && !unread_.empty()) {
            const auto next = std::move(unread_.front());
            unread_.pop_front();
            process(next);
        }
    }
    const bool with_runs = query_value(exchange.request.path, "runs") != "no";
    respond(exchange, json_response(200, model_->dump(with_runs, loop_.now())));
}

void target_server::announce()
{
    if (model_->frozen() || std::exchange(announcement_in_progress_, true)) {
        return;
    }
    net::http_request request{"POST",
                              "/v1/announce",
                              {{"content-type", "application/json"}},
                              model_->announcement().dump()};
    client_.send(*node_, request, announce_timeout,
                 [this](const net::http_result&) { announcement_in_progress_ = false; });
}

} // namespace bulrushgw::standin
