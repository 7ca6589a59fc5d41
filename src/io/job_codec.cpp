#include "io/job_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr double millicores_per_processor = 1000;
constexpr std::size_t max_id_length = 128;

constexpr std::array<std::pair<task_state, std::string_view>, 5> task_states{{
    {task_state::running, "running"},
    {task_state::checkpointed, "checkpointed"},
    {task_state::done, "done"},
    {task_state::failed, "failed"},
    {task_state::expired, "expired"},
}};

/// Documents have fractional processors; the program counts thousandths.
json json_of(const resources& size) {
    return {{"processors", static_cast<double>(size.millicores) / millicores_per_processor},
            {"memory_mb", size.memory_mb},
            {"accelerators", size.accelerators}};
}

resources resources_of(const json& object) {
    resources size;
    size.millicores = std::llround(object.value("processors", 0.0) * millicores_per_processor);
    size.memory_mb = object.value("memory_mb", std::int64_t{0});
    size.accelerators = object.value("accelerators", std::int64_t{0});
    return size;
}

json json_of(const job_definition& job) {
    json document = json_of(job.size);
    document["id"] = job.id.str();
    document["queue"] = job.queue.str();
    document["run_ms"] = job.run.count();
    document["urgent"] = job.urgent;
    document["restartable"] = job.restartable;
    return document;
}

job_definition job_of(const json& object) {
    job_definition job;
    job.id = job_id(object.value("id", ""));
    job.queue = service_id(object.value("queue", ""));
    job.size = resources_of(object);
    job.run = milliseconds(object.value("run_ms", std::int64_t{0}));
    job.urgent = object.value("urgent", false);
    job.restartable = object.value("restartable", false);
    return job;
}

bool valid_id(std::string_view id) {
    return !id.empty() && id.size() <= max_id_length &&
           std::ranges::all_of(id, [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

absl::Status validate(const job_definition& job) {
    constexpr std::int64_t max_amount = 1'000'000'000;
    if (!valid_id(job.id.view())) {
        return make_status(result_code::invalid_argument,
                           "id must have 1 to 128 letters, digits, '-', '_' or '.'");
    }
    const auto within = [](std::int64_t amount) { return amount >= 0 && amount <= max_amount; };
    if (!within(job.size.millicores) || !within(job.size.memory_mb) ||
        !within(job.size.accelerators) || !within(job.run.count())) {
        return make_status(result_code::invalid_argument,
                           "processors must be between 0 and 1000000; memory_mb, accelerators and "
                           "run_ms must be between 0 and 1000000000");
    }
    if (job.size.millicores == 0) {
        return make_status(result_code::invalid_argument, "processors must be above zero");
    }
    return absl::OkStatus();
}

task_state task_state_of(std::string_view name) {
    const auto* found =
        std::ranges::find(task_states, name, [](const auto& item) { return item.second; });
    return found == task_states.end() ? task_state::failed : found->first;
}

template <class Identifier> json json_of_ids(const std::vector<Identifier>& ids) {
    json names = json::array();
    for (const Identifier& id : ids) {
        names.push_back(id.str());
    }
    return names;
}

} // namespace

std::string job_key(const job_id& job) {
    return std::string(job_prefix) + job.str();
}

std::string job_row_json(const job_row& row) {
    json document = json_of(row.job);
    document["team"] = row.job.team.str();
    document["owner"] = row.owner.str();
    document["epoch"] = row.epoch;
    document["generation"] = row.generation;
    document["state"] = name_of(row.state);
    document["worker"] = row.worker.str();
    document["attempt"] = row.attempt;
    document["cancel"] = row.cancel;
    document["reason"] = row.reason;
    document["visited"] = json_of_ids(row.visited);
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<job_row> parse_job_row(std::string_view text) {
    try {
        const json document = json::parse(text);
        job_row row;
        row.job = job_of(document);
        row.job.team = team_id(document.value("team", ""));
        row.owner = node_id(document.value("owner", ""));
        row.epoch = document.value("epoch", std::uint64_t{0});
        row.generation = document.value("generation", std::uint64_t{0});
        row.state = job_state_of(document.value("state", ""));
        row.worker = worker_id(document.value("worker", ""));
        row.attempt = document.value("attempt", std::uint32_t{0});
        row.cancel = document.value("cancel", false);
        row.reason = document.value("reason", "");
        for (const json& name : document.value("visited", json::array())) {
            row.visited.emplace_back(name.get<std::string>());
        }
        return row;
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
}

absl::StatusOr<job_definition> parse_job(std::string_view text) {
    constexpr std::string_view allowed[] = {"id",     "processors", "memory_mb",   "accelerators",
                                            "run_ms", "urgent",     "restartable", "queue"};
    try {
        const json document = json::parse(text);
        for (const auto& [name, value] : document.items()) {
            if (std::ranges::find(allowed, name) == std::end(allowed)) {
                return make_status(result_code::malformed_body, "unknown member '" + name + "'");
            }
        }
        job_definition job = job_of(document);
        const absl::Status status = validate(job);
        if (!status.ok()) {
            return status;
        }
        return job;
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
}

std::string sync_json(const sync_request& message) {
    json document = {{"owner", message.owner.str()},
                     {"epoch", message.epoch},
                     {"sequence", message.sequence},
                     {"lease_ms", to_ms(message.lease)},
                     {"start", json::array()},
                     {"stop", json_of_ids(message.stop)},
                     {"checkpoint", json_of_ids(message.checkpoint)},
                     {"throttle", json::array()}};
    for (const task_start& start : message.start) {
        json task = json_of(start.size);
        task["id"] = start.id.str();
        task["job"] = start.job.str();
        task["team"] = start.team.str();
        task["run_ms"] = start.run.count();
        document["start"].push_back(std::move(task));
    }
    for (const task_throttle& throttle : message.throttle) {
        document["throttle"].push_back({{"id", throttle.id.str()}, {"percent", throttle.percent}});
    }
    return document.dump();
}

sync_result parse_sync_answer(std::string_view text) {
    try {
        const json document = json::parse(text);
        sync_accepted answer;
        answer.incarnation = document.at("incarnation");
        answer.leaving = document.at("leaving");
        answer.capacity = resources_of(document.at("capacity"));
        for (const json& task : document.at("tasks")) {
            answer.tasks.push_back({task_id(task.at("id").get<std::string>()),
                                    task_state_of(task.at("state").get<std::string>()),
                                    resources_of(task.value("usage", json::object()))});
        }
        return answer;
    } catch (const json::exception&) {
        return sync_unanswered{};
    }
}

} // namespace citronford
