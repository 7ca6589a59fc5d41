#pragma once

#include "citronford/chart_machine.h"
#include "citronford/endpoint.h"
#include "citronford/executor_link.h"
#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <variant>
#include <vector>

namespace citronford {

/// The executors that the platform lists at present; replaces the list before.
struct executor_listing {
    struct executor {
        executor_id id;
        service_id service; ///< An executor of several services is listed once for each.
        zone_id zone;
        endpoint address;
        bool leaving = false;
    };
    std::vector<executor> executors;
};

/// Check the health of an executor on a new connection.
struct probe_executor {
    executor_id executor;
    endpoint to;
};

/// Result of a probe.
struct probe_report {
    executor_id executor;
    bool healthy = false;
    bool leaving = false;
};

struct executor_set_options {
    zone_id zone;                    ///< Zone of the node; its executors are preferred.
    int slots = 8;                   ///< Requests that one executor runs at once.
    duration probe_period{2000000};  ///< An executor not heard for so long is probed.
    duration probe_timeout{3000000}; ///< A probe without a report is repeated after this time.
    duration backoff{500000};        ///< First pause before an ejected executor is probed; doubles.
    duration backoff_most{30000000}; ///< Longest such pause.
    /// How long after the last sign of departure a list may bring an executor back; longer than
    /// any lag of the list.
    duration rejoin_delay{60000000};
    std::uint32_t seed = 1; ///< Seed of the random choice between executors.
};

/// The executors as one node sees them: health, departure, load and concurrency limit.
class executor_set {
  public:
    struct choice {
        executor_id id;
        endpoint address;
    };

    /// `life_cycle` is the chart `connection`. Fails with `chart_invalid`.
    static absl::StatusOr<executor_set> create(const chart& life_cycle,
                                               executor_set_options options);

    executor_set(const executor_set&) = delete;
    executor_set& operator=(const executor_set&) = delete;
    executor_set(executor_set&&) = default;
    executor_set& operator=(executor_set&&) = default;
    ~executor_set() = default;

    /// Executors in removed zones get no new work.
    void set_removed_zones(std::span<const zone_removal> removals);
    void update(const executor_listing& listing, instant now);
    void tick(instant now);
    void take_probe(const probe_report& report, instant now);

    /// The less loaded of two random executors of `service` with a free slot in the zone of the
    /// node; with `spill`, one of another zone at less than half of its limit when the own zone
    /// has none. While the own zone is removed, other zones are used without `spill`: its callers
    /// may not have moved yet. Never `excluded`.
    std::optional<choice> choose(const service_id& service, bool spill, instant now,
                                 const executor_id& excluded = {});

    /// An attempt was sent to `id`.
    void note_sent(const executor_id& id);
    /// The attempt ended.
    void note_result(const executor_id& id, const attempt_result& result, instant now);

    /// Requests that the executors within reach may run at once for this node.
    [[nodiscard]] int capacity(const service_id& service, bool spill) const;
    [[nodiscard]] int in_flight(const service_id& service) const;
    /// Whether any executor within reach is healthy or suspect.
    [[nodiscard]] bool available(const service_id& service, bool spill) const;
    /// Whether a list was taken in.
    [[nodiscard]] bool listed() const { return listed_; }
    /// Services of an executor.
    [[nodiscard]] std::span<const service_id> services_of(const executor_id& id) const;
    /// Name of the state of an executor in the chart; empty for an unknown one.
    [[nodiscard]] std::string_view state_of(const executor_id& id) const;

    /// The probes asked for since the last call.
    std::vector<probe_executor> take_probes();

  private:
    struct executor;
    struct answered {
        static constexpr std::string_view event_name = "answered";
    };
    struct refused {
        static constexpr std::string_view event_name = "refused";
    };
    struct failed {
        static constexpr std::string_view event_name = "failed";
    };
    struct lost {
        static constexpr std::string_view event_name = "lost";
    };
    struct unreachable {
        static constexpr std::string_view event_name = "unreachable";
    };
    struct probe_healthy {
        static constexpr std::string_view event_name = "probe_healthy";
    };
    struct probe_failed {
        static constexpr std::string_view event_name = "probe_failed";
    };
    struct departure {
        static constexpr std::string_view event_name = "departure";
    };
    struct unlisted {
        static constexpr std::string_view event_name = "unlisted";
    };
    struct tick_passed {
        static constexpr std::string_view event_name = "tick";
    };
    using event = std::variant<answered, refused, failed, lost, unreachable, probe_healthy,
                               probe_failed, departure, unlisted, tick_passed>;
    struct step_context {
        executor_set& set;
        executor& subject;
        instant now;
    };
    using machine = chart_machine<step_context, event>;

    struct executor {
        executor_id id;
        zone_id zone;
        endpoint address;
        std::vector<service_id> services;
        chart_position position{};
        int in_flight = 0;
        double limit = 0; ///< Requests that may run at once; from 1 to the slots.
        instant lowered_at;
        instant full_until;
        int failures = 0;   ///< Failed answers and lost attempts since the last good answer.
        int ejections = 0;  ///< Since the last good answer.
        instant probe_from; ///< When an ejected executor may be probed.
        instant heard_at;
        std::optional<instant> probed_at; ///< When the probe under way was sent.
        bool listed = true;
        std::optional<instant> departed_at; ///< Last sign that the executor leaves.
        instant unlisted_at;
    };

    executor_set(machine life_cycle, executor_set_options options);

    static std::span<const machine::guard> guards();
    static std::span<const machine::action> actions();

    void step(executor& subject, const event& occurred, instant now);
    void note_departure(executor& subject, instant now);
    void rebuild_index();
    [[nodiscard]] bool takes_work(const executor& subject) const;
    [[nodiscard]] bool within_reach(const executor& subject, bool spill) const;
    executor* find(const executor_id& id);
    [[nodiscard]] std::span<executor* const> members(const service_id& service) const;

    machine machine_;
    executor_set_options options_;
    chart_position healthy_;
    chart_position suspect_;
    chart_position leaving_;
    std::map<executor_id, executor> executors_;
    std::map<service_id, std::vector<executor*>> by_service_;
    std::set<zone_id> removed_zones_;
    std::vector<probe_executor> probes_;
    std::minstd_rand random_;
    bool listed_ = false;
};

} // namespace citronford
