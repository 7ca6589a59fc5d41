#include "test_support.h"

#include "citronford/result_code.h"
#include "platform/base64.h"
#include "platform/job_body.h"
#include "platform/platform_rows.h"
#include "platform/task_names.h"

using namespace citronford;

namespace {

table_row row_of(const std::string& key, const std::string& value) {
    return {key, value, 1};
}

} // namespace

// Guards against values that the store returns changed.
Test(platform, base64_keeps_all_bytes) {
    std::string bytes;
    for (int size = 0; size < 300; ++size) {
        expect_equal(*wire::from_base64(wire::to_base64(bytes)), bytes);
        bytes += static_cast<char>(size * 7);
    }
    cr_assert(!wire::from_base64("?"));
}

// Guards against a result that is assigned to another task.
Test(platform, parses_exact_task_names_only) {
    const task_key task{job_id("5c0e7a21d94b36f8"), 0, 1, 17};
    expect_equal(wire::format_task_key(task), "5c0e7a21d94b36f8.0.1.17");
    cr_assert(wire::parse_task_key("5c0e7a21d94b36f8.0.1.17") == task);
    for (const char* name : {"", "a", "a.0.1", "a.0.1.", "a.0.1.x", "a.0.1.2.3", "a.0.-1.2"}) {
        cr_assert(!wire::parse_task_key(name), "%s", name);
    }
}

// Guards against configuration fields that are decoded into the wrong members.
Test(platform, reads_the_configuration) {
    const platform_rows rows;
    const auto order = rows.decode_order(row_of(
        "op//config",
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","SloMs":600,"Priority":1,)"
        R"("Service":"s","Attempts":3,"Stretch":1.6,"Public":true}],"Services":[{"Name":"s",)"
        R"("EnforcesCapacity":false,"Standby":true}],"Tenants":[{"Name":"t","ApiKeys":["k"],)"
        R"("Weight":77,"Cap":{"Cpu":5,"MemMb":6,"Gpu":0}}]})"));
    cr_assert(order.ok(), "%s", order.status().ToString().c_str());
    const auto& catalog = *std::get<std::shared_ptr<const queue_catalog>>(*order);
    const queue_definition& queue = *catalog.queue(queue_id("r"));
    cr_assert(catalog.version() == 7 && queue.pool == pool_id("s") && queue.max_attempts == 3);
    cr_assert(queue.open && queue.priority == 1 && queue.objective_slack == milliseconds(600));
    cr_assert(!catalog.pool(pool_id("s"))->enforces_capacity &&
              catalog.pool(pool_id("s"))->standby);
    cr_assert(catalog.team(team_id("t"))->limit == (resources{5, 6, 0}));
}

// Guards against orders of operators that are ignored, or that stay in force after their
// withdrawal.
Test(platform, reads_removals_and_waves) {
    const platform_rows rows;
    const auto removal = rows.decode_order(row_of("op//evacuate/z1", "{}"));
    cr_assert(std::get<zone_order>(*removal).removed);
    const auto back = rows.decode_order({"op//evacuate/z1", std::nullopt, 2});
    cr_assert(!std::get<zone_order>(*back).removed);
    const auto wave = rows.decode_order(
        row_of("op//wave/4", R"({"Wave":4,"Machines":["m1","m2"],"DurationS":2.5,"Cap":3})"));
    const auto& order = std::get<wave_order>(*wave);
    cr_assert(order.number == 4 && order.vms.size() == 2 && order.max_concurrent == 3);
    cr_assert(order.time_limit == milliseconds(2500));
    const auto withdrawn = rows.decode_order({"op//wave/4", std::nullopt, 3});
    cr_assert(std::get<wave_withdrawn>(*withdrawn).number == 4);
    cr_assert(std::holds_alternative<order_ignored>(*rows.decode_order(row_of("op//new", "{}"))));
}

// Guards against the use of malformed registrations of backend servers.
Test(platform, rejects_malformed_registrations) {
    const platform_rows rows;
    const std::string good =
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"draining","Labels":["a"],)"
        R"("Capacity":{"Cpu":4,"MemMb":5},"born":8,"RemainingMs":900})";
    const auto listing = rows.decode_registration(row_of("servers//i-1", good));
    cr_assert(listing.ok() && listing->id == backend_id("i-1") && listing->leaving);
    cr_assert(listing->address.port == 80 && listing->has_label("a"));
    cr_assert(listing->capacity == (resources{4, 5, 0}) && listing->process_start_unix_ms == 8);
    for (const char* bad :
         {"", "{}", "[]", R"({"Service":1,"Address":"a","Zone":"z","State":"ready"})",
          R"({"Service":"s","Address":"nowhere","Zone":"z","State":"ready"})",
          R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"odd"})"}) {
        cr_assert(!rows.decode_registration(row_of("servers//i-1", bad)).ok(), "%s", bad);
    }
}

// Guards against a submission that is stored with steps that differ from those sent.
Test(platform, reads_submissions) {
    const auto spec = wire::parse_workflow(
        R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900},)"
        R"({"Count":2,"After":[0],"Checkpointing":true,"MaxPerServer":1}]})");
    cr_assert(spec.ok() && spec->steps.size() == 2 && spec->steps[1].checkpointing);
    cr_assert(spec->steps[0].size == (resources{500, 256, 0}));
    cr_assert(spec->steps[1].max_per_server == 1 && spec->steps[1].after.front() == 0);
    for (const char* bad : {"", "{}", R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})",
                            R"({"Steps":[{"Count":1,"After":[0]}]})", R"({"Steps":7})"}) {
        cr_assert(!wire::parse_workflow(bad).ok(), "%s", bad);
    }
}
