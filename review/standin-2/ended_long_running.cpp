// A task of a long-running step ends as done.
#include "deployment.h"

using namespace standin;

int main(int, char** arguments) {
    deployment fleet(arguments);
    fleet.registry.put("op", "config", deployment::configuration(1, 4, 0));
    for (int number = 1; number <= 4; ++number) {
        fleet.add_executor("i-" + std::to_string(number), 64000);
    }
    for (int number = 1; number <= 3; ++number) {
        fleet.add_node("edge-" + std::to_string(number));
    }
    if (!fleet.wait_until_ready()) {
        return fleet.failed_to_run("the nodes are not ready");
    }

    const std::string job = "5c0e7a21d94b36f8";
    const std::string task = job + ".0.0.0";
    const json steps = json::array(
        {{{"Count", 2}, {"Cpu", 4000}, {"MemMb", 1024}, {"LongRunning", true}, {"MayMiss", 1}}});
    std::int64_t ended_at = -1;
    fleet.world.behave = [&](const task_name& name, int) {
        const bool ends = with_trouble() && name.index == 0 && ended_at < 0;
        return ends ? behaviour{12000, "done"} : behaviour{};
    };
    int starts_after_end = 0;
    fleet.world.observe = [&](const std::string& name, int, const std::string& what,
                              const std::string&) {
        if (name == task && what == "done") {
            ended_at = now_ms();
        }
        starts_after_end += name == task && what == "start" && ended_at >= 0 ? 1 : 0;
    };
    if (!fleet.submit(job, steps)) {
        return fleet.failed_to_run("the job was not accepted");
    }
    fleet.on.run_for(15000);
    if (with_trouble() && ended_at < 0) {
        return fleet.failed_to_run("the task was not started");
    }
    // The rule counts from 6 s after the last run of the task, and then for 3 s; watched for
    // longer.
    std::int64_t absent_since = now_ms();
    std::int64_t longest_absence = 0;
    for (int look = 0; look < 400; ++look) {
        fleet.on.run_for(100);
        const bool runs = std::ranges::any_of(fleet.executors,
                                              [&](const auto& item) { return item->runs(task); });
        absent_since = runs ? now_ms() : absent_since;
        longest_absence = std::max(longest_absence, now_ms() - absent_since);
    }
    const std::string state = fleet.state_of(fleet.any_node(), job);
    return fleet.verdict(longest_absence > 9000, "the task had no run for " +
                                                     std::to_string(longest_absence) + " ms and " +
                                                     std::to_string(starts_after_end) +
                                                     " starts after its end; the job is " + state);
}
