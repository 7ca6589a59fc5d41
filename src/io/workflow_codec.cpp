#include "io/workflow_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace citronford {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<workflow_state, std::string_view>, 5> state_names = {
    {{workflow_state::pending, "pending"},
     {workflow_state::running, "running"},
     {workflow_state::completed, "completed"},
     {workflow_state::failed, "failed"},
     {workflow_state::cancelled, "cancelled"}}};

absl::Status malformed(std::string_view what) {
    return make_status(result_code::malformed_body, what);
}

/// Decodes a JSON text; `function` may throw `json::exception` for a malformed document.
template <class Result, class Function>
absl::StatusOr<Result> decoded(std::string_view text, Function function) {
    try {
        const json document = json::parse(text);
        return function(document);
    } catch (const json::exception& error) {
        return malformed(error.what());
    }
}

/// Omits a member that has the value `absent`, since stored bytes are billed.
template <class Value>
void put(json& document, std::string_view name, const Value& value, const Value& absent) {
    if (value != absent) {
        document[std::string(name)] = value;
    }
}

/// The text of a row. Bytes that are no UTF-8, such as those of a name from the settings, are
/// replaced, since an exception would end the process that writes.
std::string text_of(const json& document) {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encode_step(const workflow_step& step) {
    const workflow_step absent;
    json document = {{"n", step.tasks}};
    put(document, "cpu", step.size.millicores, absent.size.millicores);
    put(document, "mem", step.size.memory_mb, absent.size.memory_mb);
    put(document, "acc", step.size.accelerators, absent.size.accelerators);
    put(document, "est", step.estimate.count(), absent.estimate.count());
    put(document, "after", step.after, absent.after);
    put(document, "label", step.required_label, absent.required_label);
    put(document, "rack", step.data_rack, absent.data_rack);
    put(document, "apart", step.max_per_server, absent.max_per_server);
    put(document, "miss", step.max_unavailable, absent.max_unavailable);
    put(document, "image", step.image, absent.image);
    put(document, "target", step.response_target.count(), absent.response_target.count());
    put(document, "ckpt", step.checkpointing, false);
    put(document, "gang", step.gang, false);
    put(document, "onerack", step.same_rack, false);
    put(document, "spec", step.speculative, false);
    put(document, "long", step.long_running, false);
    put(document, "fills", step.best_effort_cpu, false);
    return document;
}

workflow_step decode_step(const json& document) {
    workflow_step step;
    step.tasks = document.at("n");
    step.size = {document.value("cpu", std::int64_t{0}), document.value("mem", std::int64_t{0}),
                 document.value("acc", std::int64_t{0})};
    step.estimate = milliseconds(document.value("est", std::int64_t{0}));
    step.after = document.value("after", step.after);
    step.required_label = document.value("label", "");
    step.data_rack = document.value("rack", "");
    step.max_per_server = document.value("apart", 0U);
    step.max_unavailable = document.value("miss", 0U);
    step.image = document.value("image", "");
    step.response_target = milliseconds(document.value("target", std::int64_t{0}));
    step.checkpointing = document.value("ckpt", false);
    step.gang = document.value("gang", false);
    step.same_rack = document.value("onerack", false);
    step.speculative = document.value("spec", false);
    step.long_running = document.value("long", false);
    step.best_effort_cpu = document.value("fills", false);
    return step;
}

json encode_terms(const queue_terms& terms) {
    return {terms.priority, terms.max_attempts, terms.stretch, terms.objective_slack.count()};
}

queue_terms decode_terms(const json& document) {
    return {document.at(0), document.at(1), document.at(2),
            milliseconds(document.at(3).get<std::int64_t>())};
}

} // namespace

std::string_view name_of(workflow_state state) {
    const auto found =
        std::ranges::find(state_names, state, [](const auto& item) { return item.first; });
    return found == state_names.end() ? "unknown" : found->second;
}

std::string encode_workflow(const accepted_workflow& row) {
    json document = {{"queue", row.queue.view()},  {"pool", row.pool.view()},
                     {"at", row.accepted_unix_ms}, {"text", row.spec.payload},
                     {"steps", json::array()},     {"terms", encode_terms(row.terms)}};
    if (row.team_limit != resources{}) {
        document["limit"] = {row.team_limit.millicores, row.team_limit.memory_mb,
                             row.team_limit.accelerators};
    }
    put(document, "team", row.team.str(), std::string());
    put(document, "times", row.spec.occurrences, 0U);
    put(document, "first", row.spec.first_due_unix_ms, std::int64_t{0});
    put(document, "every", row.spec.interval_ms, std::int64_t{0});
    for (const workflow_step& step : row.spec.steps) {
        document["steps"].push_back(encode_step(step));
    }
    return text_of(document);
}

