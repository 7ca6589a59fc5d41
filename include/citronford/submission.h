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

/// Names one caller that waits for the answer to its submission.
enum class submission_id : std::uint64_t {};

// Inputs.

struct workflow_submitted {
    submission_id id{};
    accepted_workflow row;
    std::uint32_t part = 0; ///< Of the table; rows of one part can be written together.
    instant deadline{};     ///< When the caller stops waiting.
};
/// All rows of a batch were written.
struct batch_stored {
    std::uint32_t part = 0;
};
/// Nothing of the batch was written, since these jobs are stored already.
struct batch_conflict {
    std::uint32_t part = 0;
    std::vector<job_id> stored;
};
/// Nothing of the batch was written.
struct batch_refused {
    std::uint32_t part = 0;
};
/// The batch may have been written.
struct batch_in_doubt {
    std::uint32_t part = 0;
};
struct submission_tick {};

using submission_input = std::variant<workflow_submitted, batch_stored, batch_conflict,
                                      batch_refused, batch_in_doubt, submission_tick>;

// Effects.

/// Write the rows, each under the condition that it does not exist. The references hold until the
/// next input.
struct write_batch {
    std::uint32_t part = 0;
    std::vector<const accepted_workflow*> rows;
};
enum class submission_result {
    accepted,
    refused, ///< Not stored, and it never will be.
    unknown, ///< It may be stored.
};
struct answer_submission {
    submission_id id{};
    job_id job;
    submission_result result = submission_result::unknown;
};

using submission_effect = std::variant<write_batch, answer_submission>;

/// Stores the workflows of the callers of one node, several in a transaction and one transaction a
/// part at a time, and decides what each caller may be told.
class submission_desk {
  public:
    /// `life_cycle` is the chart `submission`.
    static absl::StatusOr<submission_desk> create(const chart& life_cycle);

    std::vector<submission_effect> handle(const submission_input& input, instant now);

    /// Callers that have not been answered.
    [[nodiscard]] std::size_t open() const { return entries_.size(); }

  private:
    struct entry {
        workflow_submitted submission;
        chart_position position{};
        int tries = 0;
        instant not_before{};
        bool in_batch = false;
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
    /// The batch was not written because of another row.
    struct write_deferred {
        static constexpr std::string_view event_name = "write_deferred";
    };
    struct write_refused {
        static constexpr std::string_view event_name = "write_refused";
    };
    struct write_in_doubt {
        static constexpr std::string_view event_name = "write_in_doubt";
    };
    struct time_over {
        static constexpr std::string_view event_name = "time_over";
    };
    using event = std::variant<write_begun, row_stored, write_deferred, write_refused,
                               write_in_doubt, time_over>;

  private:
    using machine = chart_machine<step_context, event>;
    using entry_map = std::map<std::uint64_t, entry>;

    explicit submission_desk(machine life_cycle) : machine_(std::move(life_cycle)) {}

    void take(const workflow_submitted& input);
    void take(const batch_stored& input);
    void take(const batch_conflict& input);
    void take(const batch_refused& input);
    void take(const batch_in_doubt& input);
    void take(const submission_tick& input);
    void step_batch(std::uint32_t part, const event& what);
    void step(entry& item, const event& what);
    void write(std::uint32_t part);
    void erase_answered();

    machine machine_;
    entry_map entries_;
    std::map<std::uint32_t, bool> writing_; ///< Parts with a batch under way.
    instant now_{};
    std::vector<submission_effect> effects_;
};

} // namespace citronford
