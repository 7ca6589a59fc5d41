#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace citronford {

/// Counts and reports broken invariants of one process. Always on; a broken invariant is reported
/// and counted but does not end the process, so that the remaining requests are still answered.
class invariant_monitor {
  public:
    /// Receives the promise that was broken and a short description.
    using reporter = std::function<void(std::string_view promise, std::string_view detail)>;

    /// Installs the reporter of this process; an empty one only counts.
    static void set_reporter(reporter report);

    /// Counts and reports a violation of `promise` unless `holds`. Returns `holds`.
    static bool check(bool holds, std::string_view promise, std::string_view detail);

    /// Violations since the start of the process or the last `reset`.
    static std::uint64_t violations();

    /// Sets the count to zero; for tests and proof runs.
    static void reset();
};

} // namespace citronford
