// A gang of two tasks runs on two executors, and one of them crashes.
#include "deployment.h"

using namespace standin;

int main(int, char** arguments) {
    deployment fleet(arguments);
    fleet.registry.put("op", "config", deployment::configuration(1, 4, 0));
    for (int number = 1; number <= 8; ++number) {
        fleet.add_executor("i-" + std::to_string(number), 8000);
    }
    for (int number = 1; number <= 3; ++number) {
        fleet.add_node("edge-" + std::to_string(number));
    }
    if (!fleet.wait_until_ready()) {
        return fleet.failed_to_run("the nodes are not ready");
    }

    // Each task needs more than half an executor, so the two run on two executors.
    const std::string job = "5c0e7a21d94b36f8";
    const json steps = json::array(
        {{{"Count", 2}, {"Cpu", 5000}, {"MemMb", 256}, {"EstimateMs", 4000}, {"Gang", true}}});
    fleet.world.behave = [](const task_name&, int) { return behaviour{4000, "done"}; };
    // A new executor takes the place of the crashed one after 1 s, and calm machines are in touch
    // after ContactMs of 3 s more.
    constexpr std::int64_t down_ms = 1000;
    constexpr std::int64_t contact_ms = 3000;
    std::int64_t crash_at = -1;
    std::string host_of_first;
    int alone_in_calm = 0;
    fleet.world.observe = [&](const std::string& task, int, const std::string& what,
                              const std::string& executor) {
        if (what == "start" && task.ends_with(".0") && host_of_first.empty()) {
            host_of_first = executor;
        }
        if (what == "alone" && crash_at >= 0 && now_ms() > crash_at + down_ms + contact_ms) {
            ++alone_in_calm;
        }
    };
    if (!fleet.submit(job, steps)) {
        return fleet.failed_to_run("the job was not accepted");
    }
    if (!fleet.on.run_while_not([&] { return !host_of_first.empty(); }, 10000)) {
        return fleet.failed_to_run("no task was started");
    }
    fleet.on.run_for(2000);
    crash_at = now_ms();
    if (with_trouble()) {
        for (std::size_t number = 0; number < fleet.executors.size(); ++number) {
            if (fleet.executors[number]->id() == host_of_first) {
                fleet.executors[number]->crash();
            }
        }
        fleet.on.after(down_ms, [&] { fleet.add_executor("i-9", 8000); });
    }
    fleet.on.run_for(70000);
    const std::string state = fleet.state_of(fleet.any_node(), job);
    return fleet.verdict(alone_in_calm > 0, "70 s after the crash the job is " + state + "; " +
                                                std::to_string(alone_in_calm) +
                                                " runs ended alone later than 4 s after it");
}
