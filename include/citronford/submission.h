#pragma once

#include "citronford/chart_machine.h"
#include "citronford/instant.h"
#include "citronford/workflow.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// Identifies one submission whose caller waits for the answer.
enum class submission_id : std::uint64_t {};

// Inputs.

struct workflow_submitted {
    submission_id id{};
    accepted_workflow row;
    std::uint32_t part = 0; ///< Part of the table; one transaction can write rows of one part only.
    instant deadline{};     ///< When the caller stops waiting.
    std::size_t bytes = 0;  ///< Size of the row as stored.
};
/// All rows of a batch were written.
struct batch_stored {
    std::uint32_t part = 0;
};
/// Nothing of the batch was written, because the rows of the jobs `stored` exist already.
struct batch_conflict {
    std::uint32_t part = 0;
    std::vector<job_id> stored;
};
/// Nothing of the batch was written, because the table refused it or could not be reached.
struct batch_refused {
    std::uint32_t part = 0;
};
/// Nothing of the batch was written, because the table rejects one of its rows.
struct batch_rejected {
    std::uint32_t part = 0;
};
/// The batch may have been written.
struct batch_in_doubt {
    std::uint32_t part = 0;
};
struct submission_tick {};
/// The process ends: every caller is answered now, and nothing more is written.
struct submissions_ended {};

using submission_input =
    std::variant<workflow_submitted, batch_stored, batch_conflict, batch_refused, batch_rejected,
                 batch_in_doubt, submission_tick, submissions_ended>;

// Effects.

/// Write the rows in one transaction that requires that none of them exists. The pointers are valid
/// until the next input.
struct write_batch {
    std::uint32_t part = 0;
    std::vector<const accepted_workflow*> rows;
};
enum class submission_result {
    accepted,
    refused,  ///< Not stored, and never will be.
    rejected, ///< As `refused`; the table would reject the row again.
    unknown,  ///< May be stored.
};
struct answer_submission {
    submission_id id{};
    job_id job;
    submission_result result = submission_result::unknown;
};

using submission_effect = std::variant<write_batch, answer_submission>;

/// Stores the workflows that callers submit to one node, and decides how each caller is answered.
/// Writes the waiting rows of a part in one batch, with at most one transaction under way per part.
class submission_batcher {
  public:
    /// `life_cycle` is the chart `submission`.
    static absl::StatusOr<submission_batcher> create(const chart& life_cycle);

    std::vector<submission_effect> handle(const submission_input& input, instant now);

    /// Number of submissions whose callers have not been answered.
    [[nodiscard]] std::size_t unanswered() const { return entries_.size(); }

  private:
    struct entry {
        workflow_submitted submission;
        chart_position position{};
        int refused_writes = 0;
        instant not_before{}; ///< Time of the next write at the earliest.
        bool in_batch = false;
        bool alone = false; ///< Written in a batch of its own, after one with it was rejected.
    };
    struct step_context {
        entry& item;
        std::vector<submission_effect>& effects;
    };

  public:
    // Events of one submission.
    struct write_begun {
        static constexpr std::string_view event_name = "write_begun";
    };
    struct row_stored {
        static constexpr std::string_view event_name = "row_stored";
    };
    /// The batch was not written because another row of it exists already.
    struct write_deferred {
        static constexpr std::string_view event_name = "write_deferred";
    };
    struct write_refused {
        static constexpr std::string_view event_name = "write_refused";
    };
    /// The table rejects the row.
    struct write_rejected {
        static constexpr std::string_view event_name = "write_rejected";
    };
    struct write_in_doubt {
        static constexpr std::string_view event_name = "write_in_doubt";
    };
    struct deadline_reached {
        static constexpr std::string_view event_name = "deadline_reached";
    };
    using event = std::variant<write_begun, row_stored, write_deferred, write_refused,
                               write_rejected, write_in_doubt, deadline_reached>;

  private:
    using machine = chart_machine<step_context, event>;
    using entry_map = std::map<std::uint64_t, entry>;

    explicit submission_batcher(machine life_cycle) : machine_(std::move(life_cycle)) {}

    void apply(const workflow_submitted& input);
    void apply(const batch_stored& input);
    void apply(const batch_conflict& input);
    void apply(const batch_refused& input);
    void apply(const batch_rejected& input);
    void apply(const batch_in_doubt& input);
    void apply(const submission_tick& input);
    void apply(const submissions_ended& input);
    void step_batch(std::uint32_t part, const event& trigger);
    void step(entry& item, const event& trigger);
    void write_due_rows(std::uint32_t part);
    void erase_answered();

    machine machine_;
    entry_map entries_;
    std::map<std::uint32_t, bool> writing_; ///< Whether a part has a batch under way.
    instant now_{};
    std::vector<submission_effect> effects_;
};

} // namespace citronford
