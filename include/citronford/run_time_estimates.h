#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/workflow.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace citronford {

/// Steps whose tasks take a similar multiple of their estimate.
struct step_kind {
    std::string name;
    /// Run times are learned in multiples of this time.
    duration unit{};
};

/// The kind of step `number` of a workflow of `queue`: its image, or else the queue and the number.
/// Steps without an estimate are kinds of their own, with a unit of 1 ms.
step_kind kind_of(const workflow_step& step, const queue_id& queue, std::uint32_t number);

/// Learns the run times of kinds of steps from the ends of their runs. Workflows of one kind differ
/// in size, so what is learned is the ratio of the measured run time to the estimate.
class run_time_estimates {
  public:
    /// Remembers at most `max_kinds` kinds; evicts the one whose last use is the oldest.
    explicit run_time_estimates(std::size_t max_kinds = default_max_kinds)
        : max_kinds_(max_kinds) {}

    /// Takes in the run time of a run that ended as done. Other ends say nothing about the work.
    void add(const step_kind& kind, duration run_time);

    /// The median run time of the kind; nothing before five ends.
    [[nodiscard]] std::optional<duration> expected(const step_kind& kind);

    [[nodiscard]] std::size_t kinds() const { return histories_.size(); }

  private:
    /// About 100 bytes each; a deployment has some dozens of kinds.
    static constexpr std::size_t default_max_kinds = 512;
    /// Enough for a median to which a tenth of slow servers and three heavy tasks in a hundred make
    /// little difference, and few enough to follow a change of the work within 16 ends.
    static constexpr std::size_t history_length = 16;
    static constexpr std::size_t min_ends = 5;

    struct history {
        std::array<float, history_length> ratios{}; ///< Of the last ends, overwritten in turn.
        std::size_t ends = 0;
        float median = 0;
        std::uint64_t used = 0; ///< Rises with each use of any kind.
    };

    void evict_oldest();

    std::unordered_map<std::string, history> histories_;
    std::size_t max_kinds_;
    std::uint64_t uses_ = 0;
};

} // namespace citronford
