#pragma once

#include "citronford/endpoint.h"
#include "citronford/timer_service.h"
#include "io/http_client.h"

#include <absl/status/statusor.h>
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Where the daemons and their files are, and what they connect to.
struct entry_vm_options {
    std::string program;       ///< Path of citronford_fleetd.
    std::string template_path; ///< Of the settings.
    std::string charts;        ///< Directory of the state charts.
    std::string directory;     ///< For settings and logs.
    std::uint16_t store_port = 0;
    std::uint16_t vm_list_port = 0;
    duration stop_grace{};               ///< From SIGTERM to SIGKILL.
    duration longest_lease = seconds(6); ///< That backend servers grant.
};

/// One life of the daemon on an entry VM that has ended.
struct ended_process {
    std::size_t vm = 0;
    std::optional<duration> after_stop; ///< From SIGTERM to its end; empty without a SIGTERM.
    std::int64_t exit_code = 0;
    int signal = 0;
};

/// The entry VMs of a fleet on loopback: one process of citronford_fleetd each, and the load
/// balancer's view of their readiness.
class entry_vms {
  public:
    /// Writes the settings of `count` VMs, one in each zone. Fails with `internal_error` when a
    /// file cannot be read or written.
    static absl::StatusOr<std::unique_ptr<entry_vms>>
    create(uv_loop_t* loop, timer_service& timers, entry_vm_options options, std::size_t count);

    entry_vms(const entry_vms&) = delete;
    entry_vms& operator=(const entry_vms&) = delete;
    entry_vms(entry_vms&&) = delete;
    entry_vms& operator=(entry_vms&&) = delete;
    ~entry_vms();

    void on_end(std::function<void(const ended_process&)> function);

    void launch(std::size_t vm);
    /// Sends SIGTERM, and SIGKILL after the grace.
    void request_stop(std::size_t vm);
    void send(std::size_t vm, int signal_number) const;
    /// Sends SIGKILL to all processes.
    void kill_all() const;

    [[nodiscard]] std::size_t size() const { return vms_.size(); }
    [[nodiscard]] bool running(std::size_t vm) const { return vms_[vm]->pid != 0; }
    [[nodiscard]] bool stopping(std::size_t vm) const { return vms_[vm]->stop_at.has_value(); }
    /// Time since the SIGTERM of the present process, or of the last one that has ended.
    [[nodiscard]] std::optional<duration> since_stop(std::size_t vm) const;
    /// Whether the present process, or the last one that has ended, was sent SIGKILL other than at
    /// the end of its grace.
    [[nodiscard]] bool killed(std::size_t vm) const { return vms_[vm]->killed; }
    /// VMs that the load balancer gives new connections to: those in rotation, or all when fewer
    /// than half are.
    [[nodiscard]] std::vector<std::size_t> rotation() const;
    [[nodiscard]] bool ready(std::size_t vm) const { return vms_[vm]->ready; }
    /// Whether the present process has answered a probe.
    [[nodiscard]] bool started(std::size_t vm) const { return vms_[vm]->started; }
    [[nodiscard]] const endpoint& callers(std::size_t vm) const { return vms_[vm]->callers; }
    [[nodiscard]] const endpoint& metrics(std::size_t vm) const { return vms_[vm]->metrics; }

  private:
    struct entry_vm {
        std::string name;
        endpoint callers;
        endpoint health;
        endpoint metrics;
        std::string settings;
        std::string log;
        int pid = 0;
        std::optional<instant> stop_at; ///< Of the present process.
        std::optional<instant> last_stop_at;
        bool killed = false;
        bool ready = false;
        bool started = false;
        int missed_probes = 0;
        timer_subscription kill_timer;
    };
    struct process_handle;

    entry_vms(uv_loop_t* loop, timer_service& timers, entry_vm_options options);

    absl::Status add(std::size_t number, const std::string& address);
    void probe_all();
    void process_ended(std::size_t vm, std::int64_t exit_code, int signal_number);

    uv_loop_t* loop_;
    timer_service& timers_;
    entry_vm_options options_;
    http_client probes_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::function<void(const ended_process&)> ended_;
    timer_subscription probe_ticks_;
};

} // namespace citronford
