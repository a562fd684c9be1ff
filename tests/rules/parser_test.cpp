#include "rules/parser.h"

#include <random>

#include "rules/text.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::rules;

namespace {

constexpr const char* example =
    "# ladders and results\n"
    "service ladder-front keyed ranges=64 deadline=800ms    # Amina Otieno: before fixtures\n"
    "service results-desk balanced deadline=2s              # Amina Otieno: secretaries\n"
    "\n"
    "route GET /ladders/{key}/standings to ladder-front idempotent worth=1 # Amina Otieno: looks\n"
    "route POST /ladders/{key}/challenges to ladder-front once worth=5  # Brian Kiptoo: once\n"
    "route POST /results to results-desk once worth=10      # Amina Otieno: must not vanish\n"
    "limit ladder-front queue=24 retry-percent=10 moves-per-hour=60 # Brian Kiptoo: fewer moves\n"
    "pin ladder-front key=nairobi-west zone=nbo-a           # Brian Kiptoo: their network\n";

/// Returns the only problem of a text as "LINE:COLUMN FOUND".
std::string only_problem(const std::string& text)
{
    const auto file = parse_and_check(text);
    if (file.problems.size() != 1) {
        return std::to_string(file.problems.size()) + " problems";
    }
    const auto& only = file.problems.front();
    return std::to_string(only.line) + ":" + std::to_string(only.column) + " " + only.found;
}

/// Returns the only problem of a valid two-line file to which `line` is appended.
std::string problem_of_third_line(const std::string& line)
{
    return only_problem("service a keyed ranges=8 # X\nservice b balanced # X\n" + line + " # X\n");
}

} // namespace

TEST_GROUP(parser){};

// Guards against a grammar that differs from the design document.
TEST(parser, example_of_the_design_is_parsed)
{
    const auto file = parse_and_check(example);
    UNSIGNED_LONGS_EQUAL(0, file.problems.size());
    UNSIGNED_LONGS_EQUAL(2, file.rules.services.size());
    UNSIGNED_LONGS_EQUAL(64, file.rules.services[0].ranges);
    LONGS_EQUAL(2000, file.rules.services[1].deadline.count());
    CHECK(file.rules.routes[0].repeat == repeat_kind::idempotent);
    UNSIGNED_LONGS_EQUAL(10, file.rules.routes[2].worth);
    UNSIGNED_LONGS_EQUAL(24, *file.rules.limits[0].queue);
    STRCMP_EQUAL("nbo-a", file.rules.pins[0].zone.c_str());
    STRCMP_EQUAL("Brian Kiptoo", file.rules.pins[0].asked_by.name.c_str());
    STRCMP_EQUAL("their network", file.rules.pins[0].asked_by.reason.c_str());
    UNSIGNED_LONGS_EQUAL(9, file.rules.pins[0].line);
}

// Guards against a parser that stops at the first problem.
TEST(parser, all_problems_are_reported_at_once)
{
    const auto file = parse_and_check("service Ladder keyed ranges=0 deadline=5 # X\n"
                                      "rout GET / to x once # X\n"
                                      "route GETT nowhere ot nothing twice worth=0 # X\n"
                                      "service ok balanced\n");
    UNSIGNED_LONGS_EQUAL(10, file.problems.size());
    STRCMP_EQUAL("club.rules:1:9: found \"Ladder\", expected a name of at most 64 lower-case "
                 "letters, digits and \"-\" that starts with a letter",
                 format_problem("club.rules", file.problems[0]).c_str());
    STRCMP_EQUAL("club.rules:4:20: found no requester, expected \"# NAME: REASON\" with who asked "
                 "for the rule",
                 format_problem("club.rules", file.problems.back()).c_str());
}

// Guards against problems that are reported at the wrong line or column.
TEST(parser, syntax_problems_have_line_and_column)
{
    STRCMP_EQUAL("3:30 \"1.5s\"",
                 problem_of_third_line("service c  balanced deadline=1.5s").c_str());
    STRCMP_EQUAL("3:30 \"61s\"", problem_of_third_line("service c  balanced deadline=61s").c_str());
    STRCMP_EQUAL(
        "3:30 \"18446744073709551616ms\"",
        problem_of_third_line("service c  balanced deadline=18446744073709551616ms").c_str());
    STRCMP_EQUAL("3:24 \"65537\"", problem_of_third_line("service c keyed ranges=65537").c_str());
    STRCMP_EQUAL("3:16 the end of the rule", problem_of_third_line("service c keyed").c_str());
    STRCMP_EQUAL("3:20 \"ranges=4\"", problem_of_third_line("service c balanced ranges=4").c_str());
    STRCMP_EQUAL("3:32 \"worth=2\"",
                 problem_of_third_line("route GET /x to b once worth=2 worth=2").c_str());
    STRCMP_EQUAL("3:8 the end of the rule", problem_of_third_line("limit a").c_str());
    STRCMP_EQUAL("3:11 \"%zz\"", problem_of_third_line("pin a key=%zz zone=z").c_str());
    STRCMP_EQUAL("3:11 \"/x/{key}/{key}\"",
                 problem_of_third_line("route GET /x/{key}/{key} to a once").c_str());
    STRCMP_EQUAL("3:4 a control character", problem_of_third_line("pin\x01 a").c_str());
    STRCMP_EQUAL("1:27 a comment without a name",
                 only_problem("service a keyed ranges=8  # : reason\n").c_str());
    STRCMP_EQUAL("1:1 a file of 786433 bytes",
                 only_problem(std::string(max_file_bytes + 1, '\n')).c_str());
}

