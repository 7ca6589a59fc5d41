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

/// Fault probabilities of one simulation, per second unless stated otherwise.
struct workflow_faults {
    double request_lost = 0.01;    ///< For each command or poll.
    double reply_lost = 0.02;      ///< For each command or poll.
    double request_delayed = 0.02; ///< For each command; it is delivered 2 to 12 s later.
    /// For each command over a connection that is not known to lead to the process that it names;
    /// it is delivered 2 to 12 s later to the process that is up then.
    double request_delayed_past_restart = 0;
    double new_connection = 0.25; ///< For each command or poll, though a connection is kept.
    double task_fails = 0.03;     ///< For each run.
    double task_overruns = 0.15;  ///< For each run; it takes 2 to 12 s more than estimated.
    double backend_crash = 0.06;
    double backend_restart = 0.04;          ///< A crash with a restart within 1 s.
    double backends_restart_together = 0.1; ///< Half of the servers; many are cut off soon after.
    double backend_partitioned = 0.10;      ///< From the owners; the server keeps running.
    double owner_killed = 0.03;
    double owner_store_partitioned = 0.05; ///< No renewal, save or new work; it still sends.
    double owner_frozen = 0.03;
    double cancelled = 0.10; ///< For each workflow.
};

/// Simulates a store, backend servers and successive owners of the scheduler in virtual time. Real
/// dispatchers run against models of the backend servers, which check the commands they receive.
class workflow_world {
  public:
    workflow_world(std::uint64_t seed, workflow_faults faults);

    /// Results by promise.
    using results = std::map<std::string, proof_result, std::less<>>;

    /// Simulates 40 s with faults and 40 s without, and counts the violations of each promise.
    results run(std::span<const std::string_view> promises);

  private:
    static constexpr duration step_time = milliseconds(20);
    static constexpr duration ownership_lease = milliseconds(1600);
    static constexpr duration command_grace = milliseconds(3400);
    static constexpr duration stop_time = milliseconds(200);
    static constexpr duration max_lease = milliseconds(10000);
    static constexpr std::uint32_t attempts = 3;
    static constexpr std::uint64_t longest_clock_ms = 1000000;
    static constexpr resources team_limit{60000, 0, 0};

    struct model_run {
        task_key task;
        std::uint32_t run = 0;
        instant ends_at{};
        completion_kind kind = completion_kind::done;
        resources size;
    };
    struct model_completion {
        run_completion completion;
        bool acknowledged = false;
        bool lease_expired_since = false; ///< Before the completion was acknowledged.
    };
    struct model_backend {
        backend_registration registration;
        backend_registration stored; ///< The registration that the store has.
        bool up = true;
        bool refuses_connections = false; ///< While it is down; otherwise nothing answers.
        instant process_start{};
        double clock_rate = 1;
        backend_clock_ms clock_at_start = 0;
        fencing_token fence = 0;
        backend_clock_ms lease_until = 0;
        std::vector<model_run> running;
        std::vector<model_completion> completions;
        std::map<task_key, std::uint32_t>
            highest_barred_run; ///< Highest run number stopped or ended.
        std::uint64_t last_completion = 0;
        instant down_until{};
        std::optional<instant> registers_at;   ///< After a restart.
        instant partitioned_until{};           ///< From the owners.
        std::optional<instant> partitioned_at; ///< Soon after a restart.
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
        std::vector<progress_row> unsaved; ///< Rows of the save under way.
        /// Starts of the processes that kept connections are known to lead to: a poll was answered
        /// on them.
        std::map<backend_id, instant> kept_connections;
    };
    using owner_ref = std::shared_ptr<owner>;
    struct start_message {
        run_id run{};
        start_command command;
        std::string checkpoint;
    };
    struct stop_message {
        run_id run{};
        stop_command command;
    };
    struct poll_message {
        poll_request request;
    };
    using request_body = std::variant<start_message, stop_message, poll_message>;
    struct message {
        owner_ref from;
        backend_id to;
        request_body body;
        instant sent_at{};
        instant deliver_at{};
        instant times_out_at{}; ///< The sender then treats the answer as lost.
        bool lost = false;
        bool reply_lost = false;
        bool delivered = false;
        bool answered = false;
        /// Start of the process that the connection leads to; nothing while the connection is
        /// being opened, which is retried until the request times out.
        std::optional<instant> connected_process{};
        bool process_known = false; ///< Known to be the process that the request names.
        bool held_up = false;       ///< Sent, and delivered to whichever process is up then.
        bool reset_noticed = false; ///< The sender notices when the process has gone.
        instant reply_by{};         ///< Latest reply to a long poll.
    };
    struct stored_workflow {
        accepted_workflow row;
        workflow_progress progress;
        bool cancelled = false;
        instant cancelled_at{};
        instant stored_at{};
    };

    void report_violation(std::string_view promise, const std::string& detail);
    /// Prints an event if tracing is on; `detail` returns its text.
    template <class Detail>
    void trace(std::string_view event, const backend_id& server, const Detail& detail) const {
        if (tracing()) {
            print(event, server, detail());
        }
    }
    void print(std::string_view event, const backend_id& server, std::string_view detail) const;
    [[nodiscard]] static std::string time_text(instant time) {
        return std::to_string(to_ms(time.time_since_epoch()));
    }
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound);

    void step();
    void submit_work();
    void cancel_work();
    void inject_faults();
    void inject_backend_faults();
    void crash(model_backend& server, duration down_time);
    void restart(model_backend& server);
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
    void perform(const owner_ref& instance, const log_decision& effect);
    void send(const owner_ref& instance, const backend_address& to, request_body body,
              duration wait);
    void connect(message& item);
    void add_faults(message& item);
    void deliver_messages();
    void deliver(message& item);
    void answer(message& item);
    void answer(message& item, const start_message& body);
    void answer(message& item, const stop_message& body);
    void answer(message& item, const poll_message& body);
    void end_without_answer(message& item);
    command_result start_task(model_backend& server, const start_command& command);
    void check_start(const model_backend& server, const start_command& command);
    command_result stop_run(model_backend& server, const stop_command& command);
    poll_reply answer_poll(model_backend& server, const poll_request& request);
    void advance(model_backend& server);
    void end_run(model_backend& server, const model_run& run, completion_kind kind);
    void check_final_state();
    [[nodiscard]] backend_clock_ms clock_of(const model_backend& server) const;
    [[nodiscard]] const workflow_step& step_of(const task_key& task) const;
    [[nodiscard]] bool store_reachable(const owner& instance) const;

    std::mt19937_64 random_;
    workflow_faults faults_;
    duration call_timeout_; ///< Of commands; polls may take their time in addition.
    results results_;
    instant now_{seconds(1000)};
    bool fault_free_ = false;
    bool sender_up_to_date_ =
        false; ///< The sender of the start being checked knew the latest stored state.
    std::map<backend_id, model_backend> backends_;
    std::map<job_id, stored_workflow> store_;
    std::vector<owner_ref> owners_; ///< The store names the last one as the owner.
    std::vector<message> messages_;
    std::optional<instant> owner_fault_at_; ///< Soon after a restart of servers.
    std::shared_ptr<const queue_catalog> catalog_;
    std::set<task_key> acknowledged_done_;
    std::set<task_key> done_tasks_;
    std::map<task_key, std::uint32_t> acknowledged_failures_;
    std::uint64_t last_job_ = 0;
};

} // namespace citronford
