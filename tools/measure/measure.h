#pragma once

#include <functional>
#include <string>
#include <vector>

namespace citronford {

/// One measured figure against its target and a simple baseline of the same scenario.
struct measurement {
    enum class direction { at_most, at_least };

    std::string name;
    double value = 0;
    double baseline = 0;
    double bound = 0;
    direction better = direction::at_most;

    [[nodiscard]] bool met() const {
        return better == direction::at_most ? value <= bound : value >= bound;
    }
};

/// A scenario with a fixed seed over the real decision code with virtual time.
struct measure_scenario {
    std::string name;
    std::function<std::vector<measurement>()> run;
};

/// All scenarios, registered by static objects of the scenario files.
std::vector<measure_scenario>& measure_scenarios();

/// Registers a scenario at start-up.
struct measure_registration {
    measure_registration(std::string name, std::function<std::vector<measurement>()> run) {
        measure_scenarios().push_back({std::move(name), std::move(run)});
    }
};

} // namespace citronford
