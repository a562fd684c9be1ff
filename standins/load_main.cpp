#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "common/errors.h"
#include "standins/load.h"

DEFINE_string(nodes, "", "Client addresses of nodes, separated by commas");
DEFINE_string(deployment, "ladderdesk", "Request mix: ladderdesk, ladder-front or hima-kalapu");
DEFINE_int32(seconds, 10, "Duration of the load in seconds");
DEFINE_double(rate, 200, "Requests per second");
DEFINE_uint64(seed, 1, "Seed of the request mix");
DEFINE_int32(keys, 32, "Number of different keys");
DEFINE_string(records, "", "File of client records: written while sending, read by --report");
DEFINE_bool(report, false, "Check the records against the run logs instead of sending");
DEFINE_string(runs, "", "Run logs of the target stand-ins, separated by commas");
DEFINE_string(marks, "", "Points in time as NAME=BOOT_MS (boot clock), separated by commas");
DEFINE_bool(json, false, "Print the report as JSON");
DEFINE_bool(now, false, "Print the boot clock in milliseconds and exit");

namespace {

using namespace bulrushgw;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::ifstream open_input(const std::string& name)
{
    std::ifstream in(name);
    if (!in) {
        throw error("cannot read " + name);
    }
    return in;
}

int send_load()
{
    standin::load_options options;
    for (const auto& node : split(FLAGS_nodes)) {
        options.nodes.push_back(net::parse_endpoint(node));
    }
    if (options.nodes.empty()) {
        throw error("--nodes names no address");
    }
    options.duration = std::chrono::seconds{FLAGS_seconds};
    options.requests_per_second = FLAGS_rate;
    options.seed = FLAGS_seed;
    options.keys = static_cast<unsigned>(FLAGS_keys);
    options.kinds = standin::load_kinds_of(FLAGS_deployment);
    net::loop loop;
    standin::load_generator generator(loop, options, [&loop] { loop.stop(); });
    generator.start();
    loop.run();
    std::ofstream out(FLAGS_records);
    standin::write_records(out, generator.records());
    out.flush();
    if (!out) {
        throw error("cannot write " + FLAGS_records);
    }
    return 0;
}

int report_load()
{
    auto records_in = open_input(FLAGS_records);
    const auto records = standin::read_records(records_in);
    std::vector<standin::logged_run> runs;
    for (const auto& name : split(FLAGS_runs)) {
        auto in = open_input(name);
        const auto more = standin::read_runs(in);
        runs.insert(runs.end(), more.begin(), more.end());
    }
    std::map<std::string, std::int64_t> marks;
    for (const auto& mark : split(FLAGS_marks)) {
        const auto equals = mark.find('=');
        if (equals == std::string::npos) {
            throw error("mark \"" + mark + "\" is not NAME=BOOT_MS");
        }
        marks[mark.substr(0, equals)] = std::stoll(mark.substr(equals + 1));
    }
    const auto report = standin::make_report(records, runs, marks);
    std::cout << (FLAGS_json ? standin::to_json(report) + "\n" : standin::to_text(report));
    return report.guarantees_hold() ? 0 : 1;
}

std::int64_t boot_now_ms()
{
    return std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch()).count();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (FLAGS_now) {
            std::cout << boot_now_ms() << '\n';
            return 0;
        }
        return FLAGS_report ? report_load() : send_load();
    }
    catch (const std::exception& failure) {
        std::cerr << "load: " << failure.what() << '\n';
        return 2;
    }
}
