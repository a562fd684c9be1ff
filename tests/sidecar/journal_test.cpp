#include "sidecar/journal.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(journal)
{
    std::string written;
    std::size_t free_bytes = 1000000;

    line_sink sink()
    {
        return [this](std::string_view bytes) {
            const auto size = std::min(free_bytes, bytes.size());
            written.append(bytes.substr(0, size));
            free_bytes -= size;
            return size;
        };
    }
    static time_point at(long ms)
    {
        return time_point(milliseconds{ms});
    }
    long lines() const
    {
        return std::count(written.begin(), written.end(), '\n');
    }
};

// Guards against a log volume that grows with the load.
TEST(journal, lines_of_one_event_are_bounded_and_counted)
{
    journal log("h", sink(), {std::size_t{64} * 1024, 5});
    for (int i = 0; i < 100; ++i) {
        log.write(at(1000 + i), "refused", {{"request", i}});
    }
    log.flush(at(1200));
    LONGS_EQUAL(5, lines());
    log.flush(at(2100));
    LONGS_EQUAL(6, lines());
    CHECK(written.find(R"("event":"lines_withheld","of":"refused","count":95)") !=
          std::string::npos);
}

// Guards against a node that blocks on the reader of its log, or drops lines without reporting
// their number.
TEST(journal, lines_dropped_for_a_stalled_reader_are_counted)
{
    free_bytes = 0;
    journal log("h", sink(), {1000, 1000});
    for (int i = 0; i < 100; ++i) {
        log.write(at(1000), "refused", {{"request", i}});
        log.flush(at(1000));
    }
    CHECK(log.dropped() > 80);
    free_bytes = 1000000;
    log.flush(at(1500));
    log.flush(at(1600));
    CHECK(written.find("\"event\":\"lines_dropped\",\"count\":" + std::to_string(log.dropped())) !=
          std::string::npos);
}
