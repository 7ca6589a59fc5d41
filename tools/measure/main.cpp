// Runs the registered scenarios and compares their figures with the targets.
#include "measure/measure.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace citronford {

std::vector<measure_scenario>& measure_scenarios() {
    static std::vector<measure_scenario> scenarios;
    return scenarios;
}

} // namespace citronford

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    using namespace citronford;

    std::string only;
    po::options_description description("citronford_measure");
    auto add = description.add_options();
    add("help", "show this text");
    add("scenario", po::value(&only), "only the scenario of this name");
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
    int failed = 0;
    for (const measure_scenario& scenario : scenarios) {
        if (!only.empty() && scenario.name != only) {
            continue;
        }
        for (const measurement& figure : scenario.run()) {
            std::cout << figure.name << '=' << figure.value << " baseline=" << figure.baseline
                      << " bound=" << figure.bound << (figure.met() ? "" : " missed") << std::endl;
            failed += figure.met() ? 0 : 1;
        }
    }
    std::cout << "measure: failed=" << failed << '\n';
    return failed == 0 ? 0 : 1;
}