// Guards against rules that are syntactically valid but inconsistent.
TEST(parser, semantics_are_checked)
{
    STRCMP_EQUAL("3:9 a second service a", problem_of_third_line("service a balanced").c_str());
    STRCMP_EQUAL("3:17 the unknown service c",
                 problem_of_third_line("route GET /x to c once").c_str());
    STRCMP_EQUAL("3:7 the unknown service c", problem_of_third_line("limit c queue=1").c_str());
    STRCMP_EQUAL("3:11 a path without a key",
                 problem_of_third_line("route GET /x to a once").c_str());
    STRCMP_EQUAL("3:9 moves-per-hour on a balanced service",
                 problem_of_third_line("limit b moves-per-hour=1").c_str());
    STRCMP_EQUAL("3:5 a pin on the balanced service b",
                 problem_of_third_line("pin b key=k zone=z").c_str());
    STRCMP_EQUAL("4:7 a second limit for a",
                 problem_of_third_line("limit a queue=1 # X\nlimit a queue=2").c_str());
    STRCMP_EQUAL("4:7 a second pin of the key k",
                 problem_of_third_line("pin a key=k zone=z # X\npin a key=k zone=y").c_str());
}

// Guards against two keys of the same range that are pinned to different zones.
TEST(parser, pins_of_one_range_have_one_zone)
{
    const std::string file = "service a keyed ranges=1 # X\npin a key=k zone=z # X\n";
    STRCMP_EQUAL("3:13 zone y", only_problem(file + "pin a key=l zone=y # X\n").c_str());
    STRCMP_EQUAL("0 problems", only_problem(file + "pin a key=l zone=z # X\n").c_str());
}

// Guards against a request that matches two routes.
TEST(parser, overlapping_routes_are_refused)
{
    CHECK(patterns_overlap("/l/{key}", "/l/{key}"));
    CHECK(patterns_overlap("/l/{key}/x", "/l/new/x"));
    CHECK(patterns_overlap("/{key}/x", "/l/{key}"));
    CHECK_FALSE(patterns_overlap("/l/{key}", "/l/{key}/x"));
    CHECK_FALSE(patterns_overlap("/l/{key}/x", "/l/{key}/y"));
    STRCMP_EQUAL(
        "4:11 GET /l/new, which matches the same paths as /l/{key}",
        problem_of_third_line("route GET /l/{key} to a once # X\nroute GET /l/new to b once")
            .c_str());
    STRCMP_EQUAL("0 problems", problem_of_third_line(
                                   "route GET /l/{key} to a once # X\nroute PUT /l/{key} to a once")
                                   .c_str());
}

// Guards against a canonical text that parses to different rules.
TEST(parser, canonical_text_parses_to_the_same_rules)
{
    const auto text = canonical_text(parse_and_check(example).rules);
    const auto again = parse_and_check(text);
    UNSIGNED_LONGS_EQUAL(0, again.problems.size());
    STRCMP_EQUAL(text.c_str(), canonical_text(again.rules).c_str());
    const auto windows = parse_and_check("service a balanced # X: y\r\n");
    STRCMP_EQUAL("service a balanced # X: y\n", canonical_text(windows.rules).c_str());
}

// Guards against a crash, an endless loop, a problem with a position outside of the file, or a
// canonical text that does not parse, for randomly modified files.
TEST(parser, damaged_files_are_parsed_or_reported)
{
    std::mt19937_64 random(20261204);
    const std::string words =
        "service keyed balanced ranges=8 route to once pin key=%41 # X: y\n\t\r{}/";
    int clean = 0;
    for (int round = 0; round < 4000; ++round) {
        std::string text = example;
        for (auto edits = random() % 6; edits > 0; --edits) {
            const auto at = random() % (text.size() + 1);
            switch (random() % 4) {
            case 0:
                text.erase(at, random() % 20);
                break;
            case 1:
                text.insert(at, 1, static_cast<char>(random() % 256));
                break;
            case 2: {
                const auto from = random() % words.size();
                text.insert(at, words.substr(from, random() % 12));
                break;
            }
            default:
                text.insert(at, text.substr(random() % (text.size() + 1), random() % 60));
            }
        }
        const auto file = parse_and_check(text);
        const auto lines = split_lines(text);
        for (const auto& problem : file.problems) {
            CHECK(problem.line >= 1 && problem.line <= lines.size());
            CHECK(problem.column >= 1 && problem.column <= lines[problem.line - 1].size() + 1);
            CHECK(!problem.found.empty() && !problem.expected.empty());
        }
        if (file.problems.empty()) {
            ++clean;
            const auto canonical = canonical_text(file.rules);
            const auto again = parse_and_check(canonical);
            CHECK(again.problems.empty());
            STRCMP_EQUAL(canonical.c_str(), canonical_text(again.rules).c_str());
        }
    }
    CHECK(clean > 100 && clean < 3900); // both valid and invalid files occurred
}
