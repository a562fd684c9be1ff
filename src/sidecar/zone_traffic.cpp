#include "sidecar/zone_traffic.h"

#include <cmath>
#include <sstream>

namespace bulrushgw::sidecar {

namespace {

/// Least change of a share that is logged.
constexpr double marked_change = 0.1;
/// A share below this is logged as a return to zero.
constexpr double near_zero = 0.01;

bool is_marked(double before, double after)
{
    const bool returned = before >= marked_change / 2 && after < near_zero;
    return returned || std::abs(after - before) >= marked_change;
}

double rounded(double share)
{
    constexpr double steps = 1000;
    return std::round(share * steps) / steps;
}

/// Quotes a label value of the Prometheus text format.
std::string label(std::string_view value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + '"';
}

} // namespace

void zone_traffic::report(time_point now, const dispatch::target_picker& picker,
                          const log_hook& log)
{
    for (const auto& [service, balance] : picker.balances()) {
        auto& last = reported_[service];
        const bool changed = is_marked(last.share, balance.share()) ||
                             (balance.share() >= marked_change && balance.cause() != last.cause);
        if (!changed || (last.at != time_point{} && now - last.at < min_interval)) {
            continue;
        }
        journal::fields zones = journal::fields::object();
        for (const auto& [zone, share] : balance.shares()) {
            zones[zone] = rounded(share);
        }
        log("zone_share", {{"service", service},
                           {"share", rounded(balance.share())},
                           {"before", rounded(last.share)},
                           {"zones", zones},
                           {"cause", dispatch::to_text(balance.cause())}});
        last = {balance.share(), balance.cause(), now};
    }
}

std::string zone_traffic::metrics_text(const dispatch::target_picker& picker) const
{
    std::ostringstream out;
    out << "# TYPE bulrushgw_zone_requests_total counter\n";
    for (const auto& [zone, count] : sent_) {
        out << "bulrushgw_zone_requests_total{zone=" << label(zone) << "} " << count << '\n';
    }
    out << "# TYPE bulrushgw_zone_share gauge\n";
    for (const auto& [service, balance] : picker.balances()) {
        for (const auto& [zone, share] : balance.shares()) {
            out << "bulrushgw_zone_share{service=" << label(service) << ",zone=" << label(zone)
                << "} " << share << '\n';
        }
    }
    return out.str();
}

} // namespace bulrushgw::sidecar
