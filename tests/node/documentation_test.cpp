#include <filesystem>
#include <fstream>
#include <sstream>

#include "node/audit_trail.h"
#include "node/event_log.h"
#include "node/metrics.h"
#include "node/settings.h"
#include "rules/parser.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::node;

namespace {

/// Reads a page from the root of the repository. Tests run in the root, or in the build folder if
/// ctest starts them.
std::string read_page(const std::string& name)
{
    const bool in_root = std::filesystem::exists(name);
    std::ifstream file(in_root ? name : "../" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the first indented block after `heading` that starts with `first_word`.
std::string indented_block(const std::string& page, const std::string& heading,
                           const std::string& first_word)
{
    const std::size_t start = page.find("    " + first_word, page.find(heading));
    std::istringstream lines(start == std::string::npos ? "" : page.substr(start));
    std::string block;
    for (std::string line; std::getline(lines, line) && line.starts_with("    ");) {
        block += line.substr(4) + "\n";
    }
    return block;
}

} // namespace

TEST_GROUP(documentation){};

// Guards against documentation that differs from the tables in the code.
TEST(documentation, tables_equal_the_code)
{
    const std::string page = read_page("docs/operators.md");
    CHECK(page.find(settings_markdown()) != std::string::npos);
    CHECK(page.find(metrics_markdown()) != std::string::npos);
    CHECK(page.find(events_markdown()) != std::string::npos);
    for (std::size_t i = 0; i < audit_kind_count; ++i) {
        CHECK(page.find(to_string(static_cast<audit_kind>(i))) != std::string::npos);
    }
}

// Guards against examples in the documentation that the program rejects.
TEST(documentation, examples_are_valid)
{
    const auto values =
        parse_settings(indented_block(read_page("docs/operators.md"), "## Settings", "{"), "page");
    STRCMP_EQUAL("ladder-1", values.host.c_str());
    const auto checked = rules::parse_and_check(
        indented_block(read_page("README.md"), "## A rules file", "service"));
    LONGS_EQUAL(0, checked.problems.size());
    LONGS_EQUAL(3, checked.rules.routes.size());
}
