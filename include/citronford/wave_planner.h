#pragma once

#include "citronford/dispatcher.h"
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

/// What is stored of a wave, so that the next owner goes on with it.
struct wave_record {
    wave_number number = 0;
    std::int64_t begun_unix_ms = 0;
    std::vector<vm_id> maintained;

    friend bool operator==(const wave_record&, const wave_record&) = default;
};

// Effects.

/// Maintain a VM of a wave; answer with `vm_answered`.
struct maintain_vm {
    wave_number wave = 0;
    vm_id vm;
};
struct save_wave {
    wave_record record;
};
/// Tell the operators how far a wave is.
struct show_wave {
    wave_number wave = 0;
    bool completed = false;
};

using wave_effect = std::variant<maintain_vm, save_wave, show_wave>;

struct wave_options {
    duration maintenance_time{};                ///< Until a maintained VM is back.
    duration longest_task = milliseconds(2500); ///< Until a closing server is usually empty.
    /// Until one long-running task serves elsewhere and the next of its step may follow.
    duration task_move = milliseconds(3000);
};

/// What the planner knows of the fleet at one moment.
struct wave_view {
    std::span<const fleet_vm> vms; ///< As listed last.
    instant listed_at{};           ///< When that list was asked for.
    std::span<const backend_load> loads;
    std::span<const vm_id> barred; ///< An earlier owner may have ordered these a moment ago.
    bool may_order = false;        ///< Orders to VMs are allowed now.
};

/// Carries out the maintenance waves of the operators: chooses VMs whose pools need them least,
/// empties their backend servers, and keeps to the limit of each wave and to its time.
class wave_planner {
  public:
    /// `life_cycle` is the chart `vm_order`.
    static absl::StatusOr<wave_planner> create(const chart& life_cycle, wave_options options);

    /// Adds a wave, or takes over a new order for it. `unix_ms` is the time of day.
    void order(const wave_order& wave, std::int64_t unix_ms, instant now);
    void withdraw(wave_number wave);

    /// What an earlier owner has stored of a wave.
    void restore(const wave_record& record, std::int64_t unix_ms, instant now);

    void answer(wave_number wave, const vm_id& vm, vm_order_result result, instant now);
    std::vector<wave_effect> plan(const wave_view& view, instant now);

    /// Servers to close, by the last plan.
    [[nodiscard]] const backends_to_drain& closing() const { return closing_; }

    /// Whether a wave is not completed.
    [[nodiscard]] bool active() const;

    /// VMs that are being maintained, or are about to be.
    [[nodiscard]] std::vector<vm_id> taken() const;

  private:
    struct wave_state {
        wave_order order;
        instant begun_at{};
        std::int64_t begun_unix_ms = 0;
        std::vector<vm_under_order> members;
        bool changed = false; ///< Since it was saved last.
        bool shown_running = false;
        bool shown_completed = false;
    };
    /// How much of a pool is in use.
    struct pool_use {
        std::int64_t capacity = 0;
        std::int64_t used = 0;
        std::size_t servers = 0;
        std::size_t closed = 0;
    };

    wave_planner(vm_order_cycle cycle, wave_options options)
        : cycle_(std::move(cycle)), options_(options) {}

    void step(const wave_state& wave, vm_under_order& item, const vm_order_event& event,
              instant now, std::vector<wave_effect>& effects) const;
    void follow(wave_state& wave, const wave_view& view, instant now,
                std::vector<wave_effect>& effects) const;
    void choose(wave_state& wave, const wave_view& view, instant now,
                std::vector<wave_effect>& effects) const;
    void report(wave_state& wave, std::vector<wave_effect>& effects) const;
    void list_closing(const wave_view& view);
    [[nodiscard]] bool short_of_time(const wave_state& wave, const wave_view& view,
                                     instant now) const;

    vm_order_cycle cycle_;
    wave_options options_;
    std::map<wave_number, wave_state> waves_;
    std::map<wave_number, wave_record> restored_; ///< Read before the order.
    backends_to_drain closing_;
};

} // namespace citronford
