#include "sidecar/request_history.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr incarnation_id sender{2};

} // namespace

TEST_GROUP(request_history)
{
    request_history history;
};

// Guards against a request that is reported as not run although the target got it, because its
// record was dropped.
TEST(request_history, forgotten_request_may_have_been_sent)
{
    constexpr std::uint64_t last = 10 * recent_numbers::limit;
    for (std::uint64_t number = 1; number <= last; number += 2) {
        history.on_sent({sender, number});
    }
    CHECK_FALSE(history.cancel({sender, 1}));
    CHECK_FALSE(history.cancel({sender, 2}));
    CHECK_FALSE(history.cancel({sender, last - 1}));
    CHECK(history.cancel({sender, last}));
    CHECK(history.cancel({incarnation_id{3}, 1})); // numbers are those of one sender
}

// Guards against a request that runs although its sender was told that it never will, because the
// record of its cancellation was dropped.
TEST(request_history, forgotten_cancellation_still_holds)
{
    constexpr std::uint64_t last = 10 * recent_numbers::limit;
    for (std::uint64_t number = 1; number <= last; ++number) {
        CHECK(history.cancel({sender, number}));
    }
    CHECK(history.is_cancelled({sender, 1}));
    CHECK(history.is_cancelled({sender, last}));
    CHECK_FALSE(history.is_cancelled({sender, last + 1}));
    CHECK_FALSE(history.is_cancelled({incarnation_id{3}, 1}));
}

// Guards against a table that grows with each restart of a node, and against certainty about the
// senders that it has no room for.
TEST(request_history, nothing_is_certain_of_senders_without_room)
{
    for (std::uint64_t i = 1; i <= request_history::max_senders; ++i) {
        history.on_sent({incarnation_id{i}, 1});
    }
    const incarnation_id late{request_history::max_senders + 1};
    history.on_sent({late, 1});
    CHECK_FALSE(history.cancel({late, 1}));
    CHECK_FALSE(history.cancel({late, 2}));
    CHECK_FALSE(history.is_cancelled({late, 2}));
    CHECK(history.cancel({incarnation_id{1}, 2}));
}
