#include "mocks.h"

#include "citronford/buffer_control.h"
#include "io/demand_codec.h"
#include "node/buffer_driver.h"

#include <algorithm>

using namespace citronford;

namespace {

const pool_id quote("quote");
const node_id self("self");
const node_id peer("peer");
const vm_placement three_zones{3, 1};

/// The buffer control of one node and a table that commits every write.
struct buffer_fixture {
    buffer_control control{{.node = self, .window = 4}};
    instant now{seconds(1)};
    table_version version = 0;
    std::vector<write_demand> writes;
    std::vector<erase_demand> deletions;
    std::vector<pool_requirement> requirements;

    explicit buffer_fixture(std::vector<node_id> live = {self, peer}) {
        control.handle(buffer_live_nodes{std::move(live)}, now);
    }

    void sample(double vms) { control.handle(demand_sampled{{{quote, vms}}}, now); }

    void read(const node_id& node, double vms) {
        control.handle(demand_rows_read{{{{node, {{quote, vms}}}, ++version, false}}}, now);
    }

    void end_interval() {
        now += seconds(10);
        for (const buffer_effect& effect :
             control.handle(demand_interval_ended{{{quote, three_zones}}}, now)) {
            if (const auto* write = std::get_if<write_demand>(&effect)) {
                writes.push_back(*write);
                control.handle(demand_rows_read{{{write->record, ++version, false}}}, now);
            } else if (const auto* erase = std::get_if<erase_demand>(&effect)) {
                deletions.push_back(*erase);
            } else {
                requirements = std::get<update_requirements>(effect).pools;
            }
        }
    }
};

} // namespace

// Guards against a buffer that covers the demand of only one node, or the mean demand instead of
// the peak.
Test(buffer_control, plans_for_the_highest_demand_of_all_nodes) {
    buffer_fixture fixture;
    fixture.read(peer, 2);
    fixture.sample(0.5);
    fixture.sample(3.8);
    fixture.sample(0.5);
    fixture.end_interval();
    const pool_buffer& buffer = fixture.control.buffers().at(quote);
    // 5.8 VMs plus the margin need 6 VMs; of 9 VMs in three zones, 6 remain after the loss of a
    // zone.
    cr_assert(buffer.plan.burst == 6 && buffer.plan.largest_loss == 3 && buffer.plan.total == 9);
    cr_assert(fixture.requirements.size() == 1 && fixture.requirements[0].vms == 9);
}

// Guards against a buffer that never shrinks, and against one that drops a burst before the end of
// the window.
Test(buffer_control, keeps_a_burst_for_the_length_of_the_window) {
    buffer_fixture fixture;
    fixture.sample(4);
    fixture.end_interval();
    for (int interval = 0; interval < 3; ++interval) {
        fixture.end_interval();
        cr_assert(fixture.control.buffers().at(quote).plan.burst == 5);
    }
    fixture.end_interval();
    cr_assert(fixture.control.buffers().empty() && fixture.requirements.empty());
}

// Guards against the demand of a dead node being counted, and against its row never being deleted.
Test(buffer_control, leaves_out_and_deletes_the_row_of_a_dead_node) {
    buffer_fixture fixture({self});
    fixture.read(peer, 8);
    fixture.sample(1);
    fixture.end_interval();
    cr_assert(fixture.control.buffers().at(quote).plan.burst == 2);
    cr_assert(fixture.deletions.empty(),
              "the row was deleted although the node may still register");
    fixture.now += seconds(600);
    fixture.end_interval();
    cr_assert(fixture.deletions.size() == 1 && fixture.deletions[0].node == peer);
}

// Guards against table writes of an unchanged demand.
Test(buffer_control, writes_its_row_only_when_the_demand_changed) {
    buffer_fixture fixture;
    for (int interval = 0; interval < 5; ++interval) {
        fixture.sample(1.2);
        fixture.end_interval();
    }
    cr_assert(fixture.writes.size() == 1);
    fixture.end_interval();
    cr_assert(fixture.writes.size() == 1, "the last interval with demand still counts");
    fixture.end_interval();
    cr_assert(fixture.writes.size() == 2 && fixture.writes[1].expected != absent_row);
}

// Guards against a burst that the other nodes never see: their intervals are not aligned with those
// of the writer, and a late reading may fall behind the write of the next interval.
Test(buffer_control, keeps_a_burst_in_its_row_for_a_second_interval) {
    buffer_fixture writer;
    writer.sample(1.2);
    writer.end_interval();
    writer.end_interval();
    cr_assert(writer.writes.back().record.pools == std::vector<pool_load>({{quote, 1.2}}));
    writer.end_interval();
    cr_assert(writer.writes.back().record.pools.empty());
}

// Guards against an endless search for a buffer of a pool in a single zone, whose loss no buffer
// survives.
Test(buffer_control, plans_for_the_loss_of_a_rack_in_a_single_zone) {
    cr_assert(vms_surviving_loss(4, {1, 2}) == 6);
    cr_assert(vms_surviving_loss(4, {0, 0}) == 4);
}

// Guards against demand of services or workers that is not converted to VMs or not assigned to its
// pool.
Test(buffer_control, counts_slots_and_workers_as_vms) {
    fleet_configuration fleet;
    fleet.defaults.services = {{service_id("a"), quote}, {service_id("b"), quote}};
    fleet.defaults.pools = {{quote, 2, 1, pool_id(), false},
                            {pool_id("large"), 3, 1, pool_id(), true},
                            {pool_id("small"), 1, 1, pool_id(), true}};
    const auto loads = loads_of(fleet, {{service_id("a"), 12}, {service_id("b"), 4}}, 8);
    cr_assert(loads ==
              std::vector<pool_load>({{pool_id("large"), 6}, {quote, 2}, {pool_id("small"), 2}}));
}

// Guards against a demand row that other nodes cannot parse, and against a malformed row that
// terminates the daemon.
Test(buffer_control, reads_the_rows_that_it_writes) {
    const table_write write = demand_row_write({peer, {{quote, 1.5}}});
    const auto row = parse_demand_row({write.key, write.value, 3});
    cr_assert(row.ok() && row->record.node == peer && row->record.pools[0].vms == 1.5);
    cr_assert(!parse_demand_row({write.key, R"({"quote":"x"})", 3}).ok());
    cr_assert(parse_demand_row({write.key, std::nullopt, 3})->deleted);
}
