#include "decide/dispatch/dispatcher_state.h"

#include "citronford/table_service.h"

#include <algorithm>
#include <string>
#include <utility>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::mark_changed(workflow_entry& entry) {
    if (!entry.changed) {
        entry.changed = true;
        entry.ticket = ++last_ticket_;
        changed_.push_back(&entry);
    }
}

void dispatcher::implementation::save_changes() {
    if (saving_) {
        return;
    }
    const auto deferred = std::stable_partition(
        changed_.begin(), changed_.end(),
        [this](const workflow_entry* entry) { return now_ >= entry->save_not_before; });
    const auto due = static_cast<std::size_t>(deferred - changed_.begin());
    const std::size_t rows = std::min(max_transaction_rows, due);
    if (rows == 0) {
        note_saved_completions();
        return;
    }
    save_progress save;
    for (std::size_t index = 0; index < rows; ++index) {
        workflow_entry& entry = *changed_[index];
        entry.changed = false;
        saving_ticket_ = std::max(saving_ticket_, entry.ticket);
        save.rows.push_back({entry.row.id, entry.progress()});
    }
    changed_.erase(changed_.begin(), changed_.begin() + static_cast<std::ptrdiff_t>(rows));
    saving_ = true;
    effects_.emplace_back(std::move(save));
}

void dispatcher::implementation::process(const progress_saved& input) {
    // A row that the table rejects is written again after a pause, with the progress of that time.
    // Its completions are acknowledged all the same: servers list a limited number, so that those
    // of other workflows would not be seen behind them.
    constexpr duration rejected_row_pause = seconds(5);
    for (const job_id& job : input.rejected) {
        const auto found = workflows_.find(job);
        if (found != workflows_.end()) {
            found->second->save_not_before = now_ + rejected_row_pause;
            mark_changed(*found->second);
        }
    }
    saving_ = false;
    saved_ticket_ = saving_ticket_;
    note_saved_completions();
}

void dispatcher::implementation::note_saved_completions() {
    std::erase_if(unsaved_, [this](const auto& item) {
        unsaved_completions& completions = item.second->completions;
        completions.advance(saved_ticket_);
        return completions.empty();
    });
}

void dispatcher::implementation::remove_ended() {
    std::erase_if(awaiting_removal_, [this](const job_id& id) {
        const auto found = workflows_.find(id);
        if (found == workflows_.end()) {
            return true;
        }
        if (found->second->changed || found->second->runs > 0) {
            return false;
        }
        workflows_.erase(found);
        return true;
    });
}

void dispatcher::implementation::prune_recently_ended() {
    // By then, the rows of ended workflows have long been marked as ended and are ignored.
    constexpr duration retention = seconds(180);
    constexpr duration period = seconds(10);
    if (now_ < recently_ended_pruned_at_ + period) {
        return;
    }
    recently_ended_pruned_at_ = now_;
    std::erase_if(recently_ended_,
                  [&](const auto& item) { return now_ >= item.second + retention; });
}

} // namespace citronford
