#include "routing/route_index.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::routing;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.destinations = {{name, 1}};
    return result;
}

std::string found_name(const route_index& index, const char* host, const char* path)
{
    const auto* match = index.find(host, path);
    return match == nullptr ? "" : match->name;
}

} // namespace

TEST_GROUP(route_index)
{
    manifest content;
    void setup() override
    {
        content.routes = {make_route("a", "x.example", "/a/"),
                          make_route("ab", "x.example", "/a/b/"),
                          make_route("root", "y.example", "/")};
    }
};

// Guards against routing a request by a shorter prefix or to another host's service.
TEST(route_index, host_and_longest_prefix_are_matched)
{
    const route_index index(content);
    STRCMP_EQUAL("a", found_name(index, "x.example", "/a/1").c_str());
    STRCMP_EQUAL("ab", found_name(index, "x.example", "/a/b/1?q=/a/").c_str());
    STRCMP_EQUAL("a", found_name(index, "X.Example:8080", "/a/bc").c_str());
    STRCMP_EQUAL("root", found_name(index, "y.example", "/a/b/1").c_str());
    STRCMP_EQUAL("", found_name(index, "x.example", "/a").c_str());
    STRCMP_EQUAL("", found_name(index, "x.example", "/b/a/").c_str());
    STRCMP_EQUAL("", found_name(index, "z.example", "/a/1").c_str());
    STRCMP_EQUAL("", found_name(index, "", "").c_str());
}

// Guards against shares of requests that differ from the weights of the destinations.
TEST(route_index, requests_are_divided_by_weight)
{
    route split = make_route("s", "x", "/");
    split.destinations = {{"one", 90}, {"two", 10}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
        ++counts[choose_destination(split, i / 1000.0).service];
    }
    LONGS_EQUAL(900, counts["one"]);
    LONGS_EQUAL(100, counts["two"]);
    STRCMP_EQUAL("two", choose_destination(split, 1.0).service.c_str());
}
