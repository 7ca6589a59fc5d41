// A worker fails all that it starts while a large job runs.
#include "deployment.h"

#include <atomic>

namespace {

using namespace review;

constexpr const char* large_job = "b000000000000001";
constexpr const char* later_job = "b000000000000002";
constexpr std::size_t tasks = 5000;
constexpr int executors = 12;

/// The number of the executor that is grey: the first one that gets a task. -1 while there is none.
std::atomic<int> grey = -1;
std::atomic<std::int64_t> grey_until_ms = 0;

task_end behaviour(deployment& played, int number, const std::string& task) {
    constexpr std::int64_t grey_ms = 6500;
    constexpr std::int64_t later_work_ms = 300;
    constexpr std::int64_t work_ms = 8000;
    int none = -1;
    if (troubled() && grey.compare_exchange_strong(none, number)) {
        grey_until_ms = played.log.now_ms() + grey_ms;
        played.log.write("i-" + std::to_string(number) + " fails all that it starts for 6.5 s");
    }
    if (grey == number && played.log.now_ms() < grey_until_ms) {
        return {100, "failed"};
    }
    return {task.starts_with(large_job) ? work_ms : later_work_ms, "done"};
}

/// The tasks of the first step have ended `done`, and for 3 s nothing of the job ran although the
/// turn of its second step had come.
bool left_idle(deployment& played) {
    std::size_t first_done = 0;
    std::size_t second_begun = 0;
    std::int64_t turn_ms = 0;
    for (const run_record& run : played.runs_of(later_job)) {
        const bool first = run.task.starts_with(std::string(later_job) + ".0.0.");
        first_done += first && run.how == "done" ? 1 : 0;
        turn_ms = first ? std::max(turn_ms, run.ended_ms) : turn_ms;
        second_begun += first ? 0 : 1;
    }
    return first_done == 2 && second_begun == 0 && played.log.now_ms() > turn_ms + 3000;
}

int play(deployment& played) {
    for (int number = 1; number <= executors; ++number) {
        played.add_executor("i-" + std::to_string(number),
                            [&played, number](const std::string& task, std::uint32_t) {
                                return behaviour(played, number, task);
                            });
    }
    if (!played.start(2, 4)) {
        return could_not_run;
    }
    const json step = {{"Count", tasks}, {"Cpu", 10}, {"MemMb", 4}, {"EstimateMs", 8000}};
    if (played.submit(large_job, json::array({step})).status != 200) {
        return could_not_run;
    }
    played.wait(30000);
    std::size_t failed = 0;
    std::size_t done = 0;
    for (const run_record& run : played.runs_of(large_job)) {
        failed += run.how == "failed" ? 1 : 0;
        done += run.how == "done" ? 1 : 0;
    }
    played.log.write("large job: runs failed " + std::to_string(failed) + ", done " +
                     std::to_string(done) + ", state shown " + played.state_of(large_job));
    const json first = {{"Count", 2}, {"Cpu", 500}, {"MemMb", 64}, {"EstimateMs", 300}};
    const json second = {
        {"Count", 2}, {"Cpu", 500}, {"MemMb", 64}, {"EstimateMs", 300}, {"After", {0}}};
    if (played.submit(later_job, json::array({first, second})).status != 200) {
        return could_not_run;
    }
    played.wait_until(25000, [&] { return played.state_of(later_job) == "completed"; });
    played.log.write("state shown of " + std::string(later_job) +
                     " after up to 25 s: " + played.state_of(later_job));
    played.write_runs(later_job, 20);
    for (const auto& item : played.executors) {
        played.log.write(item->id() + " lists " + std::to_string(item->listed_ends()) +
                         " ends that were not taken note of, and runs " +
                         std::to_string(item->running()) + " tasks");
    }
    if (left_idle(played)) {
        played.log.write("LOST: nothing of the job runs though the turn of its second step came");
        return broken;
    }
    return played.state_of(later_job) == "completed" ? held : could_not_run;
}

} // namespace

int main(int argc, char** argv) {
    review::run_case(argc, argv, play);
}
