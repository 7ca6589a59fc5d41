// A tenant hands in twice its usual jobs that last, more than its `Cap` allows to run; a job of
// another tenant comes.
#include "deployment.h"

namespace {

using namespace review;

constexpr const char* lasting_jobs = "d00000000000000"; ///< Begin of the ids of all jobs.
constexpr const char* lasting_job = "d000000000000001";
constexpr const char* second_lasting_job = "d000000000000003";
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
    // Usually tenant a hands in one job of 7 tasks of 8 cores, which just fits its cap.
    constexpr std::size_t within_cap = 7;
    const json lasting = json::array({{{"Count", within_cap},
                                       {"Cpu", 8000},
                                       {"MemMb", 64},
                                       {"EstimateMs", 1000},
                                       {"LongRunning", true}}});
    const bool accepted = played.submit(lasting_job, lasting).status == 200 &&
                          (!troubled() || played.submit(second_lasting_job, lasting).status == 200);
    if (!accepted || !played.wait_until(10000, [&] {
            return played.runs_of(lasting_jobs).size() >= within_cap;
        })) {
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
    played.write_runs(second_lasting_job, 20);
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
