#pragma once

#include "citronford/load_admission.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "io/metrics.h"
#include "node/fleet/table_follower.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace citronford {

/// Follows the load report of the owner on one entry VM and decides which submissions are refused
/// because of it.
class admission_driver {
  public:
    /// The configuration in force; null before the first one.
    using catalog_source = std::function<const queue_catalog*()>;

    admission_driver(load_admission decisions, table_service& table, timer_service& timers,
                     metrics& registry, catalog_source catalog);
    admission_driver(const admission_driver&) = delete;
    admission_driver& operator=(const admission_driver&) = delete;
    admission_driver(admission_driver&&) = delete;
    admission_driver& operator=(admission_driver&&) = delete;
    ~admission_driver() = default;

    void start();

    /// The delay after which a refused workflow may be submitted again; nothing for one that is
    /// admitted. A refusal is logged and counted.
    std::optional<duration> refuse(const accepted_workflow& row);

    /// Updates the gauges.
    void report();

  private:
    void apply_row(const table_row& row);
    /// Logs, once for each version of the configuration, the queues whose objective is no usable
    /// value; on these, everything is admitted.
    void check_objectives(const queue_catalog& catalog);
    void log_refusal(const accepted_workflow& row, const submission_refused_by_load& refusal);

    load_admission decisions_;
    timer_service& timers_;
    metrics& registry_;
    catalog_source catalog_;
    table_follower follower_;
    std::size_t pressed_pools_ = 0;     ///< As last logged.
    std::int64_t checked_version_ = -1; ///< Of the configuration.
};

} // namespace citronford
