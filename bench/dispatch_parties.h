#pragma once

/// Requests, hosts that receive them and targets of the load model.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/dispatch_faults.h"
#include "dispatch/retry_allowance.h"
#include "dispatch/slot_queue.h"
#include "dispatch/target_picker.h"
#include "dispatch/time_spent.h"

namespace bulrushgw::bench {

using outcome_callback = std::function<void(bool answered)>;

struct request_state {
    const load_kind* kind = nullptr;
    std::size_t entry = 0;
    time_point first_sent; ///< of the client's first attempt
    time_point aim;
    time_point deadline;
    int returns = 0; ///< how often the client has returned after a refusal
    std::uint32_t tries = 0;
    std::vector<incarnation_id> avoid;
    incarnation_id node; ///< to which the request was sent last
    time_point sent;     ///< of the last attempt
    std::size_t body_bytes = 0;
    bool in_flight = false; ///< sent, no reply yet
    bool ended = false;
    outcome_callback on_call_end; ///< only for calls of runs
};
using request_ptr = std::shared_ptr<request_state>;

struct waiting_or_running {
    request_ptr request;
    time_point sent;
    time_point started;
};

struct entry_node {
    std::size_t zone = 0;
    dispatch::target_picker picker;
    dispatch::time_spent spent;
    std::map<std::string, dispatch::retry_allowance> allowances;
};

struct model_target {
    const load_service* service = nullptr;
    std::size_t index = 0; ///< within the service
    std::size_t zone = 0;
    incarnation_id node;
    dispatch::slot_queue queue{0};
    body_link link;
    std::map<dispatch::ticket, waiting_or_running> jobs;
};

inline dispatch::sent_request sent_of(const request_state& request)
{
    return {request.node, request.sent, request.body_bytes};
}

} // namespace bulrushgw::bench
