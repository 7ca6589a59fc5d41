#pragma once

#include "io/http_server.h"
#include "stop_series/backend_model.h"
#include "stop_series/platform_store.h"
#include "stop_series/tcp_gate.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <uv.h>

#include <memory>
#include <random>
#include <string>

namespace citronford {

/// A VM with a backend server that registers itself. The server can crash and start again under
/// its identifier, and the VM can be cut off from all others.
class backend_vm {
  public:
    /// `number` names the VM and its server. Fails with `listen_failed`.
    static absl::StatusOr<std::unique_ptr<backend_vm>>
    create(uv_loop_t* loop, timer_service& timers, platform_store& store, run_ledger& ledger,
           backend_options options, std::size_t number, std::uint64_t seed);

    backend_vm(const backend_vm&) = delete;
    backend_vm& operator=(const backend_vm&) = delete;
    backend_vm(backend_vm&&) = delete;
    backend_vm& operator=(backend_vm&&) = delete;
    ~backend_vm() = default;

    /// Registers the server, and again in each heartbeat interval.
    void start();

    /// Ends the server's process; a new one, which knows nothing of it, answers after `silence`.
    void restart_server(duration silence, blocked_traffic traffic);

    /// Neither a call nor a registration passes for `length`; the server runs on.
    void cut_off(duration length);

    /// Whether the server neither restarts nor is cut off.
    [[nodiscard]] bool reachable() const { return server_ != nullptr && !cut_; }
    [[nodiscard]] const std::string& id() const { return id_; }

    /// The entry of the VM in the platform's list.
    [[nodiscard]] nlohmann::json listed() const;

  private:
    backend_vm(timer_service& timers, platform_store& store, run_ledger& ledger,
               backend_options options, std::size_t number, std::uint64_t seed);

    void start_server();
    void send_heartbeat(instant now);
    [[nodiscard]] nlohmann::json labels() const;

    timer_service& timers_;
    platform_store& store_;
    run_ledger& ledger_;
    backend_options options_;
    std::size_t number_;
    std::string id_;
    std::mt19937_64 random_;
    std::unique_ptr<http_server> listener_;
    std::unique_ptr<tcp_gate> gate_;
    std::unique_ptr<backend_model> server_; ///< Null between two processes.
    std::uint64_t sequence_ = 0;
    instant last_heartbeat_;
    bool cut_ = false;
    timer_subscription heartbeats_;
};

} // namespace citronford
