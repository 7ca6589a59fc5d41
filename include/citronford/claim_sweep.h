#pragma once

#include "citronford/chart_machine.h"
#include "citronford/instant.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// Elapsed time of the fleet, kept in a row of the table. The sweeping node adds only the time it
/// measured between two of its own accesses to the row, so that clocks of two nodes are never
/// compared and the sum never exceeds the real elapsed time.
struct sweep_clock {
    /// Rows up to `version` were written no later than `elapsed`.
    struct watermark {
        duration elapsed{};
        table_version version = 0;
    };
    duration elapsed{};
    std::vector<watermark> watermarks; ///< In ascending order.

    /// Returns a clock at zero if `text` is malformed.
    static sweep_clock parse(std::string_view text);
    [[nodiscard]] std::string text() const;

    /// The highest version whose rows are known to be at least `retention` old at `time`;
    /// `absent_row` if there is none.
    [[nodiscard]] table_version horizon(duration time, duration retention) const;
};

// Inputs of the claim sweep.

/// This node is to run the sweep.
struct sweep_assigned {
    static constexpr std::string_view event_name = "assigned";
};
/// This node is no longer to run the sweep.
struct sweep_released {
    static constexpr std::string_view event_name = "released";
};
struct sweep_stop {
    static constexpr std::string_view event_name = "stop";
};
struct sweep_tick {
    static constexpr std::string_view event_name = "tick";
};
/// Rows returned by a `sweep_scan`.
struct sweep_rows_read {
    static constexpr std::string_view event_name = "rows_read";
    std::uint64_t call = 0;
    std::vector<table_row> rows;
};
struct sweep_committed {
    static constexpr std::string_view event_name = "committed";
    std::uint64_t call = 0;
    table_version version = 0;
};
/// A scan or transaction failed: the table returned an error, a check failed or the result is
/// unknown.
struct sweep_failed {
    static constexpr std::string_view event_name = "failed";
    std::uint64_t call = 0;
};

using claim_sweep_input = std::variant<sweep_assigned, sweep_released, sweep_stop, sweep_tick,
                                       sweep_rows_read, sweep_committed, sweep_failed>;

// Effects of the claim sweep; the reply carries the same `call` number.

struct sweep_scan {
    std::uint64_t call = 0;
    std::string prefix;
};
struct sweep_transaction {
    std::uint64_t call = 0;
    std::vector<table_check> checks;
    std::vector<table_write> writes;
};

using claim_sweep_effect = std::variant<sweep_scan, sweep_transaction>;

struct claim_sweep_options {
    duration retention = seconds(86400); ///< Minimum age at which a claim row is deleted.
    /// Buckets into which claim keys are divided; one bucket is scanned at a time.
    std::uint32_t buckets = 65536;
    int passes_per_retention = 8; ///< Maximum number of passes over all buckets per retention.
    duration scan_interval = milliseconds(50);      ///< Minimum time between two scans.
    duration deletion_interval = milliseconds(200); ///< Minimum time between two deletions.
    std::size_t batch_limit = 64;                   ///< Maximum number of rows per transaction.
    duration clock_write_interval = seconds(60);    ///< Maximum time between two clock writes.
    duration retry_delay = seconds(5);
};

/// Deletes claim rows after their retention. The age of a row follows from its version and the
/// clock row, so no state of the node that wrote it is needed. One node at a time runs the sweep;
/// two at once are safe because every write is conditional.
class claim_sweep {
  public:
    /// `life_cycle` is the chart `claim_sweep`.
    static absl::StatusOr<claim_sweep> create(const chart& life_cycle, claim_sweep_options options);

    std::vector<claim_sweep_effect> handle(const claim_sweep_input& input, instant now);

    void set_retention(duration retention);

  private:
    struct step_context {
        claim_sweep_options options;
        instant now;
        std::uint64_t last_call = 0;
        sweep_clock clock;         ///< As read from, or last sent to, the clock row.
        table_version version = 0; ///< Version of the clock row.
        instant version_known_at;  ///< When `clock` was read or its write was acknowledged.
        instant last_scan_at;      ///< When the last scan was sent.
        instant last_deletion_at;  ///< When the last deletion was sent.
        instant pause_started_at;
        std::uint32_t next_bucket = 0;
        std::vector<table_check> expired; ///< Expired rows of the last scan, not yet deleted.
        std::vector<claim_sweep_effect> effects;

        [[nodiscard]] duration current_elapsed() const {
            return clock.elapsed + (now - version_known_at);
        }
        [[nodiscard]] table_version horizon() const;
    };
    using machine = chart_machine<step_context, claim_sweep_input>;

    claim_sweep(machine life_cycle, claim_sweep_options options);

    machine machine_;
    chart_position position_;
    step_context context_;
};

/// Key prefix of the claims in `bucket`.
std::string claim_bucket_prefix(std::uint32_t bucket);

} // namespace citronford
