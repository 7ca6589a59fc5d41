// The tasks of a lasting job fail again and again for a while, then they are sound.
#include "deployment.h"

namespace {

using namespace review;

constexpr const char* lasting_job = "b000000000000001";
constexpr const char* later_job = "b000000000000002";
constexpr int executors = 12;
constexpr std::size_t tasks = 600;
constexpr std::int64_t failing_ms = 45000;

task_end behaviour(deployment& played, const std::string& task) {
    constexpr std::int64_t for_good_ms = 1000000000;
    if (task.starts_with(later_job)) {
        return {300, "done"};
    }
    if (troubled() && played.log.now_ms() < failing_ms) {
        return {100, "failed"};
    }
    return {for_good_ms, "done"};
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
        played.add_executor(
            "i-" + std::to_string(number),
            [&played](const std::string& task, std::uint32_t) { return behaviour(played, task); });
    }
    if (!played.start(2, 4)) {
        return could_not_run;
    }
    const json lasting = {
        {"Count", tasks}, {"Cpu", 100}, {"MemMb", 16}, {"EstimateMs", 1000}, {"LongRunning", true}};
    if (played.submit(lasting_job, json::array({lasting})).status != 200) {
        return could_not_run;
    }
    // Sound for 10 s when the later job comes.
    played.wait(failing_ms + 10000 - played.log.now_ms());
    played.log.write("runs of the lasting job: " +
                     std::to_string(played.runs_of(lasting_job).size()));
    const json first = {{"Count", 2}, {"Cpu", 500}, {"MemMb", 64}, {"EstimateMs", 300}};
    const json second = {
        {"Count", 2}, {"Cpu", 500}, {"MemMb", 64}, {"EstimateMs", 300}, {"After", {0}}};
    if (played.submit(later_job, json::array({first, second})).status != 200) {
        return could_not_run;
    }
    played.wait_until(20000, [&] { return played.state_of(later_job) == "completed"; });
    const bool completed = played.state_of(later_job) == "completed";
    played.log.write("state shown of " + std::string(later_job) +
                     " after up to 20 s: " + played.state_of(later_job));
    played.write_runs(later_job, 20);
    std::size_t lasting_now = 0;
    for (const auto& item : played.executors) {
        lasting_now += item->running();
        played.log.write(item->id() + " lists " + std::to_string(item->listed_ends()) +
                         " ends that were not taken note of, and runs " +
                         std::to_string(item->running()) + " tasks");
    }
    played.log.write("tasks of the lasting job at work: " + std::to_string(lasting_now) + " of " +
                     std::to_string(tasks));
    bool all_held = true;
    if (left_idle(played)) {
        played.log.write("LOST: nothing of the later job runs though the turn of its second step "
                         "came, on 12 sound executors");
        all_held = false;
    }
    if (!completed && played.runs_of(later_job).empty()) {
        played.log.write("LOST: the later job never ran, on 12 sound executors");
        all_held = false;
    }
    if (lasting_now < tasks) {
        played.log.write("LOST: tasks that last were not restarted, over 20 s after the last of "
                         "them could fail");
        all_held = false;
    }
    return all_held ? (completed ? held : could_not_run) : broken;
}

} // namespace

int main(int argc, char** argv) {
    review::run_case(argc, argv, play);
}
