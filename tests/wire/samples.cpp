#include "tests/wire/samples.h"

namespace bulrushgw::wire::test {

namespace {

using namespace bulrushgw::ownership;

const incarnation_id first{0xfedcba9876543210};
const incarnation_id second{42};

member_row row()
{
    return {first,
            "host-1",
            "nbo-a",
            "nairobi",
            "127.0.0.1:7001",
            "127.0.0.1:8001",
            "ladder-front",
            6,
            true,
            3,
            {second, first},
            placement_version{9},
            member_state::leaving,
            "holder"};
}

placement sample_placement()
{
    placement result;
    result.service = "catalogue";
    result.ranges = 64;
    result.current = {placement_version{8}, {{first, 2}, {second, 1}}, {{range_id{5}, second}}};
    result.previous = {placement_version{7}, {{first, 2}}, {}};
    result.proposer = first;
    result.reason = "join";
    return result;
}

gossip sample_gossip()
{
    return {{row(), sample_placement(), seal{first, second, 3, placement_version{8}, true},
             certificate{first, placement_version{8}, "witnesses"},
             adoption{first, "catalogue", placement_version{8}, {range_id{1}, range_id{2}}},
             rules_stamp{12, "abc"}}};
}

assignment::target_status sample_target()
{
    return {"i-1", 1700000000000, "catalogue", 12, assignment::target_phase::draining, true};
}

assignment::directory_change sample_directory()
{
    assignment::directory_change content;
    content.term = 3;
    content.base = 10;
    content.version = 12;
    content.leader = first;
    content.nodes = {{second, "host-b", "127.0.0.1:7002", "zone-a", sample_target(), 500}};
    content.gone_nodes = {first};
    content.segments = {
        {"catalogue", 0, 65535, second, "i-1", fence{(3ULL << 24) | 1}, "token", true}};
    content.gone_segments = {{"catalogue", 100}};
    return content;
}

routing::evacuation_snapshot sample_evacuations()
{
    return {41, {{"zone-a", 40, milliseconds{250}}}};
}

assignment::report sample_report()
{
    assignment::report body;
    body.term = 3;
    body.sequence = 9;
    body.echo = 1700;
    body.host = "host-a";
    body.address = "127.0.0.1:7001";
    body.zone = "zone-a";
    body.target = sample_target();
    body.holdings = {{"catalogue", 0, 99, fence{5}}};
    body.released = {{"catalogue", 100, 199, fence{6}, "token"}};
    body.directory_version = 12;
    body.manifest_version = 7;
    body.loads = {{"catalogue", {{17, 3}, {65535, 1}}}};
    body.mean_work_us = 60000;
    body.leaving = true;
    body.cleared_term = 3;
    body.cpu_millicores = 500;
    body.evacuations_version = version_in_era(0, 41);
    body.evacuations = {sample_evacuations()};
    body.process_age = milliseconds{1300};
    return body;
}

assignment::leadership_transfer sample_transfer()
{
    assignment::leadership_transfer body;
    body.term = 3;
    body.transfers = 2;
    body.report_sequence = 9;
    body.store_silence = milliseconds{1700};
    body.row_version = version_in_era(0, 41);
    body.beat = 12;
    body.fence_count = 77;
    body.content = sample_directory();
    body.members = {{{second, "host-b", "127.0.0.1:7002", "zone-a", sample_target(), 500},
                     true,
                     true,
                     false,
                     true}};
    body.superseded = {first};
    body.recorded = {{{second, "host-b", "127.0.0.1:7002"}}, {second}, milliseconds{4400}};
    body.unresolved = {{{{first, "host-a", "127.0.0.1:7001"}}, {}, milliseconds{2400}}};
    return body;
}

} // namespace

std::vector<frame> samples()
{
    const std::vector<body> contents = {
        message{renew{1, 2, placement_version{3}}},
        message{renew_ack{1, 2, placement_version{3}}},
        message{renew_refused{{first, second, 3, placement_version{8}, false}}},
        message{holder_seal{4, placement_version{5}}},
        message{set_change{row()}},
        message{set_change_ack{6}},
        message{sample_gossip()},
        message{digest{1, 2, 3, ~0ULL, {7, "d"}, 40, true}},
        forward{1,
                "catalogue",
                "lookup",
                range_id{3},
                "mould-7",
                "r-1",
                2,
                true,
                5,
                milliseconds{800},
                milliseconds{250},
                "POST",
                "/moulds/7",
                {{"accept", "*/*"}, {"x", ""}},
                std::string(300, '\0'),
                true,
                0,
                {}},
        forward_reply{1,
                      "r-1",
                      forward_outcome::not_owner,
                      "moved",
                      placement_version{4},
                      9,
                      milliseconds{120},
                      503,
                      {{"a", "b"}},
                      "body",
                      310},
        cancel{77},
        rules_pull{5},
        rules_text{5, "digest", "text", "{}"},
        protocol_failure{"unknown-version"},
        sample_report(),
        assignment::report_reply{3,
                                 9,
                                 1700,
                                 true,
                                 false,
                                 true,
                                 12,
                                 7,
                                 {sample_directory()},
                                 41,
                                 {sample_evacuations()},
                                 milliseconds{4400},
                                 milliseconds{4600}},
        assignment::leader_hint{3, first, "127.0.0.1:7002"},
        assignment::directory_update{sample_directory(), {"127.0.0.1:7003"}},
        assignment::lead_request{3},
        no_replies{4},
        probe{5},
        probe_reply{6},
        assignment::confirm_request{3, 1700},
        assignment::leadership_notice{3, 1, first, "127.0.0.1:7002", 1700},
        sample_transfer(),
        forward_part{1, 2, std::string(300, '\1')},
        forward_credit{1, 65536},
    };
    std::vector<frame> result;
    for (const auto& content : contents) {
        result.push_back({first, second, "127.0.0.1:7001", content});
    }
    return result;
}

} // namespace bulrushgw::wire::test
