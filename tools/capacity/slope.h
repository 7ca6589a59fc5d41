#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace citronford {

/// Cost of one size of a scenario.
struct cost_sample {
    double size = 0;          ///< Independent variable, for example the number of workers.
    double cpu_us = 0;        ///< Processor time of the decisions, in microseconds.
    double heap_bytes = 0;    ///< Heap held by the state.
    double message_bytes = 0; ///< Payload of one exchange of messages.
};

/// Least-squares line through samples of one quantity.
struct line_fit {
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< Largest deviation of a sample, relative to the largest fitted value.
};

line_fit fit_line(std::span<const double> sizes, std::span<const double> values);

/// A role of the daemon whose cost grows with one size of the fleet.
struct capacity_probe {
    std::string role;
    std::string variable;           ///< What the size counts.
    std::string cost_unit;          ///< What the processor time is spent on, for example "pass".
    std::vector<std::size_t> sizes; ///< At least three.
    std::function<cost_sample(std::size_t size)> sample;
};

/// All probes, registered by static objects of the probe files.
std::vector<capacity_probe>& capacity_probes();

/// Registers a probe at start-up.
struct capacity_registration {
    explicit capacity_registration(capacity_probe probe) {
        capacity_probes().push_back(std::move(probe));
    }
};

/// Bytes that the process holds on the heap through operator new.
std::size_t heap_in_use();

/// Processor time of this process in microseconds.
double cpu_time_us();

/// Builds a state with `build` and runs `pass` on it `passes` times: heap is that of the state
/// after the passes, processor time is the mean of one pass.
template <class Build, class Pass>
cost_sample sampled(std::size_t size, std::size_t passes, Build build, Pass pass) {
    const std::size_t heap_before = heap_in_use();
    auto state = build();
    pass(*state);
    const double begun = cpu_time_us();
    for (std::size_t index = 0; index < passes; ++index) {
        pass(*state);
    }
    const double spent = cpu_time_us() - begun;
    return {static_cast<double>(size), spent / static_cast<double>(passes),
            static_cast<double>(heap_in_use() - heap_before)};
}

} // namespace citronford
