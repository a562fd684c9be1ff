#include "bench/dispatch_scenario.h"

namespace bulrushgw::bench {

namespace {

/// Long reports and short calls share the service `records`, whose capacity the reports alone use
/// up. The ledger's urgent requests depend on the calls.
load_scenario reports_and_calls()
{
    load_scenario result;
    result.name = "reports-and-calls";
    result.services = {{"ledger", {0.7, 0.7, 1.6}, 9}, {"records", {0.6, 1.4}, 9}};
    result.kinds = {
        {"credit",
         "ledger",
         0,
         3,
         0.3,
         65,
         milliseconds{63},
         0.3,
         milliseconds{200},
         milliseconds{800},
         1,
         {{"lookup", 2, 0.7}}},
        {"report",
         "records",
         2,
         1,
         0.3,
         58,
         milliseconds{360},
         0.7,
         milliseconds{1000},
         milliseconds{2000},
         1,
         {}},
        {"lookup",
         "records",
         1,
         0,
         0,
         0,
         milliseconds{22},
         0.5,
         milliseconds{100},
         milliseconds{250},
         0,
         {}},
    };
    return result;
}

/// As above, while one target of `records` runs ten times as long for 3 s.
load_scenario slow_target()
{
    load_scenario result = reports_and_calls();
    result.name = "slow-target";
    result.kinds[1].per_s = 35;
    result.faults = {
        {target_fault::slow, "records", 1, milliseconds{5000}, milliseconds{8000}, 10},
        {target_fault::slow, "records", 0, milliseconds{5000}, milliseconds{8000}, 30}};
    return result;
}

/// One of three targets rejects most of its requests for 8 s while the others have room.
load_scenario shedding_target()
{
    load_scenario result;
    result.name = "shedding-target";
    result.services = {{"bookings", {1.0, 1.0, 1.0}, 9}};
    result.kinds = {
        {"book",
         "bookings",
         1,
         2,
         0.3,
         100,
         milliseconds{120},
         0.5,
         milliseconds{400},
         milliseconds{800},
         1,
         {}},
        {"status",
         "bookings",
         1,
         1,
         0,
         200,
         milliseconds{22},
         0.5,
         milliseconds{100},
         milliseconds{250},
         0,
         {}},
    };
    result.faults = {
        {target_fault::shed, "bookings", 0, milliseconds{8000}, milliseconds{16000}, 0.7}};
    return result;
}

/// One target in four stops after the other, 1.2 s apart, each for 3.5 s.
load_scenario stops_in_turn()
{
    load_scenario result;
    result.name = "stops-in-turn";
    result.services = {{"rounds", {0.7, 1.0, 1.0, 1.5}, 9}};
    result.kinds = {{"sheet",
                     "rounds",
                     2,
                     1,
                     0.3,
                     280,
                     milliseconds{90},
                     0.5,
                     milliseconds{300},
                     milliseconds{1200},
                     1,
                     {}}};
    for (std::size_t target = 0; target < 4; ++target) {
        const milliseconds from{8000 + 1200 * static_cast<long>(target)};
        result.faults.push_back(
            {target_fault::stop, "rounds", target, from, from + milliseconds{3500}, 1});
    }
    return result;
}

/// Short calls from many hosts, each of which has few requests in flight to a target.
load_scenario short_calls()
{
    load_scenario result;
    result.services = {{"prices", std::vector<double>(16, 1.0), 9}};
    result.kinds = {{"quote",
                     "prices",
                     1,
                     1,
                     0.3,
                     830,
                     milliseconds{75},
                     0.5,
                     milliseconds{300},
                     milliseconds{1000},
                     1,
                     {}}};
    result.entries = 83;
    return result;
}

/// Two targets in turn do not answer for 5 s.
load_scenario silent_target()
{
    load_scenario result = short_calls();
    result.name = "silent-target";
    result.faults = {
        {target_fault::silence, "prices", 3, milliseconds{8000}, milliseconds{13000}, 1},
        {target_fault::silence, "prices", 7, milliseconds{17000}, milliseconds{22000}, 1}};
    return result;
}

/// The same from few hosts, which have many requests in flight to a target, so that requests that
/// still wait show its silence before their deadlines.
load_scenario silent_target_few_hosts()
{
    load_scenario result = silent_target();
    result.name = "silent-few-hosts";
    result.entries = 8;
    return result;
}

/// A quarter of the targets does not answer for 5 s, and the others cannot serve the demand alone.
load_scenario silent_quarter()
{
    load_scenario result = short_calls();
    result.name = "silent-quarter";
    result.services[0].slots = 5;
    for (const std::size_t target : {2U, 5U, 7U, 12U}) {
        result.faults.push_back(
            {target_fault::silence, "prices", target, milliseconds{8000}, milliseconds{13000}, 1});
    }
    return result;
}

/// A fifth of the targets runs three times as long for 400 ms, then another fifth.
load_scenario slow_periods()
{
    load_scenario result = short_calls();
    result.name = "slow-periods";
    result.entries = 16;
    constexpr milliseconds period{400};
    constexpr std::size_t slow_targets = 3;
    const std::size_t targets = result.services[0].speeds.size();
    std::size_t target = 0;
    for (milliseconds from{4000}; from < result.length; from += period) {
        for (std::size_t i = 0; i < slow_targets; ++i) {
            // A step without a common divisor with the number of targets reaches all of them.
            target = (target + 7) % targets;
            result.faults.push_back({target_fault::slow, "prices", target, from, from + period, 3});
        }
    }
    return result;
}

/// Short calls as above, and uploads that fill most of the hosts' links; the speeds of the links
/// differ by a factor of four.
load_scenario full_links()
{
    load_scenario result = short_calls();
    result.name = "full-links";
    for (std::size_t i = 0; i < result.services[0].speeds.size(); ++i) {
        result.services[0].link_mbps.push_back(i % 2 == 0 ? 4 : 16);
    }
    result.kinds.push_back({"upload",
                            "prices",
                            2,
                            2,
                            0.3,
                            200,
                            milliseconds{75},
                            0.5,
                            milliseconds{800},
                            milliseconds{3000},
                            1,
                            {},
                            60000});
    return result;
}

/// The same, while the links of one zone cannot carry the uploads that arrive there, and those of
/// the others have room.
load_scenario full_links_in_zone()
{
    load_scenario result = full_links();
    result.name = "full-links-in-zone";
    auto& links = result.services[0].link_mbps;
    for (std::size_t i = 0; i < links.size(); ++i) {
        links[i] = i % 3 == 0 ? 4 : 20;
    }
    return result;
}

} // namespace

std::vector<load_scenario> load_scenarios()
{
    return {reports_and_calls(), slow_target(),   shedding_target(),
            stops_in_turn(),     silent_target(), silent_target_few_hosts(),
            silent_quarter(),    slow_periods(),  full_links(),
            full_links_in_zone()};
}

} // namespace bulrushgw::bench
