#pragma once

/// Settings of a sidecar node: one JSON object.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "assignment/types.h"
#include "common/boot_clock.h"
#include "common/errors.h"
#include "dispatch/zone_balance.h"
#include "net/http.h"

namespace bulrushgw::sidecar {

struct sidecar_addresses {
    net::endpoint requests;  ///< for requests of clients and of the target on this host
    net::endpoint ready;     ///< for readiness checks of the platform
    net::endpoint control;   ///< for heartbeats and other control calls of the target
    net::endpoint inner;     ///< for the protocol between nodes
    net::endpoint announced; ///< address of `inner` for other nodes; default: `inner`
    net::endpoint metrics;   ///< for the metrics page
};

/// Bounds that the deployment guarantees to its users.
struct sidecar_bounds {
    milliseconds drain{0};        ///< after this time of draining, a target gets no request
    milliseconds grace{0};        ///< time from the stop signal to the kill
    milliseconds longest_hold{0}; ///< longest hold of a grant that targets accept
    /// Limit on the retries of all nodes in one window, as a share of a service's requests.
    double retry_ratio = 0;
    /// Retries of all nodes in one window that are allowed in addition to that share.
    double retry_slack = 0;
    milliseconds retry_window{0}; ///< time over which retries are counted
    /// Time from the order to evacuate a zone after which no request may reach a target there.
    milliseconds evacuation{5000};
    /// Hard bound on the requests that arrive at a cold target in any second: the rate that it
    /// tolerates, times `warm_up_overage`, and `warm_up_slack` more.
    double warm_up_overage = 1;
    double warm_up_slack = 0;
};

/// Filled by `parse_settings`.
struct settings {
    std::string host;
    std::string zone;
    std::map<std::string, std::string> regions; ///< region of each zone; empty: not known
    std::string service;                        ///< service of the target on this host
    net::endpoint target;
    net::endpoint store;
    sidecar_addresses addresses;
    sidecar_bounds bounds;
    std::size_t descriptors = 0; ///< limit on open file descriptors of this process
    double processor_share = 0;  ///< CPU limit of this process, in cores
    std::size_t memory_mb = 256; ///< memory limit of this process, in MiB
    double link_mbps = 100;      ///< speed of the host's link in each direction, in Mbit/s
    assignment::timing times;
    dispatch::zone_balance_settings zone_traffic;
};

/// The message names the file, the field and the expected value.
struct settings_error : error {
    using error::error;
};

/// `file` is the name for error messages. Unknown fields are ignored, since the platform may add
/// fields. Throws `settings_error`.
settings parse_settings(const std::string& file, const std::string& text);
/// Throws `settings_error`, also if the file cannot be read.
settings load_settings(const std::string& file);

} // namespace bulrushgw::sidecar
