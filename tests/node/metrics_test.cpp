#include "node/metrics.h"

#include <cmath>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::node;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(metrics){};

// Guards against text that Prometheus cannot parse.
TEST(metrics, text_follows_the_format)
{
    metrics all;
    all.value(metric::requests, {"ladder-front", "answered"}).add(3);
    all.value(metric::store_up).set(1);
    all.summary(metric::request_seconds, {"ladder-front"}).observe(0.25);
    const std::string text = all.text();
    CHECK(contains(text,
                   "# TYPE bulrushgw_requests_total counter\n"
                   "bulrushgw_requests_total{service=\"ladder-front\",outcome=\"answered\"} 3\n"));
    CHECK(contains(text, "\nbulrushgw_store_up 1\n"));
    CHECK(contains(text,
                   "bulrushgw_request_seconds{service=\"ladder-front\",quantile=\"0.99\"} 0.25\n"));
    CHECK(contains(text, "bulrushgw_request_seconds_count{service=\"ladder-front\"} 1\n"));
    CHECK_FALSE(contains(text, "bulrushgw_pauses_total"));
}

// Guards against a label value that makes its line unparsable.
TEST(metrics, label_values_are_escaped)
{
    metrics all;
    all.value(metric::retries, {"a\"b\\c\nd"}).add();
    CHECK(contains(all.text(), "{service=\"a\\\"b\\\\c?d\"} 1\n"));
}

// Guards against label values from requests that exhaust the memory.
TEST(metrics, number_of_series_is_limited)
{
    metrics all;
    for (std::size_t i = 0; i < max_series + 100; ++i) {
        all.value(metric::refusals, {"s", "r" + std::to_string(i)}).add();
    }
    CHECK(contains(all.text(), "{service=\"other\",reason=\"other\"} 100\n"));
    CHECK(contains(all.text(), "bulrushgw_series_dropped_total 100\n"));
}

// Guards against a call with the wrong kind of metric or number of labels.
TEST(metrics, wrong_kind_or_label_count_throws)
{
    metrics all;
    CHECK_THROWS(metric_error, all.value(metric::request_seconds, {"s"}));
    CHECK_THROWS(metric_error, all.summary(metric::requests, {"s", "o"}));
    CHECK_THROWS(metric_error, all.value(metric::requests, {"s"}));
}

// Guards against references that become invalid when further series are added.
TEST(metrics, references_stay_valid)
{
    metrics all;
    metric_value& first = all.value(metric::retries, {"a"});
    for (int i = 0; i < 200; ++i) {
        all.value(metric::retries, {"b" + std::to_string(i)});
    }
    first.add(7);
    CHECK(&first == &all.value(metric::retries, {"a"}));
}

// Guards against quantiles that are wrong for few values or inaccurate for many.
TEST(metrics, quantiles_are_accurate)
{
    metric_summary few;
    CHECK(std::isnan(few.quantile(0)));
    for (const double value : {3.0, 1.0, 2.0}) {
        few.observe(value);
    }
    DOUBLES_EQUAL(2.0, few.quantile(0), 1e-9);
    DOUBLES_EQUAL(3.0, few.quantile(3), 1e-9);

    metric_summary many;
    std::mt19937 random(5);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int i = 0; i < 100000; ++i) {
        many.observe(uniform(random));
    }
    for (std::size_t i = 0; i < summary_quantiles.size(); ++i) {
        DOUBLES_EQUAL(summary_quantiles.at(i), many.quantile(i), 0.01);
    }
}
