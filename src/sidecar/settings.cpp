#include "sidecar/settings.h"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace bulrushgw::sidecar {

namespace {

using nlohmann::json;

/// Minimum for files, the store, the target, peers and a few clients.
constexpr double min_descriptors = 600;
/// Twice what the process needs itself, so that clients have room.
constexpr double min_memory_mb = 32;
/// Leases alone take about 20 kbit/s.
constexpr double min_link_mbps = 0.1;
/// See `assignment::timing::evacuation_grace`.
constexpr int evacuation_grace_divisor = 2;
/// A target tolerates at least the rate that the manifest names.
constexpr double min_warm_up_overage = 1;

/// Looks fields up by their path, such as "bounds.drain_ms".
class field_reader {
public:
    field_reader(std::string file, json root) : file_(std::move(file)), root_(std::move(root)) {}

    [[nodiscard]] std::string text(const std::string& path) const
    {
        const json& value = find(path, "a non-empty string");
        if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
            fail(path, "a non-empty string");
        }
        return value.get<std::string>();
    }

    /// The members of an object, which must be texts. Empty if the field is missing.
    [[nodiscard]] std::map<std::string, std::string> texts(const std::string& path) const
    {
        std::map<std::string, std::string> result;
        const json* found = find(path);
        if (found == nullptr) {
            return result;
        }
        const std::string expected = "an object whose values are non-empty strings";
        if (!found->is_object()) {
            fail(path, expected);
        }
        for (const auto& [name, value] : found->items()) {
            if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
                fail(path, expected);
            }
            result[name] = value.get<std::string>();
        }
        return result;
    }

    [[nodiscard]] bool has(const std::string& path) const { return find(path) != nullptr; }

    [[nodiscard]] net::endpoint address(const std::string& path) const
    {
        try {
            return net::parse_endpoint(text(path));
        }
        catch (const net::address_error&) {
            fail(path, "an address such as 10.0.0.1:8080");
        }
    }

    [[nodiscard]] double number(const std::string& path, double minimum) const
    {
        const std::string expected = "a number of at least " + std::to_string(minimum);
        const json& value = find(path, expected);
        if (!value.is_number() || value.get<double>() < minimum) {
            fail(path, expected);
        }
        return value.get<double>();
    }

    /// The number, or `fallback` if the field is missing.
    [[nodiscard]] double number_or(const std::string& path, double minimum, double fallback) const
    {
        return has(path) ? number(path, minimum) : fallback;
    }

    [[nodiscard]] milliseconds time_ms(const std::string& path) const
    {
        return milliseconds{static_cast<milliseconds::rep>(number(path, 0))};
    }

    [[nodiscard]] milliseconds time_s(const std::string& path) const
    {
        constexpr double ms_per_s = 1000;
        return milliseconds{static_cast<milliseconds::rep>(number(path, 0) * ms_per_s)};
    }

private:
    [[nodiscard]] const json* find(const std::string& path) const
    {
        const json* at = &root_;
        std::istringstream parts(path);
        for (std::string part; std::getline(parts, part, '.');) {
            if (!at->is_object() || !at->contains(part)) {
                return nullptr;
            }
            at = &at->at(part);
        }
        return at;
    }

    [[nodiscard]] const json& find(const std::string& path, const std::string& expected) const
    {
        const json* found = find(path);
        if (found == nullptr) {
            fail(path, expected);
        }
        return *found;
    }

    [[noreturn]] void fail(const std::string& path, const std::string& expected) const
    {
        throw settings_error(file_ + ": field \"" + path + "\": expected " + expected);
    }

    std::string file_;
    json root_;
};

} // namespace

settings parse_settings(const std::string& file, const std::string& text)
{
    json root = json::parse(text, nullptr, false);
    if (!root.is_object()) {
        throw settings_error(file + ": expected one JSON object");
    }
    const field_reader fields(file, std::move(root));
    settings result;
    result.host = fields.text("host");
    result.zone = fields.text("zone");
    result.service = fields.text("service");
    result.target = fields.address("target");
    result.store = fields.address("store");
    result.addresses.requests = fields.address("addresses.requests");
    result.addresses.ready = fields.address("addresses.ready");
    result.addresses.control = fields.address("addresses.control");
    result.addresses.inner = fields.address("addresses.inner");
    result.addresses.announced = fields.has("addresses.announced")
                                     ? fields.address("addresses.announced")
                                     : result.addresses.inner;
    result.addresses.metrics = fields.address("addresses.metrics");
    result.descriptors = static_cast<std::size_t>(fields.number("descriptors", min_descriptors));
    result.processor_share = fields.number("processor_share", 0);
    if (fields.has("memory_mb")) {
        result.memory_mb = static_cast<std::size_t>(fields.number("memory_mb", min_memory_mb));
    }
    if (fields.has("link_mbps")) {
        result.link_mbps = fields.number("link_mbps", min_link_mbps);
    }
    result.bounds.drain = fields.time_ms("bounds.drain_ms");
    result.bounds.grace = fields.time_s("bounds.grace_s");
    result.bounds.longest_hold = fields.time_ms("bounds.longest_hold_ms");
    result.bounds.retry_ratio = fields.number("bounds.retry_ratio", 0);
    result.bounds.retry_slack = fields.number("bounds.retry_slack", 0);
    result.bounds.retry_window = fields.time_s("bounds.retry_window_s");
    if (fields.has("bounds.evacuation_ms")) {
        result.bounds.evacuation = fields.time_ms("bounds.evacuation_ms");
    }
    result.times.evacuation_grace = result.bounds.evacuation / evacuation_grace_divisor;
    result.regions = fields.texts("zones");
    if (fields.has("region")) {
        result.regions.emplace(result.zone, fields.text("region"));
    }
    result.bounds.warm_up_overage =
        fields.number_or("bounds.warm_up_overage", min_warm_up_overage, 1);
    result.bounds.warm_up_slack = fields.number_or("bounds.warm_up_slack", 0, 0);
    if (fields.has("zone_traffic.cost")) {
        result.zone_traffic.cost = fields.time_ms("zone_traffic.cost");
    }
    result.times.lease = std::min(result.times.lease, result.bounds.longest_hold);
    result.times.longest_lease = std::min(result.times.longest_lease, result.bounds.longest_hold);
    return result;
}

settings load_settings(const std::string& file)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        throw settings_error(file + ": cannot be read");
    }
    return parse_settings(file, text.str());
}

} // namespace bulrushgw::sidecar
