#pragma once

#include "citronford/timer_service.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "stop_series/backend_vm.h"
#include "stop_series/entry_vms.h"
#include "stop_series/job_checks.h"
#include "stop_series/kept_caller.h"
#include "stop_series/platform_store.h"
#include "stop_series/server_faults.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace citronford {

/// What a series of stops does and how much of it.
struct stop_scenario_options {
    std::uint64_t seed = 1;
    std::size_t callers = 100;
    std::size_t vms = 3;
    std::size_t stops = 6;
    std::size_t waiting_tasks =
        0; ///< Handed in before the first stop, more than the fleet can run.
    caller_options caller;
    bool stops_overlap = false; ///< The next stop does not wait until the VM is back.
    bool owner_only = false;    ///< Stops the owner each time.
    bool pauses = false;        ///< Holds each daemon up while it stops, as a busy VM does.
    bool silences = false;      ///< The store does not answer while a daemon stops.
    bool kills = false;         ///< Every second stop is a SIGKILL.
    bool reloads = false;       ///< SIGHUP to all daemons every now and then.
    bool restarts = false; ///< Backend servers restart and are cut off instead; see server_faults.
    bool proxied = false;  ///< Restarting servers stand behind a proxy that keeps connections.
    bool changes = false;  ///< New versions of the configuration every now and then.
};

/// What callers and backend servers saw.
struct stop_scenario_result {
    std::uint64_t requests = 0;
    std::uint64_t cut = 0; ///< Ended without a whole answer; without those of killed daemons.
    std::uint64_t cut_by_kill = 0; ///< The same, on connections to a daemon that was killed.
    std::uint64_t stale = 0;       ///< Found their connection ended within the grace of a stop.
    std::uint64_t lost = 0;        ///< Of `cut`, those later than `loss_slack` after the last byte.
    std::uint64_t unanswered = 0;
    std::uint64_t late = 0; ///< Answered after the caller's deadline.
    std::uint64_t unreachable = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrong_ends =
        0; ///< Processes that ended unasked, by force after the grace, or with a failure.
    std::uint64_t accepted_jobs = 0;
    std::uint64_t unfinished_jobs = 0; ///< Accepted, not cancelled, and not shown as ended rightly.
    std::uint64_t stalled_jobs = 0;    ///< Of which no task was started in time.
    std::uint64_t refused_jobs_run = 0;
    std::uint64_t doubled_tasks = 0;
    std::uint64_t server_restarts = 0;
    std::uint64_t owner_kills = 0;
    duration longest_cut{};
    duration longest_stop{};
};

/// Plays a series of stops of entry VMs under callers that keep their connections.
class stop_scenario {
  public:
    /// Age of an unanswered request at which its cut counts as lost.
    static constexpr duration loss_slack = milliseconds(200);

    static absl::StatusOr<std::unique_ptr<stop_scenario>>
    create(uv_loop_t* loop, timer_service& timers, stop_scenario_options options,
           entry_vm_options daemons, std::function<void(const stop_scenario_result&)> done);

    stop_scenario(const stop_scenario&) = delete;
    stop_scenario& operator=(const stop_scenario&) = delete;
    stop_scenario(stop_scenario&&) = delete;
    stop_scenario& operator=(stop_scenario&&) = delete;
    ~stop_scenario() = default;

    void start();

    /// Ends all daemons at once.
    void kill_daemons() const { fleet_->kill_all(); }

  private:
    stop_scenario(uv_loop_t* loop, timer_service& timers, stop_scenario_options options,
                  duration stop_grace, std::function<void(const stop_scenario_result&)> done);

    absl::Status open_platform(entry_vm_options daemons);
    absl::Status add_backends(duration longest_lease);
    void write_configuration();
    void list_vms(const http_request& request, const http_responder& responder) const;
    void wait_until_ready();
    void begin();
    void submit_waiting_tasks();
    void schedule_stop();
    void find_owner(std::size_t vm);
    void stop_vm(std::size_t vm);
    void hold_up(std::size_t vm);
    void silence_store();
    void schedule_reload();
    void schedule_change();
    void process_ended(const ended_process& ended);
    void note(const request_outcome& outcome);
    void finish_callers();
    void check_jobs();
    [[nodiscard]] std::uint64_t stalled(const submitted_jobs& jobs) const;
    void conclude();
    [[nodiscard]] duration between(duration least, duration most);

    uv_loop_t* loop_;
    timer_service& timers_;
    stop_scenario_options options_;
    duration stop_grace_;
    std::function<void(const stop_scenario_result&)> done_;
    std::mt19937_64 random_;
    platform_store store_;
    run_ledger ledger_;
    std::vector<std::unique_ptr<backend_vm>> backends_;
    std::vector<std::unique_ptr<http_server>> servers_;
    std::unique_ptr<entry_vms> fleet_;
    std::unique_ptr<server_faults> server_faults_;
    std::vector<std::unique_ptr<kept_caller>> callers_;
    http_client calls_;
    std::unique_ptr<job_checks> checks_;
    std::size_t stops_left_ = 0;
    std::int64_t version_ = 3;
    bool stopping_done_ = false;
    stop_scenario_result result_;
};

} // namespace citronford
