#pragma once

#include "citronford/dispatcher.h"
#include "proofs/proof.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// Probabilities of the faults of one run, for each second unless said otherwise.
struct workflow_faults {
    double request_lost = 0.01;    ///< Of an order or a look, each.
    double reply_lost = 0.02;      ///< Of an order or a look, each.
    double request_delayed = 0.02; ///< Of an order, each: it is carried out 2 to 12 s later.
    double task_fails = 0.03;      ///< Of a run, each.
    double backend_crash = 0.06;
    double backend_partitioned = 0.10; ///< From the owner; it runs on.
    double owner_killed = 0.03;
    double owner_store_partitioned = 0.05; ///< It cannot renew, save or see new work, but acts on.
    double owner_frozen = 0.03;
    double cancelled = 0.10; ///< Of a workflow, each.
};

/// A store, backend servers and successive owners of the scheduler in virtual time. The real
/// dispatchers run against models of the backend servers, which judge what they are told.
class workflow_world {
  public:
    workflow_world(std::uint64_t seed, workflow_faults faults);

    /// Results by promise.
    using results = std::map<std::string, proof_result, std::less<>>;

    /// Plays 40 s of faults and 40 calm ones. Counts the violations of each promise.
    results run(std::span<const std::string_view> promises);

  private:
    struct model_run {
        task_key task;
        std::uint32_t run = 0;
        instant ends_at{};
        completion_kind kind = completion_kind::done;
        resources size;
    };
    struct model_end {
        run_completion end;
        bool acknowledged = false;
        bool lease_expired_since = false; ///< The lease lapsed between the end and its note.
    };
    struct model_backend {
        backend_registration registration;
        bool up = true;
        instant process_start{};
        double clock_rate = 1;
        fencing_token fence = 0;
        backend_clock_ms lease_until = 0;
        std::vector<model_run> running;
        std::vector<model_end> completions;
        std::map<task_key, std::uint32_t>
            highest_barred_run; ///< Highest run that was stopped or has ended.
        std::uint64_t last_end = 0;
        instant down_until{};
        std::optional<instant> registers_at; ///< After a restart.
        instant partitioned_until{};         ///< From the owners.
    };
    struct owner {
        std::unique_ptr<dispatcher> decisions;
        fencing_token token = 0;
        instant begun_at{};
        bool alive = true;
        instant lease_until{};
        instant sends_commands_until{};
        instant frozen_until{};
        instant store_partitioned_until{};
        std::vector<progress_row> unsaved; ///< Of the save that is under way.
    };
    using owner_ref = std::shared_ptr<owner>;
    struct start_message {
        run_id run{};
        start_command order;
        std::string checkpoint;
    };
    struct stop_message {
        run_id run{};
        stop_command order;
    };
    struct look_message {
        poll_request order;
    };
    using message_body = std::variant<start_message, stop_message, look_message>;
    struct message {
        owner_ref from;
        backend_id to;
        message_body body;
        instant sent_at{};
        instant deliver_at{};
        instant times_out_at{}; ///< The sender takes the answer as lost.
        bool lost = false;
        bool reply_lost = false;
        bool delivered = false;
        bool answered = false;
        instant connected_incarnation{}; ///< Start of the process that the connection leads to.
        instant held_until{};            ///< A held look answers then at the latest.
    };
    struct stored_workflow {
        accepted_workflow row;
        workflow_progress progress;
        bool cancelled = false;
        instant cancelled_at{};
        instant stored_at{};
    };

    void report_violation(std::string_view promise, const std::string& detail);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound);

    void step();
    void submit_work();
    void cancel_work();
    void inject_faults();
    void update_ownership();
    void register_restarted();
    void start_owner();
    void tick_owner(const owner_ref& instance);
    void handle_input(const owner_ref& instance, const dispatch_input& input);
    void perform(const owner_ref& instance, const send_start& effect);
    void perform(const owner_ref& instance, const send_stop& effect);
    void perform(const owner_ref& instance, const send_poll& effect);
    void perform(const owner_ref& instance, const save_progress& effect);
    void perform(const owner_ref& instance, const fenced_out& effect);
    void perform(const owner_ref& /*who*/, const log_decision& /*effect*/) {}
    void send(const owner_ref& instance, const backend_address& to, message_body body,
              duration wait);
    void deliver_messages();
    void answer(message& item);
    void answer(message& item, const start_message& body);
    void answer(message& item, const stop_message& body);
    void answer(message& item, const look_message& body);
    void time_out(message& item);
    command_result start_task(model_backend& server, const start_command& order);
    void check_start(const model_backend& server, const start_command& order);
    command_result stop_run(model_backend& server, const stop_command& order);
    poll_reply answer_poll(model_backend& server, const poll_request& order);
    void advance(model_backend& server);
    void end_run(model_backend& server, const model_run& run, completion_kind kind);
    void check_final_state();
    [[nodiscard]] backend_clock_ms clock_of(const model_backend& server) const;
    [[nodiscard]] const workflow_step& step_of(const task_key& task) const;
    [[nodiscard]] bool store_reachable(const owner& instance) const;

    std::mt19937_64 random_;
    workflow_faults faults_;
    results results_;
    instant now_{seconds(1000)};
    bool fault_free_ = false;
    bool sender_up_to_date_ =
        false; ///< The start being judged was ordered with up-to-date knowledge.
    std::map<backend_id, model_backend> backends_;
    std::map<job_id, stored_workflow> store_;
    std::vector<owner_ref> owners_; ///< The last one is the owner by the store.
    std::vector<message> messages_;
    std::shared_ptr<const queue_catalog> catalog_;
    std::set<task_key> acknowledged_done_;
    std::set<task_key> done_tasks_;
    std::map<task_key, std::uint32_t> acknowledged_failures_;
    std::uint64_t last_job_ = 0;
};

} // namespace citronford
