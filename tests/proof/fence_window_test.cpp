#include "fakes/driver.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

namespace {

/// Freezes a target that has requests in its socket buffer until long after a
/// successor serves; the number of overlapping executions.
std::size_t overlaps_after_freeze(bool checks_fences)
{
    driver_settings settings;
    settings.checks_fences = checks_fences;
    settings.requests_per_second = 30;
    driver world(settings);
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.start(host);
    }
    world.run_for(milliseconds{8000});
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.freeze_target(host);
        world.run_for(milliseconds{4000});
        world.resume_target(host);
        world.run_for(milliseconds{4000});
    }
    const auto found = check(world.finish());
    return static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(), [](const violation& each) {
            return each.kind == violation_kind::two_executions;
        }));
}

constexpr range_id granted_range{1};
constexpr true_time granted_at{milliseconds{1000}};

/// A target with a grant of one range, fence 7, for 1200 ms.
struct granted_target {
    history record;
    target server;
    target_result last = target_result::executed;

    explicit granted_target(bool checks_fences) : server(0, drifting_clock{}, checks_fences, record)
    {
        server.on_finish([this](const target_request&, target_result result) { last = result; });
        server.grant(granted_at, {{{granted_range, fence{7}}}, granted_at + milliseconds{1200}});
    }
};

} // namespace

TEST_GROUP(fence_window){};

// Guards against a claim of more than the design gives: a target that does not
// check fences executes what waited in its socket buffer beside the successor.
TEST(fence_window, target_without_fences_runs_buffered_requests_late)
{
    CHECK(overlaps_after_freeze(false) > 0);
}

// Guards against a fenced target that runs a buffered request after its grant.
TEST(fence_window, target_with_fences_refuses_buffered_requests)
{
    LONGS_EQUAL(0, overlaps_after_freeze(true));
}

// Guards against the window between a node's last check and its write: a node
// that resumes after its lease must be refused by a target that checks fences.
TEST(fence_window, only_a_fenced_target_refuses_after_the_grant_expired)
{
    for (const bool checks_fences : {true, false}) {
        granted_target setup(checks_fences);
        target_request request;
        request.range = granted_range;
        request.token = fence{7};
        request.work = milliseconds{10};
        request.deadline = milliseconds{100};
        const true_time late = granted_at + milliseconds{1300};
        setup.server.run(late, request);
        setup.server.advance(late + milliseconds{20});
        CHECK_EQUAL(checks_fences, setup.last == target_result::no_grant);
        LONGS_EQUAL(checks_fences ? 0 : 1, setup.record.executions.size());
    }
}

// Guards against an older owner that overwrites the state of a newer one.
TEST(fence_window, older_fence_is_refused)
{
    granted_target setup(true);
    target_request request;
    request.range = granted_range;
    request.token = fence{6};
    setup.server.run(granted_at, request);
    CHECK(setup.last == target_result::stale_fence);
}
