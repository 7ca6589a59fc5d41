#pragma once

#include "citronford/identifier.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace citronford {

/// An accepted workflow.
struct submission {
    job_id job;
    team_id team;
    std::int64_t accepted_unix_ms = 0; ///< As stored with the workflow.
};

/// A changed verdict on a workflow.
struct rate_verdict {
    job_id job;
    bool beyond = false; ///< Exceeds the rate of its team.
};

/// Decides for each workflow whether it exceeds the rate of its team: `weight` workflows a second,
/// with bursts of one second. A token bucket for each team is evaluated over the stored acceptance
/// times, in the order of (time, job), so the verdicts depend on the set of the workflows and not
/// on when and in which order they were read. See docs/design/shares.md for what an owner that does
/// not know the ended workflows concludes.
class submission_rates {
  public:
    /// Acceptance times further ahead of the clock of the owner are reduced to this lead.
    static constexpr std::int64_t max_lead_ms = 2000;
    /// Verdicts on workflows accepted within this time change when older ones are found late.
    /// Longer than any outage of a store after which a rate still matters.
    static constexpr std::int64_t retention_ms = 60000;

    /// Configured weights by team; a team without one has weight 1. Changes apply to all workflows
    /// that are retained.
    void set_weights(std::map<team_id, double> weights);

    /// Adds a workflow that was read at `now_unix_ms`; zero: the time of day is not known. Without
    /// a verdict of `evaluate`, a workflow is within the rate.
    void add(const submission& item, std::int64_t now_unix_ms);

    /// Evaluates what was added; returns the verdicts that changed. Linear in what was added and
    /// what it changes, at most in the retained workflows of the teams concerned.
    std::vector<rate_verdict> evaluate();

    /// Fixes the verdicts on workflows that were accepted before the retention time. Not to be
    /// called while stored workflows are still being read.
    void prune(std::int64_t now_unix_ms);

    /// The last verdict on a retained workflow.
    [[nodiscard]] bool is_beyond(const team_id& team, const job_id& job) const;

    [[nodiscard]] std::size_t retained() const;

  private:
    using position = std::pair<std::int64_t, job_id>; ///< Acceptance time in microseconds, job.
    struct record {
        bool beyond = false;
        /// Unix time at which the bucket is full again after this workflow.
        std::int64_t full_at_us = 0;
    };
    struct team_bucket {
        std::map<position, record> records;
        std::map<job_id, std::int64_t> times; ///< Acceptance times of the records.
        /// Of the workflows that are not retained.
        std::int64_t full_at_us = std::numeric_limits<std::int64_t>::min();
        std::optional<position> first_added; ///< Since the last evaluation.
        std::optional<position> last_added;
    };

    [[nodiscard]] double weight_of(const team_id& team) const;
    void evaluate(const team_id& team, team_bucket& bucket, std::vector<rate_verdict>& changed);

    std::map<team_id, double> weights_; ///< Effective ones.
    std::map<team_id, team_bucket> buckets_;
    std::int64_t newest_us_ = 0; ///< Latest acceptance time.
    std::int64_t pruned_us_ = 0; ///< Workflows accepted before are not retained.
};

} // namespace citronford
