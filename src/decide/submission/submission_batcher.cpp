#include "citronford/submission.h"

#include "citronford/table_service.h"
#include "citronford/workflow_caller.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// Refused writes of a row after which its submission is refused. A table that only exceeds its
/// rate limit accepts the second write.
constexpr int max_refused_writes = 2;

/// Delay before a refused or unanswered row is written again.
constexpr duration retry_delay = milliseconds(100);

} // namespace

absl::StatusOr<submission_batcher> submission_batcher::create(const chart& life_cycle) {
    static constexpr machine::guard guards[] = {
        {"retry_allowed",
         [](const step_context& context, const event&) {
             return context.item.refused_writes + 1 < max_refused_writes;
         }},
    };
    static constexpr auto answer = [](step_context& context, submission_result result) {
        const workflow_submitted& submission = context.item.submission;
        context.effects.emplace_back(answer_submission{submission.id, submission.row.id, result});
    };
    static constexpr machine::action actions[] = {
        {"count_refusal",
         [](step_context& context, const event&) { ++context.item.refused_writes; }},
        {"answer_accepted",
         [](step_context& context, const event&) { answer(context, submission_result::accepted); }},
        {"answer_refused",
         [](step_context& context, const event&) { answer(context, submission_result::refused); }},
        {"answer_rejected",
         [](step_context& context, const event&) { answer(context, submission_result::rejected); }},
        {"answer_unknown",
         [](step_context& context, const event&) { answer(context, submission_result::unknown); }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return submission_batcher(*std::move(bound));
}

std::vector<submission_effect> submission_batcher::handle(const submission_input& input,
                                                          instant now) {
    now_ = now;
    std::visit([this](const auto& item) { apply(item); }, input);
    erase_answered();
    return std::exchange(effects_, {});
}

void submission_batcher::apply(const workflow_submitted& input) {
    entry added;
    added.submission = input;
    added.position = machine_.initial();
    entries_.emplace(static_cast<std::uint64_t>(input.id), std::move(added));
    write_due_rows(input.part);
}

void submission_batcher::apply(const batch_stored& input) {
    step_batch(input.part, row_stored{});
}

void submission_batcher::apply(const batch_conflict& input) {
    for (auto& [id, item] : entries_) {
        if (item.in_batch && item.submission.part == input.part &&
            std::ranges::find(input.stored, item.submission.row.id) != input.stored.end()) {
            item.in_batch = false;
            step(item, row_stored{});
        }
    }
    step_batch(input.part, write_deferred{});
}

void submission_batcher::apply(const batch_refused& input) {
    step_batch(input.part, write_refused{});
}

void submission_batcher::apply(const batch_rejected& input) {
    const auto in_batch = [&](const entry& item) {
        return item.in_batch && item.submission.part == input.part;
    };
    const auto rows = std::ranges::count_if(
        entries_, [&](const auto& numbered) { return in_batch(numbered.second); });
    if (rows == 1) {
        step_batch(input.part, write_rejected{});
        return;
    }
    // Written again one by one, which shows the row that the table rejects.
    for (auto& [id, item] : entries_) {
        item.alone = item.alone || in_batch(item);
    }
    step_batch(input.part, write_deferred{});
}

void submission_batcher::apply(const batch_in_doubt& input) {
    step_batch(input.part, write_in_doubt{});
}

void submission_batcher::apply(const submission_tick& /*input*/) {
    for (auto& [id, item] : entries_) {
        if (now_ + answer_margin >= item.submission.deadline) {
            step(item, deadline_reached{});
        }
    }
    erase_answered();
    for (auto& [id, item] : entries_) {
        write_due_rows(item.submission.part);
    }
}

void submission_batcher::apply(const submissions_ended& /*input*/) {
    for (auto& [id, item] : entries_) {
        step(item, deadline_reached{});
    }
}

void submission_batcher::step_batch(std::uint32_t part, const event& trigger) {
    const bool retry_at_once = std::holds_alternative<row_stored>(trigger) ||
                               std::holds_alternative<write_deferred>(trigger);
    writing_[part] = false;
    for (auto& [id, item] : entries_) {
        if (item.in_batch && item.submission.part == part) {
            item.in_batch = false;
            item.not_before = retry_at_once ? now_ : now_ + retry_delay;
            step(item, trigger);
        }
    }
    erase_answered();
    write_due_rows(part);
}

void submission_batcher::step(entry& item, const event& trigger) {
    step_context context{item, effects_};
    machine_.step(item.position, context, trigger);
}

void submission_batcher::write_due_rows(std::uint32_t part) {
    bool& writing = writing_[part];
    if (writing) {
        return;
    }
    write_batch batch{part, {}};
    std::size_t bytes = 0;
    for (auto& [id, item] : entries_) {
        const workflow_submitted& submission = item.submission;
        if (submission.part != part || now_ < item.not_before) {
            continue;
        }
        const bool repeated = std::ranges::any_of(
            batch.rows, [&](const accepted_workflow* row) { return row->id == submission.row.id; });
        const bool fits =
            batch.rows.empty() || (!item.alone && batch.rows.size() < max_transaction_rows &&
                                   bytes + submission.bytes <= max_transaction_bytes);
        if (repeated || !fits) {
            continue;
        }
        step(item, write_begun{});
        item.in_batch = true;
        bytes += submission.bytes;
        batch.rows.push_back(&submission.row);
        if (item.alone) {
            break;
        }
    }
    if (!batch.rows.empty()) {
        writing = true;
        effects_.emplace_back(std::move(batch));
    }
}

void submission_batcher::erase_answered() {
    std::erase_if(entries_,
                  [this](const auto& item) { return machine_.is_final(item.second.position); });
}

} // namespace citronford
