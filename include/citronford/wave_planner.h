#pragma once

#include "citronford/dispatcher.h"
#include "citronford/fleet_index.h"
#include "citronford/fleet_rows.h"
#include "citronford/instant.h"
#include "citronford/vm_fleet.h"
#include "citronford/vm_order_cycle.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// The stored progress of a wave, from which the next owner continues it.
struct wave_record {
    wave_number number = 0;
    std::int64_t begun_unix_ms = 0;
    std::vector<vm_id> maintained;

    friend bool operator==(const wave_record&, const wave_record&) = default;
};

// Effects.

/// Maintain a VM of a wave; report the result to `wave_planner::handle_result`.
struct maintain_vm {
    wave_number wave = 0;
    vm_id vm;
};
/// Store the progress of a wave.
struct save_wave {
    wave_record record;
};
/// Show the state of a wave to the operators.
struct publish_wave_status {
    wave_number wave = 0;
    bool completed = false;
};

using wave_effect = std::variant<maintain_vm, save_wave, publish_wave_status>;

struct wave_options {
    duration maintenance_time{};              ///< From a maintenance order to the VM's return.
    duration drain_time = milliseconds(2500); ///< Until a draining server is usually empty.
    /// Until a long-running task serves on another server, so that the next task of its step may
    /// leave.
    duration task_move_time = milliseconds(3000);
};

/// The state of the fleet as the planner sees it.
struct wave_view {
    const fleet_index& fleet;       ///< Most recent list of VMs, and the loads of their servers.
    instant listed_at{};            ///< When that list was requested.
    std::span<const vm_id> blocked; ///< An earlier owner may have ordered these VMs just before.
    bool may_order = false;         ///< Orders to VMs are allowed now.
};

/// Carries out the maintenance waves that operators order: chooses the VMs whose pools need them
/// least, drains their backend servers, and keeps to the concurrency limit and the time limit of
/// each wave.
class wave_planner {
  public:
    /// `life_cycle` is the chart `vm_order`.
    static absl::StatusOr<wave_planner> create(const chart& life_cycle, wave_options options);

    /// Adds a wave, or applies a changed order for it. `unix_ms` is the time of day.
    void set_wave(const wave_order& wave, std::int64_t unix_ms, instant now);
    void withdraw(wave_number wave);

    /// Continues from the progress that an earlier owner stored.
    void restore(const wave_record& record, std::int64_t unix_ms, instant now);

    void handle_result(wave_number wave, const vm_id& vm, vm_order_result result, instant now);
    std::vector<wave_effect> plan(const wave_view& view, instant now);

    /// Backend servers to drain now and later, as of the last plan.
    [[nodiscard]] const backends_to_drain& servers_to_drain() const { return servers_to_drain_; }

    /// Whether any wave is not completed.
    [[nodiscard]] bool active() const;

    /// VMs that are being maintained, or are draining for it.
    [[nodiscard]] std::vector<vm_id> vms_in_progress() const;

  private:
    struct wave_state {
        wave_order order;
        instant begun_at{};
        std::int64_t begun_unix_ms = 0;
        std::vector<vm_order_entry> members;
        bool unsaved = false; ///< Whether it has changed since it was saved last.
        bool published_running = false;
        bool published_completed = false;
    };
    /// Utilisation of one pool.
    struct pool_use {
        std::int64_t capacity = 0; ///< Millicores.
        std::int64_t used = 0;     ///< Millicores.
        std::size_t servers = 0;
        std::size_t draining = 0; ///< VMs of the wave that are draining or may be unavailable.
    };

    wave_planner(vm_order_cycle cycle, wave_options options)
        : cycle_(std::move(cycle)), options_(options) {}

    void step(const wave_state& wave, vm_order_entry& entry, const vm_order_event& event,
              instant now, std::vector<wave_effect>& effects) const;
    void advance_orders(wave_state& wave, const wave_view& view, instant now,
                        std::vector<wave_effect>& effects) const;
    /// VMs that may be down for an order of the wave.
    /// Whether a VM may be down for its maintenance, by an order of this owner or of an earlier
    /// one.
    [[nodiscard]] bool may_be_down(const vm_order_entry& entry, const wave_view& view) const;
    [[nodiscard]] std::ptrdiff_t count_unavailable(const wave_state& wave,
                                                   const wave_view& view) const;
    void choose_vms(wave_state& wave, const wave_view& view, instant now,
                    std::vector<wave_effect>& effects) const;
    void publish_and_save(wave_state& wave, std::vector<wave_effect>& effects) const;
    void update_servers_to_drain(const wave_view& view);
    [[nodiscard]] bool is_short_of_time(const wave_state& wave, const wave_view& view,
                                        instant now) const;

    vm_order_cycle cycle_;
    wave_options options_;
    std::map<wave_number, wave_state> waves_;
    std::map<wave_number, wave_record> restored_; ///< Records whose wave is not yet known.
    backends_to_drain servers_to_drain_;
};

} // namespace citronford
