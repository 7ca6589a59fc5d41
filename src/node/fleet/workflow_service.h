#pragma once

#include "citronford/queue_catalog.h"
#include "citronford/submission.h"
#include "citronford/timer_service.h"
#include "citronford/workflow_caller.h"
#include "io/metrics.h"
#include "node/fleet/observed_table.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace citronford {

/// Serves the callers of one entry VM from the platform's table: stores workflows and orders to
/// cancel them, and shows states and queues. Any entry VM can answer for any workflow.
class workflow_service {
  public:
    workflow_service(submission_desk decisions, observed_table& table, timer_service& timers,
                     metrics& registry);
    workflow_service(const workflow_service&) = delete;
    workflow_service& operator=(const workflow_service&) = delete;
    workflow_service(workflow_service&&) = delete;
    workflow_service& operator=(workflow_service&&) = delete;
    ~workflow_service() = default;

    void start();

    void submit(accepted_workflow row, duration timeout, workflow_reply reply);
    void show(const job_id& job, workflow_reply reply);
    void cancel(const job_id& job, workflow_reply reply);
    void show_queue(const queue_id& queue, workflow_reply reply);

    /// Callers that have not been answered.
    [[nodiscard]] std::size_t open() const { return open_; }

  private:
    using state_callback = std::function<void(absl::StatusOr<workflow_answer>)>;

    void handle(const submission_input& input);
    void perform(const write_batch& effect);
    void perform(const answer_submission& effect);
    void read_state(const job_id& job, state_callback done);
    void read_work_row(const job_id& job, state_callback done);
    void remember_end(const job_id& job, workflow_state state);
    void store_cancel(const job_id& job, int tries, workflow_reply reply);
    [[nodiscard]] bool table_is_out() const;

    submission_desk decisions_;
    observed_table& table_;
    timer_service& timers_;
    metrics& registry_;
    timer_subscription ticks_;
    struct waiting_caller {
        workflow_reply reply;
        instant since{};
    };
    std::map<std::uint64_t, waiting_caller> callers_;
    std::uint64_t last_submission_ = 0;
    std::size_t open_ = 0;
    /// States that do not change any more, so that they need not be read again.
    std::unordered_map<job_id, workflow_state> ends_;
    std::deque<job_id> ends_in_order_;
};

} // namespace citronford