absl::StatusOr<accepted_workflow> decode_workflow(const job_id& job, std::string_view text) {
    auto row = decoded<accepted_workflow>(text, [&](const json& document) {
        accepted_workflow result;
        result.id = job;
        result.queue = queue_id(document.at("queue").get<std::string>());
        result.pool = pool_id(document.at("pool").get<std::string>());
        result.team = team_id(document.value("team", ""));
        result.accepted_unix_ms = document.at("at");
        if (document.contains("terms")) {
            result.terms = decode_terms(document.at("terms"));
        }
        if (document.contains("limit")) {
            const json& limit = document.at("limit");
            result.team_limit = {limit.at(0), limit.at(1), limit.at(2)};
        }
        result.spec.payload = document.at("text");
        result.spec.occurrences = document.value("times", 0U);
        result.spec.first_due_unix_ms = document.value("first", std::int64_t{0});
        result.spec.interval_ms = document.value("every", std::int64_t{0});
        for (const json& step : document.at("steps")) {
            result.spec.steps.push_back(decode_step(step));
        }
        return result;
    });
    if (row.ok() && !well_formed(row->spec)) {
        return malformed("a step has no tasks or depends on a later one");
    }
    return row;
}

std::string encode_owner(const owner_row& row) {
    return text_of({{"node", row.node.view()},
                    {"incarnation", row.incarnation},
                    {"released", row.released},
                    {"strength", row.capacity_permille}});
}

absl::StatusOr<owner_row> decode_owner(std::string_view text) {
    return decoded<owner_row>(text, [](const json& document) {
        owner_row row;
        row.node = node_id(document.at("node").get<std::string>());
        row.incarnation = document.at("incarnation");
        row.released = document.at("released");
        row.capacity_permille = document.value("strength", std::int64_t{0});
        return row;
    });
}

std::string encode_offer(const takeover_offer& offer) {
    return text_of({{"node", offer.node.view()},
                    {"incarnation", offer.incarnation},
                    {"capacity", offer.capacity_permille},
                    {"token", offer.token}});
}

absl::StatusOr<takeover_offer> decode_offer(std::string_view text) {
    return decoded<takeover_offer>(text, [](const json& document) {
        takeover_offer offer;
        offer.node = node_id(document.at("node").get<std::string>());
        offer.incarnation = document.at("incarnation");
        offer.capacity_permille = document.at("capacity");
        offer.token = document.at("token");
        return offer;
    });
}

std::string encode_fenced_value(const fenced_value& value) {
    return std::to_string(value.token) + ' ' + value.text;
}

absl::StatusOr<fenced_value> decode_fenced_value(std::string_view text) {
    fenced_value value;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value.token);
    if (error != std::errc() || rest == text.data() + text.size() || *rest != ' ') {
        return make_status(result_code::malformed_body, "no token before the text");
    }
    value.text = std::string(rest + 1, text.data() + text.size());
    return value;
}

std::string encode_waiting_counts(const waiting_counts& counts) {
    json document = json::object();
    for (const auto& [queue, count] : counts) {
        document[queue.str()] = count;
    }
    return text_of(document);
}

absl::StatusOr<waiting_counts> decode_waiting_counts(std::string_view text) {
    return decoded<waiting_counts>(text, [](const json& document) {
        waiting_counts counts;
        for (const auto& [queue, count] : document.items()) {
            counts.emplace(queue_id(queue), count.get<std::uint64_t>());
        }
        return counts;
    });
}

std::string encode_wave(const wave_record& record) {
    json document = {
        {"wave", record.number}, {"begun", record.begun_unix_ms}, {"maintained", json::array()}};
    for (const vm_id& vm : record.maintained) {
        document["maintained"].push_back(vm.view());
    }
    return text_of(document);
}

absl::StatusOr<wave_record> decode_wave(std::string_view text) {
    return decoded<wave_record>(text, [](const json& document) {
        wave_record record;
        record.number = document.at("wave");
        record.begun_unix_ms = document.at("begun");
        for (const json& vm : document.at("maintained")) {
            record.maintained.emplace_back(vm.get_ref<const std::string&>());
        }
        return record;
    });
}

} // namespace citronford
