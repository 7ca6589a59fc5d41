// An entry of another writer, without some fields, stands among the executors when the owner is
// killed.
#include "deployment.h"

using namespace standin;

int main(int, char** arguments) {
    deployment fleet(arguments);
    fleet.registry.put("op", "config", deployment::configuration(1, 2, 0));
    for (int number = 1; number <= 4; ++number) {
        fleet.add_executor("i-" + std::to_string(number), 64000);
    }
    for (int number = 1; number <= 3; ++number) {
        fleet.add_node("edge-" + std::to_string(number));
    }
    if (!fleet.wait_until_ready()) {
        return fleet.failed_to_run("the nodes are not ready");
    }
    if (with_trouble()) {
        // Slots, ColdMs, Capacity, Labels and born are missing; nothing listens at the address.
        const json entry = {{"Service", deployment::service},
                            {"Address", "127.0.0.1:" + std::to_string(free_port())},
                            {"Zone", "zone-1"},
                            {"Version", "v1"},
                            {"State", "ready"},
                            {"Seq", 1}};
        fleet.record.write("another writer puts servers/i-other " + entry.dump());
        fleet.registry.put("servers", "i-other", entry);
    }

    const std::string job = "5c0e7a21d94b36f8";
    const json steps =
        json::array({{{"Count", 4}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", 5000}}});
    // One task of four fails once by its own fault; its second run, the last attempt, ends as done.
    fleet.world.behave = [](const task_name& name, int run) {
        return behaviour{5000, name.index == 0 && run == 1 ? "failed" : "done"};
    };
    int running = 0;
    std::int64_t idle_since = -1;
    fleet.world.observe = [&](const std::string&, int, const std::string& what,
                              const std::string&) {
        if (what.starts_with("noted")) {
            return;
        }
        running += what == "start" ? 1 : -1;
        idle_since = running == 0 ? now_ms() : -1;
    };
    fleet.on.run_for(12000);
    if (!fleet.submit(job, steps)) {
        return fleet.failed_to_run("the job was not accepted");
    }
    fleet.on.run_for(2000);
    const std::string owner = fleet.owner();
    if (running != 4 || owner.empty()) {
        return fleet.failed_to_run("the tasks do not run");
    }
    fleet.kill_node(owner);
    fleet.on.run_for(500);
    fleet.start_node(owner);
    fleet.on.run_for(60000);
    const std::string state = fleet.state_of(fleet.any_node(), job);
    const std::int64_t idle_ms = idle_since < 0 || state == "completed" ? 0 : now_ms() - idle_since;
    // More than finish_s, the leases and the takeover take together.
    return fleet.verdict(idle_ms > 30000, "60 s after the owner was killed the job is " + state +
                                              "; nothing of it has run for the last " +
                                              std::to_string(idle_ms) + " ms");
}
