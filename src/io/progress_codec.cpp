#include "io/progress_codec.h"

#include "citronford/result_code.h"
#include "io/compact_numbers.h"
#include "io/workflow_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace citronford {
namespace {

using nlohmann::json;

constexpr std::array states = {workflow_state::pending, workflow_state::running,
                               workflow_state::completed, workflow_state::failed,
                               workflow_state::cancelled};

constexpr std::size_t bits_per_digit = 4;

absl::Status malformed(std::string_view what) {
    return make_status(result_code::malformed_body, what);
}

/// Hexadecimal digits of four tasks each.
std::string encode_bits(const std::vector<bool>& bits) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text((bits.size() + bits_per_digit - 1) / bits_per_digit, '0');
    for (std::size_t digit = 0; digit < text.size(); ++digit) {
        std::size_t value = 0;
        for (std::size_t bit = 0; bit < bits_per_digit; ++bit) {
            const std::size_t index = digit * bits_per_digit + bit;
            value |= index < bits.size() && bits[index] ? std::size_t{1} << bit : 0;
        }
        text[digit] = digits[value];
    }
    return text;
}

std::vector<bool> decode_bits(std::string_view text) {
    std::vector<bool> bits;
    for (const char digit : text) {
        const int value = digit >= 'a' ? digit - 'a' + 10 : digit - '0';
        for (std::size_t bit = 0; bit < bits_per_digit; ++bit) {
            bits.push_back((value >> bit & 1) != 0);
        }
    }
    return bits;
}

/// Without the bits behind the last one that is set.
std::vector<bool> trimmed(std::vector<bool> bits) {
    const auto last = std::find(bits.rbegin(), bits.rend(), true);
    bits.erase(last.base(), bits.end());
    return bits;
}

/// For each task with failures: its distance from the one before, the number of its failed runs,
/// and the distances between their numbers.
std::string encode_failures(std::span<const task_failures> failures, failure_detail detail) {
    std::vector<std::uint32_t> numbers;
    task_number next = 0;
    for (const task_failures& item : failures) {
        numbers.push_back(item.task - std::exchange(next, item.task + 1));
        numbers.push_back(static_cast<std::uint32_t>(item.runs.size()));
        std::vector<std::uint32_t> runs = item.runs;
        std::ranges::sort(runs);
        std::uint32_t before = 0;
        for (const std::uint32_t run : runs) {
            const std::uint32_t distance = run - std::exchange(before, run);
            numbers.push_back(detail == failure_detail::counts ? 1 : distance);
        }
    }
    return encode_compact(numbers);
}

absl::StatusOr<std::vector<task_failures>> decode_failures(std::string_view text) {
    const auto numbers = decode_compact(text);
    if (!numbers.ok()) {
        return numbers.status();
    }
    std::vector<task_failures> failures;
    task_number next = 0;
    for (std::size_t at = 0; at < numbers->size();) {
        if (numbers->size() - at < 2 || numbers->size() - at - 2 < (*numbers)[at + 1]) {
            return malformed("failures are cut off");
        }
        task_failures item{next + (*numbers)[at], {}};
        next = item.task + 1;
        const std::size_t end = at + 2 + (*numbers)[at + 1];
        std::uint32_t run = 0;
        for (at += 2; at < end; ++at) {
            run += (*numbers)[at];
            item.runs.push_back(run);
        }
        failures.push_back(std::move(item));
    }
    return failures;
}

workflow_state state_of(const json& document) {
    const std::string name = document.at("state");
    const auto* found = std::ranges::find(states, std::string_view(name),
                                          [](workflow_state state) { return name_of(state); });
    return found == states.end() ? workflow_state::pending : *found;
}

/// The number of a task in a row of an earlier version; nothing when the workflow lacks the task.
std::optional<task_number> earlier_number(const workflow_spec& spec, const task_place& place) {
    if (place.occurrence >= spec.runs() || place.step >= spec.steps.size() ||
        place.index >= spec.steps[place.step].tasks) {
        return std::nullopt;
    }
    return task_numbering(spec).number_of(place);
}

/// Reads the lists `done` and `failed` of earlier versions.
void read_earlier_lists(const json& document, const workflow_spec& spec,
                        workflow_progress& progress) {
    for (const json& item : document.value("done", json::array())) {
        const std::vector<bool> bits = decode_bits(item.at(2).get_ref<const std::string&>());
        for (std::uint32_t index = 0; index < bits.size(); ++index) {
            const auto number = earlier_number(spec, {item.at(0), item.at(1), index});
            if (number && bits[index]) {
                progress.done.resize(std::max<std::size_t>(progress.done.size(), *number + 1));
                progress.done[*number] = true;
            }
        }
    }
    for (const json& item : document.value("failed", json::array())) {
        const auto number = earlier_number(spec, {item.at(0), item.at(1), item.at(2)});
        if (number) {
            progress.failures.push_back({*number, item.at(3).get<std::vector<std::uint32_t>>()});
        }
    }
    std::ranges::sort(progress.failures, {}, &task_failures::task);
}

} // namespace

std::string encode_progress(const workflow_progress& progress, failure_detail detail) {
    json document = {{"state", name_of(progress.state)}};
    if (!progress.done.empty()) {
        document["tasks"] = encode_bits(progress.done);
    }
    if (!progress.failures.empty() && detail != failure_detail::none) {
        document["runs"] = encode_failures(progress.failures, detail);
    }
    return document.dump();
}

bounded_progress encode_progress_within(const workflow_progress& progress, std::size_t max_bytes) {
    for (const failure_detail detail : {failure_detail::run_numbers, failure_detail::counts}) {
        std::string text = encode_progress(progress, detail);
        if (text.size() <= max_bytes) {
            return {std::move(text), detail};
        }
    }
    return {encode_progress(progress, failure_detail::none), failure_detail::none};
}

absl::StatusOr<workflow_progress> decode_progress(std::string_view text,
                                                  const workflow_spec& spec) {
    try {
        const json document = json::parse(text);
        workflow_progress progress;
        progress.state = state_of(document);
        progress.done = trimmed(decode_bits(document.value("tasks", "")));
        auto failures = decode_failures(document.value("runs", ""));
        if (!failures.ok()) {
            return failures.status();
        }
        progress.failures = *std::move(failures);
        read_earlier_lists(document, spec, progress);
        return progress;
    } catch (const json::exception& error) {
        return malformed(error.what());
    }
}

absl::StatusOr<workflow_state> decode_progress_state(std::string_view text) {
    try {
        return state_of(json::parse(text));
    } catch (const json::exception& error) {
        return malformed(error.what());
    }
}

} // namespace citronford
