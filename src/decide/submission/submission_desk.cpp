#include "citronford/submission.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// Refused writes of a row before its caller is told to come back. A table that is only over its
/// rate takes the second one.
constexpr int most_tries = 2;

/// Before a refused or unanswered row is written again.
constexpr duration retry_pause = milliseconds(100);

/// The answer needs this long to reach the caller before it stops waiting.
constexpr duration answer_margin = milliseconds(250);

} // namespace

absl::StatusOr<submission_desk> submission_desk::create(const chart& life_cycle) {
    static constexpr machine::guard guards[] = {
        {"tries_left", [](const step_context& context,
                          const event&) { return context.item.tries + 1 < most_tries; }},
    };
    static constexpr auto answer = [](step_context& context, submission_result result) {
        const workflow_submitted& submission = context.item.submission;
        context.effects.emplace_back(answer_submission{submission.id, submission.row.id, result});
    };
    static constexpr machine::action actions[] = {
        {"count_try", [](step_context& context, const event&) { ++context.item.tries; }},
        {"answer_accepted",
         [](step_context& context, const event&) { answer(context, submission_result::accepted); }},
        {"answer_refused",
         [](step_context& context, const event&) { answer(context, submission_result::refused); }},
        {"answer_unknown",
         [](step_context& context, const event&) { answer(context, submission_result::unknown); }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return submission_desk(*std::move(bound));
}

std::vector<submission_effect> submission_desk::handle(const submission_input& input, instant now) {
    now_ = now;
    std::visit([this](const auto& item) { take(item); }, input);
    erase_answered();
    return std::exchange(effects_, {});
}

void submission_desk::take(const workflow_submitted& input) {
    entry added;
    added.submission = input;
    added.position = machine_.initial();
    entries_.emplace(static_cast<std::uint64_t>(input.id), std::move(added));
    write(input.part);
}

void submission_desk::take(const batch_stored& input) {
    step_batch(input.part, row_stored{});
}

void submission_desk::take(const batch_conflict& input) {
    for (auto& [id, item] : entries_) {
        if (item.in_batch && item.submission.part == input.part &&
            std::ranges::find(input.stored, item.submission.row.id) != input.stored.end()) {
            item.in_batch = false;
            step(item, row_stored{});
        }
    }
    step_batch(input.part, write_deferred{});
}

void submission_desk::take(const batch_refused& input) {
    step_batch(input.part, write_refused{});
}

void submission_desk::take(const batch_in_doubt& input) {
    step_batch(input.part, write_in_doubt{});
}

void submission_desk::take(const submission_tick& /*input*/) {
    for (auto& [id, item] : entries_) {
        if (now_ + answer_margin >= item.submission.deadline) {
            step(item, time_over{});
        }
    }
    erase_answered();
    for (auto& [id, item] : entries_) {
        write(item.submission.part);
    }
}

void submission_desk::step_batch(std::uint32_t part, const event& what) {
    const bool again_at_once =
        std::holds_alternative<row_stored>(what) || std::holds_alternative<write_deferred>(what);
    writing_[part] = false;
    for (auto& [id, item] : entries_) {
        if (item.in_batch && item.submission.part == part) {
            item.in_batch = false;
            item.not_before = again_at_once ? now_ : now_ + retry_pause;
            step(item, what);
        }
    }
    erase_answered();
    write(part);
}

void submission_desk::step(entry& item, const event& what) {
    step_context context{item, effects_};
    machine_.step(item.position, context, what);
}

void submission_desk::write(std::uint32_t part) {
    // Entries of one transaction of the table.
    constexpr std::size_t most_rows = 90;
    // Bytes of one transaction, with room for the encoding.
    constexpr std::size_t most_bytes = 400000;
    bool& writing = writing_[part];
    if (writing) {
        return;
    }
    write_batch batch{part, {}};
    std::size_t bytes = 0;
    for (auto& [id, item] : entries_) {
        if (item.submission.part != part || now_ < item.not_before ||
            batch.rows.size() == most_rows || bytes > most_bytes) {
            continue;
        }
        const job_id& job = item.submission.row.id;
        const bool repeated = std::ranges::any_of(
            batch.rows, [&](const accepted_workflow* row) { return row->id == job; });
        if (repeated) {
            continue;
        }
        step(item, write_begun{});
        item.in_batch = true;
        bytes += item.submission.row.spec.payload.size() + 1000;
        batch.rows.push_back(&item.submission.row);
    }
    if (!batch.rows.empty()) {
        writing = true;
        effects_.emplace_back(std::move(batch));
    }
}

void submission_desk::erase_answered() {
    std::erase_if(entries_,
                  [this](const auto& item) { return machine_.is_final(item.second.position); });
}

} // namespace citronford
