// A tenant hands in more tasks that last than its `Cap` allows; a job of another tenant comes.
#include "deployment.h"

namespace {

using namespace review;

constexpr const char* lasting_job = "d000000000000001";
constexpr const char* short_job = "d000000000000002";
constexpr const char* key_of_b = "key-of-b";

task_end behaviour(const std::string& task, std::uint32_t /*run*/) {
    constexpr std::int64_t for_good_ms = 1000000000;
    return {task.starts_with(short_job) ? 500 : for_good_ms, "done"};
}

int play(deployment& played) {
    // Two executors of 64 cores. Tenant a may have 56 cores running, tenant b 60.
    played.tenants = json::array({{{"Name", "a"},
                                   {"ApiKeys", {deployment::key}},
                                   {"Weight", 10},
                                   {"Cap", {{"Cpu", 56000}, {"MemMb", 0}, {"Gpu", 0}}}},
                                  {{"Name", "b"},
                                   {"ApiKeys", {key_of_b}},
                                   {"Weight", 10},
                                   {"Cap", {{"Cpu", 60000}, {"MemMb", 0}, {"Gpu", 0}}}}});
    for (const char* id : {"i-1", "i-2"}) {
        played.add_executor(id, behaviour);
    }
    if (!played.start(2, 4)) {
        return could_not_run;
    }
    // 7 tasks of 8 cores fit the cap of tenant a; it asks for 14.
    constexpr std::size_t within_cap = 7;
    const json lasting = {{"Count", troubled() ? 2 * within_cap : within_cap},
                          {"Cpu", 8000},
                          {"MemMb", 64},
                          {"EstimateMs", 1000},
                          {"LongRunning", true}};
    if (played.submit(lasting_job, json::array({lasting})).status != 200 ||
        !played.wait_until(10000,
                           [&] { return played.runs_of(lasting_job).size() >= within_cap; })) {
        return could_not_run;
    }
    played.wait(3000);
    const json step = {{"Count", 1}, {"Cpu", 12000}, {"MemMb", 64}, {"EstimateMs", 500}};
    if (played.submit(short_job, json::array({step}), key_of_b).status != 200) {
        return could_not_run;
    }
    // `finish_s` (14 s) after the end of the traffic, and 3 s more.
    const bool completed = played.wait_until(
        20000, [&] { return played.state_of(short_job, key_of_b) == "completed"; });
    played.log.write("state shown of tenant b's job: " + played.state_of(short_job, key_of_b));
    for (const auto& item : played.executors) {
        played.log.write(item->id() + " runs " + std::to_string(item->running()) +
                         " tasks of 8 cores, of 64");
    }
    played.write_runs(lasting_job, 20);
    played.write_runs(short_job, 20);
    if (!completed && played.runs_of(short_job).empty()) {
        played.log.write("LOST: nothing of tenant b's job has run for 20 s; it asks for 12 cores, "
                         "its tenant has nothing running, and 56 of 128 cores are in use");
        return broken;
    }
    return completed ? held : could_not_run;
}

} // namespace

int main(int argc, char** argv) {
    review::run_case(argc, argv, play);
}
