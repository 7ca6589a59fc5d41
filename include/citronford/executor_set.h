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

/// The executors that the platform currently lists; replaces the previous listing.
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

/// Effect: check the health of an executor on a new connection.
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
    zone_id zone;                     ///< Zone of the node; executors in this zone are preferred.
    int slots = 8;                    ///< Maximum number of concurrent requests of one executor.
    duration probe_interval{2000000}; ///< An executor without contact for this time is probed.
    duration probe_timeout{3000000};  ///< A probe without a result is repeated after this time.
    duration initial_backoff{500000}; ///< First delay before probing an ejected executor; doubles.
    duration max_backoff{30000000};   ///< Maximum of this delay.
    /// Time since the last sign of departure before a listing may bring an executor back. Must
    /// exceed the lag of the listing, since a stale listing shows the executor as live.
    duration rejoin_delay{60000000};
    std::uint32_t seed = 1; ///< Seed of the random selection of executors.
};

/// The view that one node has of the executors: health, departure, load and concurrency limit.
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

    /// Executors in removed zones get no new requests.
    void set_removed_zones(std::span<const zone_removal> removals);
    void update(const executor_listing& listing, instant now);
    void tick(instant now);
    void record_probe(const probe_report& report, instant now);

    /// Selects the less loaded of two random executors of `service` with a free slot in the zone
    /// of the node. With `spill`, falls back to executors of other zones that are below half of
    /// their limit. While the zone of the node is removed, other zones are used even without
    /// `spill`, because its callers may not have moved yet. Never returns `excluded`.
    std::optional<choice> choose(const service_id& service, bool spill, instant now,
                                 const executor_id& excluded = {});

    /// Records that an attempt was sent to `id`.
    void record_sent(const executor_id& id);
    /// Records the result of an attempt that was sent to `id`.
    void record_result(const executor_id& id, const attempt_result& result, instant now);

    /// Sum of the concurrency limits of the healthy executors in allowed zones.
    [[nodiscard]] int capacity(const service_id& service, bool spill) const;
    [[nodiscard]] int in_flight(const service_id& service) const;
    /// Whether any executor in an allowed zone is healthy or suspect.
    [[nodiscard]] bool available(const service_id& service, bool spill) const;
    /// Whether `update` was called.
    [[nodiscard]] bool has_listing() const { return has_listing_; }
    /// Services of an executor; empty for an unknown one.
    [[nodiscard]] std::span<const service_id> services_of(const executor_id& id) const;
    /// State of an executor in the chart `connection`; empty for an unknown one.
    [[nodiscard]] std::string_view state_of(const executor_id& id) const;

    /// Returns and clears the probes to send.
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
        double limit = 0; ///< Concurrency limit, from 1 to `executor_set_options::slots`.
        instant limit_lowered_at;
        instant saturated_until; ///< End of the pause after a refusal.
        int failures = 0;        ///< Server errors and lost attempts since the last good answer.
        int ejections = 0;       ///< Since the last good answer.
        instant next_probe_at;   ///< When an ejected executor may be probed.
        instant last_contact_at;
        std::optional<instant> probe_sent_at; ///< Set while a probe is in flight.
        bool listed = true;
        std::optional<instant> departure_seen_at; ///< Last sign of departure.
        instant unlisted_at;
    };

    executor_set(machine life_cycle, executor_set_options options);

    static std::span<const machine::guard> guards();
    static std::span<const machine::action> actions();

    void step(executor& subject, const event& occurred, instant now);
    void record_departure(executor& subject, instant now);
    void rebuild_index();
    [[nodiscard]] bool accepts_work(const executor& subject) const;
    [[nodiscard]] bool in_allowed_zone(const executor& subject, bool spill) const;
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
    bool has_listing_ = false;
};

} // namespace citronford
