// Compares what callers and executors each recorded. Its last line is the verdict of the demo:
// `demo: sent=N answered=N lost=0 doubled=0 wrong=0`; it exits with 1 when a count is off.
#include "citronford/result_code.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using nlohmann::json;

/// One line of a record file of `citronford_load`.
struct caller_record {
    std::string id;
    std::string state;
    int code = -1;
    std::string content;
    std::string kind;
};

/// How often each request or task was started, summed over all backend servers.
using run_counts = std::map<std::string, int>;

struct verdict {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t wrong = 0;
};

bool read_records(const std::string& path, std::vector<caller_record>& records) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        caller_record record;
        std::istringstream fields(line);
        if (!(fields >> record.id >> record.state >> record.code >> record.content >>
              record.kind)) {
            std::cerr << "demo_verdict: " << path << ": malformed line: " << line << '\n';
            return false;
        }
        records.push_back(std::move(record));
    }
    return file.eof() && !records.empty();
}

/// What the submitter of a job may conclude from the last document that it was shown.
std::string run_state_of(const json& job) {
    const std::string state = job.value("state", "");
    if (state == "done" || state == "failed") {
        return "run";
    }
    if (state == "cannot_run" || (state == "cancelled" && job.value("attempt", 0) == 0)) {
        return "not-run";
    }
    return state == "unknown" || state == "cancelled" ? "unknown" : "none";
}

/// Reads the last shown documents of jobs, one a line, with the submitted id before each.
bool read_jobs(const std::string& path, std::vector<caller_record>& records) {
    std::ifstream file(path);
    std::string id;
    std::string line;
    while (file >> id && std::getline(file, line)) {
        const json job = json::parse(line, nullptr, false);
        if (!job.is_object()) {
            records.push_back({id, "none", -1, "none", "non-idempotent"});
            continue;
        }
        records.push_back({id, run_state_of(job), 0, job.value("id", "") == id ? "own" : "other",
                           job.value("restartable", false) ? "idempotent" : "non-idempotent"});
    }
    return !records.empty();
}

/// Adds the runs in one document of `GET /stats` of an executor or a worker.
bool add_stats(const std::string& path, run_counts& runs) {
    std::ifstream file(path);
    const json document = json::parse(file, nullptr, false);
    if (document.is_object() && document.contains("starts")) {
        for (const auto& [id, count] : document["starts"].items()) {
            runs[id] += count.get<int>();
        }
        return true;
    }
    if (!document.is_object() || !document.contains("requests") || !document.contains("doubled")) {
        std::cerr << "demo_verdict: " << path << ": not the statistics of a backend server\n";
        return false;
    }
    for (const json& id : document["requests"]) {
        ++runs[id.get<std::string>()];
    }
    for (const json& id : document["doubled"]) {
        ++runs[id.get<std::string>()];
    }
    return true;
}

/// Whether the answer to a repeated request leaves room for a run that it started. A duplicate
/// started nothing, and neither did a repetition that was refused before its id was looked up.
bool may_have_started(const caller_record& record) {
    if (record.code == static_cast<int>(citronford::result_code::repetition_refused)) {
        return false;
    }
    return record.state == "run" || record.state == "none" ||
           (record.state == "unknown" &&
            record.code != static_cast<int>(citronford::result_code::duplicate_request));
}

/// For each record, whether a later record of the same id may account for a run. "Not run" covers
/// the time until that answer; an id that was refused may be sent again and run then.
std::vector<bool> run_started_later(const std::vector<caller_record>& records) {
    std::vector<bool> started(records.size(), false);
    std::set<std::string> ids;
    for (std::size_t index = records.size(); index-- > 0;) {
        const caller_record& record = records[index];
        started[index] = ids.contains(record.id);
        if (may_have_started(record)) {
            ids.insert(record.id);
        }
    }
    return started;
}

/// Adds one record to the counts. With `broken_allowed`, a request without an answer is not lost:
/// its caller saw a broken connection and knows nothing about the execution. `started_later` tells
/// whether a later record of the same id may account for the run.
void judge(const caller_record& record, const run_counts& runs, bool started_later,
           bool broken_allowed, verdict& total) {
    const auto found = runs.find(record.id);
    const int times = found == runs.end() ? 0 : found->second;
    const auto show = [&](const char* fault) {
        std::cout << fault << ": id=" << record.id << " state=" << record.state
                  << " code=" << record.code << " content=" << record.content << " runs=" << times
                  << '\n';
    };
    if (record.state == "unsent") {
        return;
    }
    ++total.sent;
    if (record.state != "none") {
        ++total.answered;
    } else if (!broken_allowed) {
        ++total.lost;
        show("lost");
    }
    if (record.state == "run" && times == 0) {
        ++total.lost;
        show("lost");
    }
    if (times > 1 && record.kind == "non-idempotent") {
        ++total.doubled;
        show("doubled");
    }
    if ((record.state == "not-run" && times > 0 && !started_later) || record.content == "other") {
        ++total.wrong;
        show("wrong");
    }
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::string> record_files;
    std::vector<std::string> job_files;
    std::vector<std::string> stats_files;
    std::uint64_t least = 1;
    std::uint64_t least_run = 1;
    po::options_description description("demo_verdict");
    auto add = description.add_options();
    add("help", "show this text");
    add("record", po::value(&record_files),
        "record file of citronford_load; repeat for several, in the order of the runs");
    add("jobs", po::value(&job_files), "file with one line a job: its id and its last document");
    add("stats", po::value(&stats_files),
        "GET /stats of an executor or worker; repeat for several");
    add("broken-allowed", "requests without an answer do not count as lost");
    add("least", po::value(&least)->default_value(least), "fewest requests that must be sent");
    add("least-run", po::value(&least_run)->default_value(least_run),
        "fewest requests that must be answered as run");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "demo_verdict: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    std::vector<caller_record> records;
    run_counts runs;
    bool complete = !record_files.empty() && !stats_files.empty();
    for (const std::string& path : record_files) {
        complete = read_records(path, records) && complete;
    }
    for (const std::string& path : job_files) {
        complete = read_jobs(path, records) && complete;
    }
    for (const std::string& path : stats_files) {
        complete = add_stats(path, runs) && complete;
    }
    const bool broken_allowed = values.count("broken-allowed") != 0;
    verdict total;
    std::uint64_t run = 0;
    const std::vector<bool> started_later = run_started_later(records);
    for (std::size_t index = 0; index < records.size(); ++index) {
        judge(records[index], runs, started_later[index], broken_allowed, total);
        run += records[index].state == "run" ? 1 : 0;
    }
    if (!complete) {
        std::cout << "demo_verdict: a record or statistics file is missing or malformed\n";
    }
    if (total.sent < least || run < least_run) {
        std::cout << "demo_verdict: too few requests: sent=" << total.sent << " of " << least
                  << " run=" << run << " of " << least_run << '\n';
        complete = false;
    }
    std::cout << "demo: sent=" << total.sent << " answered=" << total.answered
              << " lost=" << total.lost << " doubled=" << total.doubled << " wrong=" << total.wrong
              << std::endl;
    const bool good = complete && (broken_allowed || total.sent == total.answered) &&
                      total.lost == 0 && total.doubled == 0 && total.wrong == 0;
    return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
