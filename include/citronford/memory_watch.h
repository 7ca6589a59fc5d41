#pragma once

#include <cstdint>

namespace citronford {

/// Decides when the memory of a process is worth a line in the log: the platform kills a process
/// that exceeds its limit, and the process cannot say so then.
class memory_watch {
  public:
    /// `limit_bytes` of zero: no limit is known, and nothing is reported.
    explicit memory_watch(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

    /// Whether `resident_bytes` is to be reported: from four fifths of the limit on, and again with
    /// each further twentieth. Below that, the next rise counts as the first.
    [[nodiscard]] bool observe(std::uint64_t resident_bytes);

  private:
    std::uint64_t limit_bytes_;
    std::uint64_t reported_step_ = 0; ///< In twentieths of the limit.
};

} // namespace citronford
