// A job that can never be done runs while the configuration drops its route.
#include "deployment.h"

using namespace standin;

int main(int, char** arguments) {
    deployment fleet(arguments);
    constexpr int attempts = 3;
    const std::string other_prefix = "/kafi706/";
    json both = deployment::configuration(1, attempts, 0);
    both["Routes"].push_back(deployment::route("r-2", other_prefix, attempts));
    fleet.registry.put("op", "config", both);
    for (int number = 1; number <= 4; ++number) {
        fleet.add_executor("i-" + std::to_string(number), 64000);
    }
    for (int number = 1; number <= 3; ++number) {
        fleet.add_node("edge-" + std::to_string(number));
    }
    if (!fleet.wait_until_ready()) {
        return fleet.failed_to_run("the nodes are not ready");
    }

    fleet.world.behave = [](const task_name&, int) { return behaviour{1500, "failed"}; };
    int noted = 0;
    int starts_beyond = 0;
    fleet.world.observe = [&](const std::string&, int, const std::string& what,
                              const std::string&) {
        noted += what == "noted failed" ? 1 : 0;
        starts_beyond += what == "start" && noted >= attempts ? 1 : 0;
    };
    const std::string job = "5c0e7a21d94b36f8";
    const json steps =
        json::array({{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", 1500}}});
    if (!fleet.submit(job, steps)) {
        return fleet.failed_to_run("the job was not accepted");
    }
    fleet.on.run_for(1000);
    if (with_trouble()) {
        json without = deployment::configuration(4, attempts, 0);
        without["Routes"] = json::array({deployment::route("r-2", other_prefix, attempts)});
        fleet.record.write("configuration 4 drops the route r-1");
        fleet.registry.put("op", "config", without);
    }
    fleet.on.run_for(40000);
    return fleet.verdict(starts_beyond > 0, std::to_string(noted) +
                                                " runs of the task ended as failed and were "
                                                "noted; " +
                                                std::to_string(starts_beyond) +
                                                " starts came after " + std::to_string(attempts) +
                                                " of them");
}
