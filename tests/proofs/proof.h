#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Result of one seeded run over the decisions.
struct proof_result {
    std::uint64_t steps = 0;
    std::uint64_t violations = 0;
    std::string detail; ///< First violation, for the replay line.
};

/// One promise and the randomised run that tries to break it. `run` must depend on the seed only.
/// The planted fault of the same name must make some run fail.
struct proof_point {
    std::string name;
    std::function<proof_result(std::uint64_t seed)> run;
};

/// Whether simulations print what happens in them, to trace a violation.
bool& tracing();

/// All points, registered by static objects of the proof files.
std::vector<proof_point>& proof_points();

/// Registers a point at start-up.
struct proof_registration {
    proof_registration(std::string name, std::function<proof_result(std::uint64_t seed)> run) {
        proof_points().push_back({std::move(name), std::move(run)});
    }
};

} // namespace citronford
