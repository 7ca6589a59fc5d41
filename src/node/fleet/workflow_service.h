#pragma once

#include "citronford/queue_catalog.h"
#include "citronford/submission.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "citronford/workflow_caller.h"
#include "io/metrics.h"
#include "node/fleet/observed_table.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace citronford {

/// Serves the callers of one entry VM from the platform's table: stores workflows and orders to
/// cancel them, and reads the states of workflows and queues. Every entry VM can serve every
/// workflow.
class workflow_service {
  public:
    workflow_service(submission_batcher decisions, observed_table& table, timer_service& timers,
                     metrics& registry, std::size_t row_bytes = default_row_bytes);
    workflow_service(const workflow_service&) = delete;
    workflow_service& operator=(const workflow_service&) = delete;
    workflow_service(workflow_service&&) = delete;
    workflow_service& operator=(workflow_service&&) = delete;
    ~workflow_service() = default;

    void start();

    /// Decides about each submission of which nothing can be stored yet: the delay after which a
    /// refused one may be submitted again, or nothing for one that is admitted.
    using admission_check = std::function<std::optional<duration>(const accepted_workflow&)>;
    void set_admission_check(admission_check check) { admission_check_ = std::move(check); }

    /// `max_attempts` is that of the queue. Refuses at once a workflow whose rows could exceed the
    /// limit of the table while it runs.
    void submit(accepted_workflow row, std::uint32_t max_attempts, duration timeout,
                workflow_reply reply);

    // Each of these answers `answer_unavailable` when the table gives no result within the time
    // that the caller waits.
    void get_status(const job_id& job, duration timeout, workflow_reply reply);
    void cancel(const job_id& job, duration timeout, workflow_reply reply);
    void get_queue_status(const queue_id& queue, duration timeout, workflow_reply reply);

    /// Answers every caller that waits, as far as the result is known, and refuses each later call
    /// at once. For a process that is about to end.
    void stop();

    /// Number of callers that have not been answered.
    [[nodiscard]] std::size_t unanswered() const { return callers_.size() + calls_.size(); }

  private:
    /// Whether the row of the job may be stored, as far as this process knows.
    [[nodiscard]] bool may_be_stored(const job_id& job) const {
        return submitted_.contains(job) || known_states_.contains(job);
    }
    void note_submitted(const job_id& job);

    using state_callback = std::function<void(absl::StatusOr<workflow_answer>)>;
    using call_number = std::uint64_t;

    void handle(const submission_input& input);
    void perform(const write_batch& effect);
    void process_failed_batch(std::uint32_t part, const absl::Status& status);
    void perform(const answer_submission& effect);
    void read_state(const job_id& job, state_callback done);
    void read_work_row(const job_id& job, state_callback done);
    void cache_state(const job_id& job, workflow_state state);
    void store_cancel(const job_id& job, int attempts_left, call_number call);
    call_number open_call(const job_id& job, duration timeout, workflow_reply reply);
    /// Ignored when the caller has been answered already.
    void answer_call(call_number call, const workflow_answer& answer);
    void answer_late_calls(instant now);
    /// Delay after which a caller that was not served should come again.
    [[nodiscard]] duration retry_delay() const;
    [[nodiscard]] bool table_is_down() const;

    submission_batcher decisions_;
    observed_table& table_;
    timer_service& timers_;
    metrics& registry_;
    std::size_t row_bytes_; ///< Largest value of a row of the table.
    timer_subscription ticks_;
    struct waiting_caller {
        workflow_reply reply;
        instant since{};
    };
    std::map<std::uint64_t, waiting_caller> callers_;
    std::uint64_t last_submission_ = 0;
    /// A caller that waits for a read, or for the order to cancel a workflow.
    struct waiting_call {
        job_id job; ///< Empty for a question about a queue.
        workflow_reply reply;
        instant answer_by{};
    };
    std::map<call_number, waiting_call> calls_;
    call_number last_call_ = 0;
    bool stopped_ = false;
    admission_check admission_check_; ///< Empty: every submission is admitted.
    /// Jobs of which a row may have been written, without those that were submitted long ago.
    std::unordered_set<job_id> submitted_;
    std::deque<job_id> submitted_order_; ///< Oldest first, for eviction.
    /// Cached states. A final state never changes and need not be read again; `pending` only says
    /// that the workflow is stored.
    std::unordered_map<job_id, workflow_state> known_states_;
    std::deque<job_id> known_states_order_; ///< Oldest first, for eviction.
};

} // namespace citronford
