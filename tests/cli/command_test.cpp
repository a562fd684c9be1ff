#include "cli/command_line.h"
#include "cli/table.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::cli;

namespace {

/// A file that is removed at the end of the test.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
    {
        char name[] = "/tmp/bulrushgw_cli_test_XXXXXX";
        close(mkstemp(name));
        path_ = name;
        std::ofstream(path_) << text;
    }
    ~temporary_file() { std::remove(path_.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

const std::string settings_text = R"({"host":"ladder-1","zone":"nbo-a","region":"nairobi",
    "addresses":{"clients":"127.0.0.1:8000","operator":"127.0.0.1:8001",
                 "inner":"127.0.0.1:8002","announce":"127.0.0.1:8003"},
    "store":{"address":"127.0.0.1:7000"}})";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(command)
{
    std::ostringstream out;
    std::ostringstream err;
    int node_runs = 0;

    int call(const std::vector<std::string>& arguments)
    {
        out.str("");
        err.str("");
        return cli::run(arguments, out, err, [this](const node::settings&) {
            ++node_runs;
            return 0;
        });
    }
};

// Guards against reporting wrong usage in a way that scripts cannot distinguish from a refusal.
TEST(command, wrong_usage_is_exit_code_2)
{
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"ruls"},
        {"rules"},
        {"rules", "chek", "f"},
        {"rules", "check"},
        {"rules", "check", "a", "b"},
        {"status", "--jsn"},
        {"status", "--config=x"},
        {"status", "--node"},
        {"status", "--node=localhost"},
        {"status", "--timeout-ms=soon"},
        {"status", "extra"},
        {"node"},
        {"rules", "check", "/does/not/exist"},
        {"explain"},
        {"explain", "--path=/a"},
        {"explain", "--node=127.0.0.1:1"},
        {"hosts", "assert-ended", "00000000000000ab", "--operator=amina"}};
    for (const auto& arguments : wrong) {
        LONGS_EQUAL(2, call(arguments));
        CHECK(contains(err.str(), "bulrushgw: "));
    }
    call({"rules", "chek"});
    CHECK(contains(err.str(), "rules check, rules submit"));
}

// Guards against a flag that is still set in the next command.
TEST(command, flags_are_restored)
{
    temporary_file bad("servise\n");
    LONGS_EQUAL(1, call({"rules", "check", bad.path(), "--json"}));
    CHECK(contains(out.str(), "\"rules-invalid\""));
    LONGS_EQUAL(1, call({"rules", "check", bad.path()}));
    STRCMP_EQUAL("", out.str().c_str());
}

// Guards against a command or a flag without help.
TEST(command, help_covers_every_command_and_flag)
{
    LONGS_EQUAL(0, call({"--help"}));
    const std::string all = out.str();
    for (const command& each : commands()) {
        CHECK(contains(all, std::string(each.name)));
        std::vector<std::string> arguments;
        std::istringstream words{std::string(each.name)};
        for (std::string word; words >> word;) {
            arguments.push_back(word);
        }
        arguments.emplace_back("--help");
        LONGS_EQUAL(0, call(arguments));
        CHECK(contains(out.str(), "Usage: bulrushgw " + std::string(each.name)));
        CHECK_FALSE(contains(out.str(), "_"));
    }
    LONGS_EQUAL(0, call({"--version"}));
    STRCMP_EQUAL("bulrushgw " BULRUSHGW_VERSION "\n", out.str().c_str());
}

// Guards against a command that is missing in the operators' page.
TEST(command, operators_page_names_every_command)
{
    // The working directory is the root of the repository, or the build directory under ctest.
    const std::string name = "docs/operators.md";
    std::ifstream file(std::filesystem::exists(name) ? name : "../" + name);
    std::ostringstream page;
    page << file.rdbuf();
    for (const command& each : commands()) {
        CHECK(contains(page.str(), "| `bulrushgw " + std::string(each.name)));
    }
}

// Guards against a check that stops at the first problem, or that accepts a file which a node
// refuses.
TEST(command, rules_check_reports_all_problems_offline)
{
    temporary_file good("service results-desk balanced deadline=2s # Amina Otieno: results\n"
                        "route POST /results to results-desk once # Amina Otieno: results\n");
    LONGS_EQUAL(0, call({"rules", "check", good.path()}));
    CHECK(contains(out.str(), "1 services, 1 routes, no problems"));
    temporary_file bad("service a keyed ranges=0 # A: b\nroute GET x to nowhere # A: b\n");
    LONGS_EQUAL(1, call({"rules", "check", bad.path()}));
    CHECK(contains(err.str(), bad.path() + ":1:"));
    CHECK(contains(err.str(), bad.path() + ":2:"));
}

// Guards against a node that starts with invalid settings, and against a check of the settings
// that starts the node.
TEST(command, node_checks_settings_before_it_runs)
{
    temporary_file good(settings_text);
    LONGS_EQUAL(0, call({"node", "--config", good.path(), "--check"}));
    LONGS_EQUAL(0, node_runs);
    LONGS_EQUAL(0, call({"node", "--config=" + good.path(), "--print-settings"}));
    CHECK(contains(out.str(), "\"renewal\": \"200ms\""));
    LONGS_EQUAL(0, node_runs);
    LONGS_EQUAL(0, call({"node", "--config", good.path()}));
    LONGS_EQUAL(1, node_runs);

    temporary_file bad(R"({"host":7})");
    LONGS_EQUAL(2, call({"node", "--config", bad.path()}));
    CHECK(contains(err.str(), bad.path() + ": host: found 7, expected"));
    CHECK(contains(err.str(), bad.path() + ": zone: found nothing, expected"));
    LONGS_EQUAL(2, call({"node", "--config", "/does/not/exist"}));
    LONGS_EQUAL(1, node_runs);
}

// Guards against submitting an edit without the version that was edited.
TEST(command, submit_needs_a_base_version)
{
    temporary_file good("service results-desk balanced # Amina Otieno: results\n");
    LONGS_EQUAL(2, call({"rules", "submit", good.path(), "--operator=amina"}));
    CHECK(contains(err.str(), "--base"));
}

// Guards against reporting an unreachable node as a refusal.
TEST(command, unreachable_node_is_exit_code_3)
{
    // Port 1 on loopback has no listener.
    LONGS_EQUAL(3, call({"status", "--node=127.0.0.1:1", "--timeout-ms=500"}));
    CHECK(contains(err.str(), "node 127.0.0.1:1"));
    LONGS_EQUAL(3, call({"status", "--node=127.0.0.1:1", "--timeout-ms=500", "--json"}));
    CHECK(contains(out.str(), "\"unreachable\""));
}

// Guards against misaligned columns after characters outside ASCII, and against control characters
// that change the terminal.
TEST(command, tables_are_aligned)
{
    table rows({"HOST", "STATE"});
    rows.add({"Nyayo-Ü", "active"});
    rows.add({"a", "x\x1b[2J"});
    STRCMP_EQUAL("HOST     STATE\nNyayo-Ü  active\na        x?[2J\n", rows.text().c_str());
}
