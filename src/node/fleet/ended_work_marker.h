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

/// Marks the rows of ended workflows after their end has been saved, so that the next owner has
/// less to read. Each part of the rows has its own batch and at most one transaction under way. A
/// full batch is written without delay, so the number of waiting rows is bounded by the size of a
/// batch and not by the rate at which workflows end.
class ended_work_marker {
  public:
    explicit ended_work_marker(table_service& table) : table_(table) {}

    void add(const job_id& job, instant now);

    /// Writes the batches that are full or due.
    void tick(instant now);

    /// Stops all activity.
    void stop() { alive_.reset(); }

  private:
    struct part_batch {
        std::vector<job_id> jobs;
        bool in_flight = false;
        instant not_before{};    ///< When a batch that is not full is written.
        bool failed = false;     ///< After a failed write, a full batch waits too.
        bool row_by_row = false; ///< After the table rejected several rows, until all are written.
    };

    void write(std::size_t part, instant now);
    static void process_commit(part_batch& batch, std::size_t count, const absl::Status& status,
                               instant sent_at);

    table_service& table_;
    std::array<part_batch, work_part_count> parts_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
