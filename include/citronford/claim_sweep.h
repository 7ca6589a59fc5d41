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

/// Time that passed in the fleet, as the table remembers it. The sweeping node adds what it
/// measured between two of its own looks at the row, so that clocks of two nodes are never compared
/// and the sum is at most the time that really passed.
struct sweep_clock {
    /// A version of the clock row and its time: rows up to that version are at least as old.
    struct mark {
        duration elapsed{};
        table_version version = 0;
    };
    duration elapsed{};
    std::vector<mark> marks; ///< In rising order.

    /// Zero for a text that is not a clock.
    static sweep_clock parse(std::string_view text);
    [[nodiscard]] std::string text() const;

    /// Rows up to this version are older than `retention` at `time`; `absent_row` when none are
    /// known.
    [[nodiscard]] table_version horizon(duration time, duration retention) const;
};

// Inputs of the sweep.

/// This node is chosen to sweep.
struct sweep_chosen {
    static constexpr std::string_view event_name = "chosen";
};
/// Another node is chosen.
struct sweep_released {
    static constexpr std::string_view event_name = "released";
};
struct sweep_stop {
    static constexpr std::string_view event_name = "stop";
};
struct sweep_tick {
    static constexpr std::string_view event_name = "tick";
};
/// The rows that a call of the sweep read.
struct sweep_read {
    static constexpr std::string_view event_name = "row_read";
    std::uint64_t call = 0;
    std::vector<table_row> rows;
};
struct sweep_committed {
    static constexpr std::string_view event_name = "committed";
    std::uint64_t call = 0;
    table_version version = 0;
};
/// A call failed, its check failed or its result is not known.
struct sweep_failed {
    static constexpr std::string_view event_name = "failed";
    std::uint64_t call = 0;
};

using claim_sweep_input = std::variant<sweep_chosen, sweep_released, sweep_stop, sweep_tick,
                                       sweep_read, sweep_committed, sweep_failed>;

// Effects of the sweep; the answer carries the number of the call.

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
    duration retention = seconds(86400); ///< How long a claim row is kept at least.
    /// Parts into which claim keys are divided; one is read at a time.
    std::uint32_t buckets = 65536;
    int rounds = 8;                           ///< Readings of all parts in one retention, at most.
    duration bucket_pause = milliseconds(50); ///< Least time between two readings.
    duration deletion_pause = milliseconds(200); ///< Least time between two transactions.
    std::size_t batch_limit = 64;                ///< Rows deleted by one transaction, at most.
    duration clock_period = seconds(60);         ///< Longest time between two writes of the clock.
    duration retry_pause = seconds(5);
};

/// Deletes claim rows after their retention. It remembers nothing of their writers: the age of a
/// row follows from its version and the clock row. One node is enough; two do no harm, since every
/// write is conditional.
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
        sweep_clock clock;         ///< Of the row, or as it is being written.
        table_version version = 0; ///< Of the clock row.
        instant known_at;          ///< When the row was known to have this version.
        instant bucket_at;         ///< When a bucket was read last.
        instant deleted_at;        ///< When a transaction was sent last.
        instant paused_at;
        std::uint32_t bucket = 0;
        std::vector<table_check> expired; ///< Rows of the bucket that are to be deleted.
        std::vector<claim_sweep_effect> effects;

        [[nodiscard]] duration time() const { return clock.elapsed + (now - known_at); }
        [[nodiscard]] table_version horizon() const;
    };
    using machine = chart_machine<step_context, claim_sweep_input>;

    claim_sweep(machine life_cycle, claim_sweep_options options);

    machine machine_;
    chart_position position_;
    step_context context_;
};

/// Start of the keys of the claims in `bucket`.
std::string claim_bucket_prefix(std::uint32_t bucket);

} // namespace citronford
