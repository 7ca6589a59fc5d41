// A task that lasts ends by itself with `done`.
#include "deployment.h"

namespace {

using namespace review;

constexpr const char* job = "c000000000000001";

/// The first run of each task ends by itself; the later ones last.
task_end behaviour(const std::string& /*task*/, std::uint32_t run) {
    constexpr std::int64_t for_good_ms = 1000000000;
    return run == 1 ? task_end{4000, troubled() ? "done" : "failed"}
                    : task_end{for_good_ms, "done"};
}

int play(deployment& played) {
    for (const char* id : {"i-1", "i-2"}) {
        played.add_executor(id, behaviour);
    }
    if (!played.start(2, 4)) {
        return could_not_run;
    }
    const json step = {
        {"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 1000}, {"LongRunning", true}};
    if (played.submit(job, json::array({step})).status != 200 ||
        !played.wait_until(10000, [&] { return played.runs_of(job).size() >= 2; })) {
        return could_not_run;
    }
    // From 6 s after its last run a task may be without a run for 3 s at most.
    constexpr std::int64_t bound_ms = 9000;
    played.wait(4000 + bound_ms + 2000);
    played.log.write("state shown: " + played.state_of(job));
    played.write_runs(job, 20);
    std::map<std::string, run_record> last;
    for (const run_record& run : played.runs_of(job)) {
        last[run.task] = run;
    }
    bool all_held = true;
    for (const auto& [task, run] : last) {
        if (run.ended_ms >= 0 && played.log.now_ms() > run.ended_ms + bound_ms) {
            played.log.write("LOST: " + task + " was not restarted " +
                             std::to_string(played.log.now_ms() - run.ended_ms) +
                             " ms after its last run, with two executors idle");
            all_held = false;
        }
    }
    return all_held ? held : broken;
}

} // namespace

int main(int argc, char** argv) {
    review::run_case(argc, argv, play);
}
