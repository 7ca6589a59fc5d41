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

/// What the queues of one pool need at one moment.
struct pool_load {
    pool_id pool;
    double vms = 0;

    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// Row `demand/{node}`: the most that the queues of one node needed within its last interval.
struct demand_record {
    node_id node;
    std::vector<pool_load> pools;
};

// Inputs.

/// The most that the queues of this node needed since the last sample.
struct demand_sampled {
    std::vector<pool_load> pools;
};
/// Rows of all nodes that changed.
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
/// An interval ended and the rows were read; `placements` are those of the pools to plan for.
struct demand_interval_ended {
    std::map<pool_id, vm_placement> placements;
};

using buffer_input =
    std::variant<demand_sampled, demand_rows_read, buffer_live_nodes, demand_interval_ended>;

// Effects.

/// Write the row of this node if it still has `expected`.
struct write_demand {
    demand_record record;
    table_version expected = absent_row;
};
/// Delete the row of a node that has left, if it still has `expected`.
struct erase_demand {
    node_id node;
    table_version expected = absent_row;
};
/// VMs that a pool needs with its buffer.
struct pool_want {
    pool_id pool;
    std::int64_t vms = 0;
};
struct raise_wanted {
    std::vector<pool_want> pools;
};

using buffer_effect = std::variant<write_demand, erase_demand, raise_wanted>;

/// The buffer of one pool as operators see it.
struct pool_buffer {
    double demand = 0; ///< VMs that the queues of all nodes needed in the last interval.
    std::size_t samples = 0;
    buffer_plan plan;
};

struct buffer_control_options {
    node_id node;
    std::size_t window = 360;    ///< Intervals that a plan looks back on: an hour of 10 s each.
    std::size_t row_limit = 256; ///< Pools in a row, at most; those with the highest demand.
    duration forget{600000000};  ///< A row of a node that is not live is deleted after this time.
    buffer_options planner;
};

/// Plans the buffers of the pools from the demand of the queues of all nodes. Every node adds up
/// the highest demand of each node in an interval, so that the sum is never below the highest
/// demand of the fleet.
class buffer_control {
  public:
    explicit buffer_control(buffer_control_options options);

    /// Decides on one input. The effects are to be performed in order.
    std::vector<buffer_effect> handle(const buffer_input& input, instant now);

    [[nodiscard]] const std::map<pool_id, pool_buffer>& buffers() const { return buffers_; }

  private:
    using effects_out = std::vector<buffer_effect>&;

    struct node_demand {
        demand_record record;
        table_version version = absent_row;
        instant seen_at{}; ///< When the row was read or its node last live.
    };

    void take(const demand_sampled& sample, instant now, effects_out effects);
    void take(const demand_rows_read& read, instant now, effects_out effects);
    void take(const buffer_live_nodes& listing, instant now, effects_out effects);
    void take(const demand_interval_ended& interval, instant now, effects_out effects);

    void close_interval();
    void plan(const std::map<pool_id, vm_placement>& placements);
    [[nodiscard]] demand_record own_record() const;

    buffer_control_options options_;
    std::set<node_id> live_;
    std::map<node_id, node_demand> nodes_;
    std::map<pool_id, double> peaks_; ///< Of this node in the present interval.
    std::map<pool_id, std::deque<double>> windows_;
    std::map<pool_id, pool_buffer> buffers_;
};

/// How the VMs of `pool` are placed.
vm_placement placement_of(const vm_table& vms, const pool_id& pool);

} // namespace citronford
