// Checks that no node deletes a claim row before its retention has elapsed, and that old rows are
// deleted.
#include "citronford/chart.h"
#include "citronford/claim_sweep.h"
#include "citronford/manual_timer_service.h"
#include "proofs/proof.h"

#include <map>
#include <optional>
#include <random>

namespace {

using namespace citronford;

constexpr duration retention = seconds(60);
constexpr duration run_time = seconds(400);
constexpr std::uint32_t buckets = 4;

/// Simulates three nodes that are restarted at random and run the sweep in turn, sometimes two at
/// once. Replies of the table are delayed or lost, and transactions in doubt may commit late.
class sweep_model {
  public:
    explicit sweep_model(std::uint64_t seed) : random_(static_cast<std::uint32_t>(seed * 7919)) {
        for (std::size_t index = 0; index < std::size(nodes_); ++index) {
            restart(index);
            keep_timer(time_.every(milliseconds(100),
                                   [this, index](instant) { handle(index, sweep_tick{}); }));
        }
        keep_timer(time_.every(milliseconds(200), [this](instant) { write_claim(); }));
        reassign();
    }

    proof_result run() {
        time_.advance(run_time);
        std::size_t overdue_rows = 0;
        for (const auto& [key, row] : rows_) {
            overdue_rows += time_.now() - row.written_at > 4 * retention ? 1 : 0;
        }
        if (deleted_rows_ < overdue_rows) {
            record_violation(
                "fewer claim rows were deleted than are left beyond four times the retention");
        }
        return result_;
    }

  private:
    struct stored_row {
        std::string value;
        table_version version = 0;
        instant written_at;
    };

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    duration random_ms(int min_ms, int max_ms) {
        return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
    }
    std::size_t random_node() { return random_() % std::size(nodes_); }
    void keep_timer(timer_subscription timer) { timers_.push_back(std::move(timer)); }
    template <class Function> void run_after(duration delay, Function function) {
        keep_timer(time_.after(delay, [function = std::move(function)](instant) { function(); }));
    }
    void record_violation(const std::string& detail) {
        ++result_.violations;
        result_.detail = result_.detail.empty() ? detail : result_.detail;
    }

    void restart(std::size_t index) {
        static const chart sweep_chart =
            chart::load(std::string(CITRONFORD_CHARTS) + "/claim_sweep.scxml").value();
        ++incarnations_[index];
        nodes_[index] = *claim_sweep::create(sweep_chart, {.retention = retention,
                                                           .buckets = buckets,
                                                           .deletion_interval = milliseconds(100),
                                                           .clock_write_interval = seconds(2),
                                                           .retry_delay = seconds(1)});
    }

    void reassign() {
        const std::size_t assigned = random_node();
        for (std::size_t index = 0; index < std::size(nodes_); ++index) {
            if (index == assigned || chance(0.1)) {
                handle(index, sweep_assigned{});
            } else if (chance(0.9)) {
                handle(index, sweep_released{});
            }
        }
        if (chance(0.2)) {
            restart(random_node());
        }
        run_after(random_ms(1000, 60000), [this] { reassign(); });
    }

    void write_claim() {
        // One write in four updates an older row, as the outcome of a claim does.
        const std::uint64_t number =
            chance(0.25) && claim_count_ > 100 ? claim_count_ - 100 : ++claim_count_;
        const std::string key = claim_bucket_prefix(number % buckets) + std::to_string(number);
        rows_[key] = {"claimed", ++version_, time_.now()};
    }

    void handle(std::size_t index, const claim_sweep_input& input) {
        ++result_.steps;
        for (const claim_sweep_effect& effect : nodes_[index]->handle(input, time_.now())) {
            std::visit([&](const auto& item) { perform(index, item); }, effect);
        }
    }
    void reply(std::size_t index, const claim_sweep_input& input) {
        const int incarnation = incarnations_[index];
        const duration delay = chance(0.05) ? random_ms(1000, 30000) : random_ms(1, 50);
        run_after(delay, [this, index, input, incarnation] {
            if (incarnations_[index] == incarnation) {
                handle(index, input);
            }
        });
    }

    void perform(std::size_t index, const sweep_scan& effect) {
        sweep_rows_read result{effect.call, {}};
        for (const auto& [key, row] : rows_) {
            if (key.starts_with(effect.prefix)) {
                result.rows.push_back({key, row.value, row.version});
            }
        }
        reply(index,
              chance(0.05) ? claim_sweep_input(sweep_failed{effect.call}) : std::move(result));
    }

    void perform(std::size_t index, const sweep_transaction& effect) {
        const bool lost = chance(0.1);
        if (lost) {
            reply(index, sweep_failed{effect.call});
        }
        run_after(lost ? random_ms(1, 8000) : random_ms(1, 500), [this, index, effect, lost] {
            const bool committed = apply(effect);
            if (!lost) {
                reply(index, committed ? claim_sweep_input(sweep_committed{effect.call, version_})
                                       : sweep_failed{effect.call});
            }
        });
    }

    bool apply(const sweep_transaction& effect) {
        for (const table_check& check : effect.checks) {
            const auto found = rows_.find(check.key);
            if ((found == rows_.end() ? absent_row : found->second.version) != check.version) {
                return false;
            }
        }
        ++version_;
        for (const table_write& write : effect.writes) {
            if (write.value) {
                rows_[write.key] = {*write.value, version_, time_.now()};
                continue;
            }
            if (time_.now() - rows_[write.key].written_at < retention) {
                record_violation(write.key + " was deleted before its retention had elapsed");
            }
            rows_.erase(write.key);
            ++deleted_rows_;
        }
        return true;
    }

    std::minstd_rand random_;
    manual_timer_service time_;
    std::vector<timer_subscription> timers_;
    std::optional<claim_sweep> nodes_[3];
    int incarnations_[3] = {};
    std::map<std::string, stored_row> rows_;
    table_version version_ = 0;
    std::uint64_t claim_count_ = 0;
    std::size_t deleted_rows_ = 0;
    proof_result result_;
};

const proof_registration registration("claim-retention",
                                      [](std::uint64_t seed) { return sweep_model(seed).run(); });

} // namespace
