#include "table_fixture.h"

#include "citronford/result_code.h"
#include "io/workflow_codec.h"
#include "node/fleet/ownership_driver.h"

#include <string>

using namespace citronford;

// Guards against a fleet without an owner until the lease expires: the table refused the release at
// a planned stop, for example beyond its rate limit, and it was not written again.
Test(ownership_driver, writes_a_refused_release_again) {
    table_fixture fixture;
    bool stopped = false;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers,
                            {[](fencing_token) {}, [] {}, [&] { stopped = true; }});
    driver.start();
    fixture.answer_scan(table_scan{});
    fixture.answer_commit(committed(7));
    driver.request_stop();
    fixture.answer_commit(make_status(result_code::table_unavailable, "too many calls"));
    cr_assert(!stopped, "the release is not written");
    fixture.timers.advance(milliseconds(300));
    cr_assert(fixture.commits.size() == 1 && fixture.checked.back()[0].version == 7);
    expect_equal(*fixture.written.back()[0].value, *fixture.written[1][0].value);
    fixture.answer_commit(committed(9));
    cr_assert(stopped);
}

// Guards against claims right after a silent outage of the table: the driver has to say how long a
// read was held up (review/6).
Test(ownership_driver, notices_an_outage_that_held_up_a_read) {
    table_fixture fixture;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    options.capacity_permille = 100;
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers, {[](fencing_token) {}, [] {}, [] {}});
    table_scan rows;
    rows.rows = {{std::string(owner_row_key), encode_owner({node_id("n2"), "n2-1", false, 500}), 3},
                 {std::string(renewal_row_key), "renewed", 4}};
    driver.start();
    fixture.answer_scan(rows);
    fixture.timers.advance(milliseconds(300));
    fixture.timers.advance(seconds(5));
    fixture.answer_scan(rows);
    cr_assert(fixture.commits.empty(), "claimed as soon as the table answers again");
}

// Guards against a small owner that keeps the ownership although a larger VM offers to take over.
Test(ownership_driver, hands_over_to_the_vm_that_offers) {
    table_fixture fixture;
    bool ended = false;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    options.capacity_permille = 100;
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers,
                            {[](fencing_token) {}, [&] { ended = true; }, [] {}});
    driver.start();
    fixture.answer_scan(table_scan{});
    fixture.timers.advance(seconds(1));
    fixture.answer_scan(table_scan{});
    fixture.answer_commit(committed(7));
    fixture.timers.advance(milliseconds(300));
    table_scan rows;
    rows.rows = {{std::string(owner_row_key), encode_owner({node_id("n1"), "n1-1", false, 100}), 7},
                 {std::string(offer_row_key), encode_offer({node_id("n2"), "n2-1", 500, 7}), 9}};
    fixture.answer_scan(rows);
    cr_assert(ended);
    cr_assert(fixture.checked.back()[0].version == 7);
    const auto written = decode_owner(*fixture.written.back()[0].value);
    cr_assert(written.ok() && written->node == node_id("n2") && written->capacity_permille == 500);
}
