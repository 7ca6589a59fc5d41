#include "stop_series/backend_vm.h"

#include "io/log.h"

#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr const char* local_host = "127.0.0.1";
constexpr const char* pool = "pool-1";
constexpr const char* zone = "zone-1";
constexpr std::size_t body_limit = std::size_t{16} << 20U;

/// Interval in which backend servers register themselves, and the missed ones after which the
/// platform removes a registration.
constexpr duration heartbeat_period = milliseconds(1500);
constexpr int max_missed_heartbeats = 3;

json capacity(const backend_options& options) {
    return {{"Cpu", options.processors * 1000}, {"MemMb", 131072}, {"Gpu", 0}};
}

const char* name_of(blocked_traffic traffic) {
    switch (traffic) {
    case blocked_traffic::dropped:
        return "dropped";
    case blocked_traffic::held:
        return "held";
    case blocked_traffic::proxied:
        return "proxied";
    }
    return "";
}

} // namespace

absl::StatusOr<std::unique_ptr<backend_vm>>
backend_vm::create(uv_loop_t* loop, timer_service& timers, platform_store& store,
                   run_ledger& ledger, backend_options options, std::size_t number,
                   std::uint64_t seed) {
    std::unique_ptr<backend_vm> vm(new backend_vm(timers, store, ledger, options, number, seed));
    auto listener = http_server::create(
        loop, {local_host, 0}, body_limit,
        [vm = vm.get()](const http_request& request, const http_responder& responder) {
            if (vm->server_) {
                vm->server_->handle(request, responder);
            }
        });
    if (!listener.ok()) {
        return listener.status();
    }
    vm->listener_ = *std::move(listener);
    auto gate = tcp_gate::create(loop, vm->listener_->port());
    if (!gate.ok()) {
        return gate.status();
    }
    vm->gate_ = *std::move(gate);
    vm->start_server();
    return vm;
}

backend_vm::backend_vm(timer_service& timers, platform_store& store, run_ledger& ledger,
                       backend_options options, std::size_t number, std::uint64_t seed)
    : timers_(timers), store_(store), ledger_(ledger), options_(options), number_(number),
      id_("i-" + std::to_string(number)), random_(seed * 1009 + number) {}

void backend_vm::start() {
    send_heartbeat(timers_.now());
    heartbeats_ = timers_.every(heartbeat_period, [this](instant now) { send_heartbeat(now); });
}

void backend_vm::start_server() {
    // A clock starts at any value and may be 2% slow.
    backend_options options = options_;
    options.clock_start_ms = std::uniform_int_distribution<std::int64_t>(1, 1000000)(random_);
    options.clock_rate = std::uniform_real_distribution<double>(0.98, 1.0)(random_);
    server_ = std::make_unique<backend_model>(id_, options, timers_, ledger_);
    sequence_ = 0;
    log_event(log_level::info, "server_started",
              {{"backend", id_}, {"clock_ms", options.clock_start_ms}});
}

void backend_vm::restart_server(duration silence, blocked_traffic traffic) {
    log_event(log_level::info, "server_crashed",
              {{"backend", id_},
               {"runs", static_cast<std::int64_t>(server_->running())},
               {"silence_ms", to_ms(silence)},
               {"traffic", name_of(traffic)}});
    server_.reset();
    gate_->close(traffic);
    gate_->end_server_connections();
    // The next heartbeat may be later than the first call.
    timers_.once(silence, [this](instant) {
        start_server();
        gate_->open();
    });
}

void backend_vm::cut_off(duration length) {
    log_event(log_level::info, "server_cut_off",
              {{"backend", id_},
               {"runs", static_cast<std::int64_t>(server_->running())},
               {"lease_ms", server_->lease_left_ms()}});
    cut_ = true;
    gate_->close(blocked_traffic::dropped);
    timers_.once(length, [this](instant) {
        log_event(log_level::info, "server_back", {{"backend", id_}});
        cut_ = false;
        gate_->open();
    });
}

void backend_vm::send_heartbeat(instant now) {
    if (!reachable()) {
        if (now - last_heartbeat_ >= max_missed_heartbeats * heartbeat_period) {
            store_.remove("servers", id_);
        }
        return;
    }
    last_heartbeat_ = now;
    store_.put("servers", id_,
               {{"Service", pool},
                {"Address", std::string(local_host) + ":" + std::to_string(gate_->port())},
                {"Zone", zone},
                {"Version", "v1"},
                {"Slots", 8},
                {"State", "ready"},
                {"ColdMs", 0},
                {"Capacity", capacity(options_)},
                {"Labels", labels()},
                {"born", server_->born_unix_ms()},
                {"Seq", ++sequence_}});
}

json backend_vm::labels() const {
    return {"a", "r1-" + std::to_string(number_)};
}

json backend_vm::listed() const {
    return {{"Machine", "m-" + std::to_string(number_)},
            {"Pool", pool},
            {"State", "up"},
            {"Zone", zone},
            {"Labels", labels()},
            {"Capacity", capacity(options_)},
            {"Id", id_}};
}

} // namespace citronford
