#include "sidecar/peer_dictionary.h"

#include <algorithm>
#include <cctype>

#include "wire/messages.h"

namespace bulrushgw::sidecar {

namespace {

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// A typical request. Received header names are in lower case; header names that this node sets
/// keep their case.
wire::forward sample_request(const header_names& names)
{
    wire::forward request;
    request.number = 1000;
    request.deadline = milliseconds{1200};
    request.aim = milliseconds{500};
    request.method = "GET";
    request.path = "/";
    request.headers = {{"host", ".example"},
                       {"user-agent", ""},
                       {"accept", "*/*"},
                       {"accept-encoding", "identity"},
                       {"content-type", "application/json"},
                       {lower_case(names.shard_key), "1"},
                       {names.caller, ""}};
    return request;
}

/// A typical answer.
wire::forward_reply sample_answer(const header_names& names)
{
    wire::forward_reply reply;
    reply.number = 1000;
    reply.outcome = wire::forward_outcome::answered;
    reply.reason = "none";
    reply.load = 4;
    reply.status = 200;
    reply.headers = {
        {lower_case(names.target_id), ""},    {"content-type", "application/octet-stream"},
        {"content-type", "application/json"}, {lower_case(names.load), "4,0,5"},
        {lower_case(names.request_id), ""},   {lower_case(names.answer_seal), ""}};
    return reply;
}

} // namespace

std::string make_peer_dictionary(const header_names& names)
{
    wire::forward_reply refused;
    refused.outcome = wire::forward_outcome::not_run;
    refused.reason = "overloaded";
    std::string result;
    for (const wire::body& content : {wire::body{refused}, wire::body{sample_request(names)},
                                      wire::body{sample_answer(names)}}) {
        result += wire::encode({{}, {}, "10.0.0.1:7380", content});
    }
    return result;
}

} // namespace bulrushgw::sidecar
