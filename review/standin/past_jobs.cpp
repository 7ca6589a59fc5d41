// The owner of the scheduler is killed after half a day of ordinary traffic.
#include "deployment.h"

namespace {

using namespace review;

constexpr const char* early_job = "e000000000000001";
constexpr const char* later_job = "e000000000000002";

/// Jobs of half a day: the site's requests a second that are jobs (9.94 + 1.17 + 12.4 + 1.43).
constexpr std::size_t past_jobs = static_cast<std::size_t>(24.94 * 43200);

int play(deployment& played) {
    for (const char* id : {"i-1", "i-2"}) {
        played.add_executor(id, [](const std::string&, std::uint32_t) {
            return task_end{500, "done"};
        });
    }
    if (!played.start(3, 4)) {
        return could_not_run;
    }
    const json steps =
        json::array({{{"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 500}}});
    if (played.submit(early_job, steps).status != 200 ||
        !played.wait_until(10000, [&] { return played.state_of(early_job) == "completed"; })) {
        return could_not_run;
    }
    // The product marks the rows of ended jobs after some seconds; what it leaves is copied.
    played.wait(12000);
    const std::size_t rows = played.add_past_jobs(early_job, past_jobs);
    played.log.write("the store holds the rows of " + std::to_string(past_jobs) + " ended jobs, " +
                     std::to_string(rows) + " for each");
    entry_vm* owner = played.owner();
    if (troubled() && owner != nullptr) {
        played.log.write("SIGKILL of " + owner->name);
        deployment::stop(*owner);
        owner->down_since_ms = played.log.now_ms();
    }
    if (!played.wait_until(5000, [&] { return played.submit(later_job, steps).status == 200; })) {
        return could_not_run;
    }
    const std::int64_t accepted_ms = played.log.now_ms();
    int ended = 0;
    std::int64_t most_mb = 0;
    played.wait_until(45000, [&] {
        ended += played.enforce_memory_limit();
        for (const entry_vm& vm : played.vms) {
            most_mb = std::max(most_mb, deployment::resident_mb(vm));
        }
        return !played.runs_of(later_job).empty();
    });
    played.write_runs(later_job, 10);
    played.log.write("most memory of a process: " + std::to_string(most_mb) +
                     " MB; processes ended for their memory: " + std::to_string(ended) +
                     "; state shown of " + later_job + ": " + played.state_of(later_job));
    const auto runs = played.runs_of(later_job);
    const std::int64_t waited_ms =
        (runs.empty() ? played.log.now_ms() : runs.front().begun_ms) - accepted_ms;
    played.log.write("the later job waited " + std::to_string(waited_ms) +
                     " ms for its first start");
    // 4 s after the kill the day is calm; from then on a job may have nothing running for 3 s.
    constexpr std::int64_t bound_ms = 7000;
    if (runs.empty() && waited_ms > bound_ms) {
        played.log.write("LOST: the accepted job never ran, with two executors idle");
        return broken;
    }
    return held;
}

} // namespace

int main(int argc, char** argv) {
    review::run_case(argc, argv, play);
}
