#pragma once

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"
#include "citronford/fleet_rows.h"
#include "citronford/instant.h"
#include "citronford/vm_fleet.h"

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
    duration maintenance_time{};  ///< Until a maintained VM is back.
    duration longest_task = milliseconds(2500); ///< Until a closing server is usually empty.
};

/// What the planner knows of the fleet at one moment.
struct wave_view {
    std::span<const fleet_vm> vms; ///< As listed last.
    instant listed_at{};           ///< When that list was asked for.
    std::span<const backend_load> loads;
    bool may_order = false; ///< Orders to VMs are allowed now.
};

/// Carries out the maintenance waves of the operators: chooses VMs whose pools need them least,
/// empties their backend servers, and keeps to the limit of each wave and to its time.
class wave_planner {
  public:
    /// `life_cycle` is the chart `maintained_vm`.
    static absl::StatusOr<wave_planner> create(const chart& life_cycle, wave_options options);

    /// Adds a wave, or takes over a new order for it. `unix_ms` is the time of day.
    void order(const wave_order& wave, std::int64_t unix_ms, instant now);
    void withdraw(wave_number wave);

    /// What an earlier owner has stored of a wave.
    void restore(const wave_record& record, std::int64_t unix_ms, instant now);

    std::vector<wave_effect> answer(wave_number wave, const vm_id& vm, vm_order_result result,
                                    instant now);
    std::vector<wave_effect> plan(const wave_view& view, instant now);

    /// Servers to close, by the last plan.
    [[nodiscard]] const backends_closing& closing() const { return closing_; }

    /// Whether a wave is not completed.
    [[nodiscard]] bool active() const;

    /// Whether a wave still needs `vm`, so that it should not be moved.
    [[nodiscard]] bool involves(const vm_id& vm) const;

    // Events of one VM.
    struct vm_chosen {
        static constexpr std::string_view event_name = "vm_chosen";
    };
    /// Nothing that matters runs on it any more.
    struct vm_clear {
        static constexpr std::string_view event_name = "vm_clear";
    };
    /// Its pool needs it, and there is time.
    struct vm_released {
        static constexpr std::string_view event_name = "vm_released";
    };
    struct vm_absent {
        static constexpr std::string_view event_name = "vm_absent";
    };
    struct order_done {
        static constexpr std::string_view event_name = "order_done";
    };
    struct order_postponed {
        static constexpr std::string_view event_name = "order_postponed";
    };
    struct order_doubtful {
        static constexpr std::string_view event_name = "order_in_doubt";
    };
    struct order_rejected {
        static constexpr std::string_view event_name = "order_rejected";
    };
    struct repeat_due {
        static constexpr std::string_view event_name = "repeat_due";
    };
    struct vm_back {
        static constexpr std::string_view event_name = "vm_back";
    };
    using event = std::variant<vm_chosen, vm_clear, vm_released, vm_absent, order_done,
                               order_postponed, order_doubtful, order_rejected, repeat_due, vm_back>;

  private:
    struct wave_state;
    struct member {
        vm_id vm;
        chart_position position{};
        instant since{}; ///< When the present state was entered.
    };
    struct step_context {
        wave_number wave = 0;
        member& item;
        instant now{};
        std::vector<wave_effect>& effects;
    };
    using machine = chart_machine<step_context, event>;

    struct wave_state {
        wave_order order;
        instant begun_at{};
        std::int64_t begun_unix_ms = 0;
        std::vector<member> members;
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

    wave_planner(machine life_cycle, wave_options options)
        : machine_(std::move(life_cycle)), options_(options) {}

    void step(wave_state& wave, member& item, const event& what, instant now,
              std::vector<wave_effect>& effects);
    void follow(wave_state& wave, const wave_view& view, instant now,
                std::vector<wave_effect>& effects);
    void choose(wave_state& wave, const wave_view& view, instant now,
                std::vector<wave_effect>& effects);
    void report(wave_state& wave, std::vector<wave_effect>& effects);
    void list_closing(const wave_view& view);
    [[nodiscard]] bool is(const member& item, std::string_view state) const {
        return machine_.name_of(item.position) == state;
    }
    /// Whether the VM may be down by an order of this wave.
    [[nodiscard]] bool may_be_down(const member& item) const;
    [[nodiscard]] bool short_of_time(const wave_state& wave, instant now) const;

    machine machine_;
    wave_options options_;
    std::map<wave_number, wave_state> waves_;
    std::map<wave_number, wave_record> restored_; ///< Read before the order.
    backends_closing closing_;
};

} // namespace citronford
