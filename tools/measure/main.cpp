// Runs the registered scenarios and compares their figures with the targets.
#include "measure/measure.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace citronford {

std::vector<measure_scenario>& measure_scenarios() {
    static std::vector<measure_scenario> scenarios;
    return scenarios;
}

} // namespace citronford

namespace {

/// The figures listed as `measure/NAME` in the file at `path`; none when it cannot be read.
std::set<std::string> known_red_figures(const std::string& path) {
    constexpr std::string_view prefix = "measure/";
    std::set<std::string> figures;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::string name;
        std::istringstream(line) >> name;
        if (name.starts_with(prefix)) {
            figures.insert(name.substr(prefix.size()));
        }
    }
    return figures;
}

} // namespace

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    using namespace citronford;

    std::string only;
    std::string known_red_path;
    po::options_description description("citronford_measure");
    auto add = description.add_options();
    add("help", "show this text");
    add("scenario", po::value(&only), "only the scenario of this name");
    add("known-red", po::value(&known_red_path),
        "file that lists figures which are printed but do not fail the run");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "citronford_measure: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    auto& scenarios = measure_scenarios();
    std::ranges::sort(scenarios, {}, &measure_scenario::name);
    const std::set<std::string> known_red = known_red_figures(known_red_path);
    int failed = 0;
    for (const measure_scenario& scenario : scenarios) {
        if (!only.empty() && scenario.name != only) {
            continue;
        }
        for (const measurement& figure : scenario.run()) {
            const bool expected_miss = !figure.met() && known_red.contains(figure.name);
            std::cout << figure.name << '=' << figure.value << " baseline=" << figure.baseline
                      << " bound=" << figure.bound
                      << (figure.met()    ? ""
                          : expected_miss ? " missed known-red"
                                          : " missed")
                      << std::endl;
            failed += figure.met() || expected_miss ? 0 : 1;
        }
    }
    std::cout << "measure: failed=" << failed << '\n';
    return failed == 0 ? 0 : 1;
}
