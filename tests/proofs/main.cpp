// Runs the registered proof points with rising seeds; see docs/proofs.md.
#include "proofs/proof.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace citronford {

std::vector<proof_point>& proof_points() {
    static std::vector<proof_point> points;
    return points;
}

bool& tracing() {
    static bool enabled = false;
    return enabled;
}

} // namespace citronford

namespace {

namespace po = boost::program_options;
using namespace citronford;

struct proof_options {
    std::uint64_t seed = 1;
    std::uint64_t runs = 100;
    std::string point;
    std::string fault;
    bool until_found = false;
};

struct proof_totals {
    std::uint64_t runs = 0;
    std::uint64_t steps = 0;
    std::uint64_t violations = 0;
};

void run_point(const proof_point& point, const proof_options& options, proof_totals& totals) {
    for (std::uint64_t seed = options.seed; seed < options.seed + options.runs; ++seed) {
        invariant_monitor::reset();
        std::string broken;
        invariant_monitor::set_reporter([&](std::string_view promise, std::string_view detail) {
            if (broken.empty()) {
                broken = std::string(promise) + ": " + std::string(detail);
            }
        });
        const proof_result result = point.run(seed);
        const std::uint64_t violations = result.violations + invariant_monitor::violations();
        ++totals.runs;
        totals.steps += result.steps;
        totals.violations += violations;
        if (violations > 0 && totals.violations == violations) {
            std::cout << "violation point=" << point.name << " seed=" << seed << " detail=\""
                      << (result.detail.empty() ? broken : result.detail)
                      << "\" replay=\"scripts/prove --seed " << seed << " --runs 1 --point "
                      << point.name << (options.fault.empty() ? "" : " --break " + options.fault)
                      << "\"\n";
        }
        if (options.until_found && totals.violations > 0) {
            break;
        }
    }
    invariant_monitor::set_reporter({});
}

} // namespace

int main(int argc, char** argv) {
    proof_options options;
    po::options_description description("citronford_prove");
    auto add = description.add_options();
    add("help", "show this text");
    add("seed", po::value(&options.seed)->default_value(1), "first seed");
    add("runs", po::value(&options.runs)->default_value(100), "runs of each point");
    add("point", po::value(&options.point), "only this point");
    add("break", po::value(&options.fault), "plant the fault of this name");
    add("until-found", po::bool_switch(&options.until_found), "stop at the first violation");
    add("trace", po::bool_switch(&tracing()), "print the events of the simulations");
    add("list", "list the points");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "citronford_prove: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    auto& points = proof_points();
    std::ranges::sort(points, {}, &proof_point::name);
    if (values.count("list") != 0) {
        for (const auto& point : points) {
            std::cout << point.name << '\n';
        }
        return 0;
    }
    plant_fault(options.fault);
    proof_totals totals;
    for (const auto& point : points) {
        if (options.point.empty() || options.point == point.name) {
            run_point(point, options, totals);
        }
    }
    if (totals.runs == 0) {
        std::cerr << "citronford_prove: no point has the name '" << options.point << "'\n";
        return 2;
    }
    std::cout << "prove: runs=" << totals.runs << " steps=" << totals.steps
              << " violations=" << totals.violations << '\n';
    return totals.violations == 0 ? 0 : 1;
}
