#pragma once

#include "citronford/buffer_planner.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/table_service.h"
#include "citronford/vm_table.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace citronford {

/// Demand of the queues of one pool, in VMs.
struct pool_load {
    pool_id pool;
    double vms = 0;

    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// Row `demand/{node}`: the peak demand of the queues of one node in its last two intervals. A node
/// that reads the rows once an interval thus sees each peak, wherever its own intervals begin.
struct demand_record {
    node_id node;
    std::vector<pool_load> pools;
};

// Inputs.

/// The peak demand of the queues of this node since the last sample.
struct demand_sampled {
    std::vector<pool_load> pools;
};
/// The demand rows that changed, of any node.
struct demand_rows_read {
    struct row {
        demand_record record;
        table_version version = 0;
        bool deleted = false;
    };
    std::vector<row> rows;
};
/// The live nodes of the fleet.
struct buffer_live_nodes {
    std::vector<node_id> nodes;
};
/// An interval ended and the demand rows were read. Buffers are planned for the pools in
/// `placements`.
struct demand_interval_ended {
    std::map<pool_id, vm_placement> placements;
};

using buffer_input =
    std::variant<demand_sampled, demand_rows_read, buffer_live_nodes, demand_interval_ended>;

// Effects.

/// Writes the demand row of this node if its version is still `expected`.
struct write_demand {
    demand_record record;
    table_version expected = absent_row;
};
/// Deletes the demand row of a node that has left the fleet if its version is still `expected`.
struct erase_demand {
    node_id node;
    table_version expected = absent_row;
};
/// Number of VMs that a pool needs, including its buffer.
struct pool_requirement {
    pool_id pool;
    std::int64_t vms = 0;
};
/// Passes the requirements of all pools to the pool controller.
struct update_requirements {
    std::vector<pool_requirement> pools;
};

using buffer_effect = std::variant<write_demand, erase_demand, update_requirements>;

/// The buffer of one pool as reported to operators.
struct pool_buffer {
    double demand = 0; ///< Sum of the peak demands of all nodes in the last interval, in VMs.
    std::size_t samples = 0;
    buffer_plan plan;
};

struct buffer_control_options {
    node_id node;
    /// Intervals that a plan covers: one hour of 10 s intervals.
    std::size_t window = 360;
    /// A row keeps the pools with the highest demand.
    std::size_t max_pools_per_row = 256;
    /// How long the row of a node that is not live is kept.
    duration dead_node_retention{600000000};
    buffer_options planner;
};

/// Plans the buffers of the pools from the demand of the queues of all nodes. Each node sums the
/// peak demands of all nodes in an interval. The sum of the peaks is never below the peak of the
/// sum, so the demand of the fleet is not underestimated.
class buffer_control {
  public:
    explicit buffer_control(buffer_control_options options);

    /// Processes one input. The caller performs the returned effects in order.
    std::vector<buffer_effect> handle(const buffer_input& input, instant now);

    [[nodiscard]] const std::map<pool_id, pool_buffer>& buffers() const { return buffers_; }

  private:
    using effects_out = std::vector<buffer_effect>&;

    struct node_demand {
        demand_record record;
        table_version version = absent_row;
        instant seen_at{}; ///< When the row was last read or its node was last live.
    };

    void process(const demand_sampled& sample, instant now, effects_out effects);
    void process(const demand_rows_read& read, instant now, effects_out effects);
    void process(const buffer_live_nodes& listing, instant now, effects_out effects);
    void process(const demand_interval_ended& interval, instant now, effects_out effects);

    void close_interval();
    void plan(const std::map<pool_id, vm_placement>& placements);
    [[nodiscard]] demand_record own_record() const;

    buffer_control_options options_;
    std::set<node_id> live_;
    std::map<node_id, node_demand> nodes_;
    std::map<pool_id, double> peaks_;               ///< Peak demand of this node in this interval.
    std::map<pool_id, double> previous_peaks_;      ///< The same in the interval before.
    std::map<pool_id, std::deque<double>> windows_; ///< Fleet demand in the last intervals.
    std::map<pool_id, pool_buffer> buffers_;
};

/// The number of zones of `pool` and the size of its largest rack.
vm_placement placement_of(const vm_table& vms, const pool_id& pool);

} // namespace citronford
