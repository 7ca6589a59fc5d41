// The store is out for 5 s; in the last second of that, executors leave half of their orders
// unanswered and carry them out 4 s later.
#include "deployment.h"

using namespace standin;

int main(int, char** arguments) {
    deployment fleet(arguments);
    fleet.registry.put("op", "config", deployment::configuration(1, 4, 80000));
    for (int number = 1; number <= 40; ++number) {
        fleet.add_executor("i-" + std::to_string(number), 16000);
    }
    for (int number = 1; number <= 3; ++number) {
        fleet.add_node("edge-" + std::to_string(number));
    }
    if (!fleet.wait_until_ready()) {
        return fleet.failed_to_run("the nodes are not ready");
    }

    // Of different lengths, so that starts are spread over time.
    fleet.world.behave = [](const task_name& name, int) {
        return behaviour{700 + name.index * 37 % 600, "done"};
    };
    struct task_history {
        int running = 0;
        bool done_noted = false;
    };
    std::map<std::string, task_history> tasks;
    int twice = 0;
    fleet.world.observe = [&](const std::string& name, int run, const std::string& what,
                              const std::string& executor) {
        task_history& task = tasks[name];
        if (what == "start") {
            if (task.running > 0 || task.done_noted) {
                ++twice;
                fleet.record.write(
                    "TWICE: " + name + " run " + std::to_string(run) + " on " + executor +
                    (task.running > 0 ? " beside another run" : " after its end was noted"));
            }
            ++task.running;
        } else if (what.starts_with("noted")) {
            task.done_noted = task.done_noted || what == "noted done";
        } else {
            --task.running;
        }
    };
    // The tenant's limit lets 40 tasks run at a time, each about 1 s; every executor has room
    // for 8.
    const std::string job = "5c0e7a21d94b36f8";
    const json steps = json::array({{{"Count", 3000},
                                     {"Cpu", 2000},
                                     {"MemMb", 256},
                                     {"EstimateMs", 1000},
                                     {"MaxPerServer", 2}}});
    fleet.on.run_for(11000);
    if (!fleet.submit(job, steps)) {
        return fleet.failed_to_run("the job was not accepted");
    }
    fleet.on.run_for(3000);
    if (with_trouble()) {
        fleet.record.write("the store is down");
        fleet.registry.set_down(true);
        fleet.on.run_for(4000);
        fleet.record.write("executors leave half of their orders unanswered");
        int orders = 0;
        fleet.world.late_order_ms = [&] { return ++orders % 2 == 0 ? 4000 : 0; };
        fleet.on.run_for(1000);
        fleet.world.late_order_ms = [] { return 0; };
        fleet.registry.set_down(false);
        fleet.record.write("the store is back");
    }
    fleet.on.run_for(20000);
    const std::string state = fleet.state_of(fleet.any_node(), job);
    return fleet.verdict(twice > 0, std::to_string(twice) +
                                        " starts of tasks that ran elsewhere or "
                                        "had ended; the job is " +
                                        state);
}
