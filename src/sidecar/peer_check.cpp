#include "sidecar/peer_check.h"

#include <utility>
#include <vector>

namespace bulrushgw::sidecar {

void peer_check::suspect(const std::string& address, const std::string& cause)
{
    const auto now = hooks_.now();
    const auto [at, is_new] = checks_.try_emplace(address);
    if (!is_new && now - at->second.started < settings_.probe_interval) {
        return;
    }
    at->second = {next_number_++, now, cause, true};
    hooks_.send(address, wire::probe{at->second.number});
}

void peer_check::on_reply(const std::string& address, const wire::probe_reply& reply)
{
    const auto found = checks_.find(address);
    if (found != checks_.end() && found->second.number == reply.number) {
        found->second.awaiting_reply = false;
    }
}

void peer_check::on_tick()
{
    const auto now = hooks_.now();
    std::vector<std::pair<std::string, std::string>> unresponsive;
    for (auto at = checks_.begin(); at != checks_.end();) {
        auto& check = at->second;
        if (check.awaiting_reply && now - check.started >= settings_.reply_timeout) {
            check.awaiting_reply = false;
            unresponsive.emplace_back(at->first, check.cause);
        }
        const bool expired =
            !check.awaiting_reply && now - check.started >= settings_.probe_interval;
        at = expired ? checks_.erase(at) : std::next(at);
    }
    for (const auto& [address, cause] : unresponsive) {
        hooks_.on_unresponsive(address, cause);
    }
}

} // namespace bulrushgw::sidecar
