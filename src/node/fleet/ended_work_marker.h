#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/table_service.h"
#include "citronford/workflow_rows.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace citronford {

/// Marks the rows of workflows whose end is saved, so that the next owner has little to read. Each
/// part of the rows has its own batch and at most one transaction under way: the rows that wait are
/// bounded by the size of a batch and not by the rate at which workflows end.
class ended_work_marker {
  public:
    explicit ended_work_marker(table_service& table) : table_(table) {}

    void add(const job_id& job, instant now);

    /// Writes what is due.
    void tick(instant now);

    /// Ends all activity.
    void stop() { alive_.reset(); }

  private:
    struct part_batch {
        std::vector<job_id> jobs;
        bool in_flight = false;
        instant not_before{}; ///< A batch that is not full waits until then.
        bool failed = false;  ///< The last write failed: a full batch waits, too.
    };

    void write(std::size_t part, instant now);

    table_service& table_;
    std::array<part_batch, work_parts> parts_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
