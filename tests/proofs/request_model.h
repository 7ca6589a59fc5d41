#pragma once

#include "citronford/chart.h"
#include "citronford/group_commit.h"
#include "citronford/manual_timer_service.h"
#include "citronford/overloaded.h"
#include "citronford/request_router.h"
#include "proofs/proof.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace citronford {

/// Probabilities of the faults in one run.
struct fault_probabilities {
    double lost_reply = 0.08;       ///< An executor runs a request and its answer is lost.
    double misrouted_reply = 0.04;  ///< The answer to another request arrives.
    double duplicate_reply = 0.04;  ///< The answer arrives again, perhaps after the attempt ended.
    double delayed_request = 0.03;  ///< A request reaches the executor after the attempt timed out.
    double lost_commit_reply = 0.1; ///< A transaction is committed but the table's reply is lost.
    double delayed_commit = 0.05;   ///< A transaction is committed after its sender timed out.
    /// A non-idempotent request is sent again, mostly through the other node.
    double duplicate_submission = 0.3;
    bool duplicates_marked = false;  ///< The second request is marked as repeated.
    double node_crash = 0.3;         ///< One node fails during the run.
    double executor_departure = 0.4; ///< An executor departs during the run.
    double executor_outage = 0.3;    ///< An executor does not answer for up to 5 s.
};

/// Runs the decisions of two nodes against a simulated table and three simulated executors in
/// virtual time. Violations are determined from what the executors ran, not from the state of a
/// router.
class request_model {
  public:
    request_model(std::uint64_t seed, fault_probabilities faults)
        : faults_(faults), random_(static_cast<std::uint32_t>(seed * 7919)), nodes_(2) {
        static const chart request_chart = load_chart("request");
        static const chart connection_chart = load_chart("connection");
        fleet_configuration fleet;
        fleet.defaults.services = {{.name = service_id("quote"), .pool = {}, .idempotent = true},
                                   {.name = service_id("booking"), .pool = {}}};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            router_options options;
            options.executors.seed = static_cast<std::uint32_t>(seed + index);
            model_node& node = nodes_[index];
            node.router =
                *request_router::create({request_chart, connection_chart}, options, node.limits);
            node.commits = std::make_unique<group_commit>(
                group_commit_options{.node = node_id("n" + std::to_string(index)),
                                     .incarnation = "i",
                                     .batch_limit = 8});
            node.commits->set_node_count(nodes_.size());
            node.limits.set_units(team_id("sales"), 64);
            node.router->configure(fleet);
        }
    }

    /// Runs the scenario. The result counts violations of `invariant` only.
    proof_result run(std::string_view invariant) {
        checked_invariant_ = invariant;
        schedule_scenario();
        time_.advance(seconds(20));
        check_invariants();
        return result_;
    }

  private:
    struct model_node {
        team_limits limits;
        std::unique_ptr<request_router> router;
        std::unique_ptr<group_commit> commits;
        bool alive = true;
    };
    struct model_executor {
        int running = 0;
        instant outage_start = instant::max();
        instant outage_end = instant::max();
        instant departs_at = instant::max();
        bool announces = true; ///< Otherwise only the listing shows the departure.
    };
    struct submission {
        std::size_t node = 0;
        request_id request;
        bool idempotent = false;
        int runs = 0;
        int answers = 0;
        bool repeated = false;
        run_state state = run_state::unknown;
    };
    struct execution {
        int runs = 0;
        bool done = false;
    };
    struct stored_row {
        std::string value;
        table_version version = 0;
    };

    static chart load_chart(const std::string& name) {
        return chart::load(std::string(CITRONFORD_CHARTS) + "/" + name + ".scxml").value();
    }
    static std::string expected_body(const request_id& id) { return "answer to " + id.str(); }

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    std::size_t random_index(std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }
    duration random_ms(int min_ms, int max_ms) {
        return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
    }
    void run_after(duration delay, std::function<void()> function) {
        timers_.push_back(
            time_.after(delay, [function = std::move(function)](instant) { function(); }));
    }
    void record_violation(std::string_view invariant, const std::string& detail) {
        if (invariant == checked_invariant_) {
            ++result_.violations;
            result_.detail = result_.detail.empty() ? detail : result_.detail;
        }
    }

    void schedule_scenario() {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            list_vms(node);
            timers_.push_back(time_.every(milliseconds(20), [this, node](instant) {
                handle(node, router_tick{});
                handle(node, commit_tick{});
            }));
            timers_.push_back(time_.every(seconds(1), [this, node](instant) { list_vms(node); }));
        }
        if (chance(faults_.node_crash)) {
            run_after(random_ms(1000, 12000), [this] { nodes_[random_index(2)].alive = false; });
        }
        if (chance(faults_.executor_departure)) {
            model_executor& executor = executors_[random_index(3)];
            executor.departs_at = instant() + random_ms(500, 9000);
            executor.announces = chance(0.6);
        }
        if (chance(faults_.executor_outage)) {
            model_executor& executor = executors_[random_index(3)];
            executor.outage_start = instant() + random_ms(500, 9000);
            executor.outage_end = executor.outage_start + random_ms(200, 5000);
        }
        table_outage_start_ = instant() + random_ms(1000, 10000);
        table_outage_end_ = table_outage_start_ + random_ms(0, 3000);
        table_outage_unanswered_ = chance(0.5);
        // With few requests, executors have no contact for seconds; bursts fill the queues.
        const std::uint64_t callers = chance(0.3) ? 48 : 320;
        const duration burst = random_ms(0, 10000);
        for (std::uint64_t caller = 0; caller < callers; caller += 2) {
            const bool idempotent = chance(0.5);
            const std::size_t node = random_index(2);
            const duration at = chance(0.5) ? random_ms(0, 12000) : burst + random_ms(0, 300);
            const duration timeout = random_ms(200, 1500);
            schedule_request(caller, node, at, timeout, idempotent);
            if (!idempotent && chance(faults_.duplicate_submission)) {
                schedule_request(caller + 1, chance(0.8) ? 1 - node : node, at + random_ms(0, 800),
                                 timeout, false, faults_.duplicates_marked);
            }
        }
    }

    void schedule_request(std::uint64_t caller, std::size_t node, duration at, duration timeout,
                          bool idempotent, bool repeated = false) {
        const request_id id("r" + std::to_string(caller / 2));
        submissions_[caller] = {
            .node = node, .request = id, .idempotent = idempotent, .repeated = repeated};
        run_after(at, [=, this] {
            handle(node, request_submission{static_cast<caller_id>(caller), id, team_id("sales"),
                                            service_id(idempotent ? "quote" : "booking"), "body",
                                            timeout, repeated});
        });
    }

    void check_invariants() {
        for (const auto& [caller, item] : submissions_) {
            const std::string name = item.request.str() + " of caller " + std::to_string(caller);
            if (item.answers != 1 && nodes_[item.node].alive) {
                record_violation("whole-answer",
                                 name + " got " + std::to_string(item.answers) + " answers");
            }
            if (item.answers > 0 && item.state == run_state::not_run && item.runs > 0) {
                record_violation("true-refusal", name + " was refused as not run and ran");
            }
            if (!item.idempotent && executions_[item.request].runs > 1) {
                record_violation("at-most-once", name + " ran more than once");
            }
        }
        if (successful_answers_ < submissions_.size() / 8) {
            record_violation(checked_invariant_,
                             "fewer than one in eight requests were answered successfully");
        }
    }

    template <class Input> void handle(std::size_t node, const Input& input) {
        model_node& target = nodes_[node];
        if (!target.alive) {
            return;
        }
        ++result_.steps;
        const auto perform_all = [&](const auto& effects) {
            for (const auto& effect : effects) {
                std::visit([&](const auto& item) { perform(node, item); }, effect);
            }
        };
        if constexpr (std::is_constructible_v<router_input, Input>) {
            perform_all(target.router->handle(input, time_.now()));
        } else {
            perform_all(target.commits->handle(input, time_.now()));
        }
    }

    /// The lag of the listing differs between two calls, so that an older state can reappear.
    void list_vms(std::size_t node) {
        executor_listing listing;
        for (std::uint16_t index = 0; index < 3; ++index) {
            const model_executor& executor = executors_[index];
            const bool leaving =
                executor.departs_at <=
                time_.now() - (executor.announces ? random_ms(6000, 12000) : random_ms(0, 2000));
            for (const char* service : {"quote", "booking"}) {
                listing.executors.push_back({executor_id(std::to_string(index)),
                                             service_id(service),
                                             zone_id(),
                                             {"", index},
                                             leaving});
            }
        }
        handle(node, listing);
    }

    // Executors.

    [[nodiscard]] bool unresponsive(const endpoint& address) const {
        const model_executor& executor = executors_[address.port];
        return time_.now() >= executor.outage_start && time_.now() < executor.outage_end;
    }
    [[nodiscard]] bool leaving(const endpoint& address) const {
        const model_executor& executor = executors_[address.port];
        return executor.announces && time_.now() >= executor.departs_at;
    }

    void perform(std::size_t node, const send_attempt& effect) {
        const instant departs_at = executors_[effect.to.port].departs_at;
        if (departs_at < time_.now() - seconds(4)) {
            record_violation("departing", "executor " + std::to_string(effect.to.port) +
                                              " received work 4 s after its departure");
        }
        send_attempt sent = effect;
        sent.work.body = {};
        const bool delayed_request = chance(faults_.delayed_request);
        run_after(delayed_request ? effect.work.timeout + random_ms(1, 400) : random_ms(1, 5),
                  [this, node, sent] { receive(node, sent); });
        // The executor link ends every attempt at its timeout. This report must have no effect if
        // the attempt has ended before.
        run_after(effect.work.timeout, [this, node, sent] {
            handle(node, attempt_report{sent.caller, sent.work.id, attempt_lost{}});
        });
    }

    void receive(std::size_t node, const send_attempt& sent) {
        model_executor& executor = executors_[sent.to.port];
        if (unresponsive(sent.to) && chance(0.5)) {
            return;
        }
        if (executor.running >= 8 || leaving(sent.to)) {
            handle(node,
                   attempt_report{sent.caller, sent.work.id, attempt_refused{leaving(sent.to)}});
            return;
        }
        ++executor.running;
        ++executions_[sent.work.request].runs;
        ++submissions_.at(static_cast<std::uint64_t>(sent.caller)).runs;
        run_after(random_ms(5, 120), [this, node, sent] { finish(node, sent); });
    }

    void finish(std::size_t node, const send_attempt& sent) {
        --executors_[sent.to.port].running;
        executions_[sent.work.request].done = true;
        if (unresponsive(sent.to) || chance(faults_.lost_reply)) {
            if (chance(0.5)) { // The connection is closed; otherwise the attempt times out.
                handle(node, attempt_report{sent.caller, sent.work.id, attempt_lost{}});
            }
            return;
        }
        const request_id answered =
            chance(faults_.misrouted_reply) ? request_id("x") : sent.work.request;
        const attempt_report report{sent.caller, sent.work.id,
                                    attempt_answered{200, expected_body(answered), leaving(sent.to),
                                                     answered, sent.work.id}};
        run_after(random_ms(1, 5), [this, node, report] { handle(node, report); });
        if (chance(faults_.duplicate_reply)) {
            run_after(random_ms(5, 900), [this, node, report] { handle(node, report); });
        }
    }

    void perform(std::size_t node, const query_outcome& effect) {
        const bool unanswered = unresponsive(effect.to) || chance(0.1);
        run_after(unanswered ? seconds(1) : random_ms(1, 5), [this, node, effect, unanswered] {
            const execution& actual = executions_[effect.request];
            outcome_result result = outcome_not_seen{};
            if (unanswered) {
                result = outcome_unavailable{};
            } else if (actual.done) {
                result = outcome_done{200, expected_body(effect.request)};
            } else if (actual.runs > 0) {
                result = outcome_running{};
            }
            handle(node, outcome_report{effect.caller, result});
        });
    }

    void perform(std::size_t node, const probe_executor& effect) {
        const bool unanswered = unresponsive(effect.to);
        run_after(unanswered ? seconds(1) : random_ms(1, 5), [this, node, effect, unanswered] {
            handle(node,
                   probe_report{effect.executor, !unanswered, !unanswered && leaving(effect.to)});
        });
    }

    void perform(std::size_t /*node*/, const answer_caller& effect) {
        submission& item = submissions_.at(static_cast<std::uint64_t>(effect.caller));
        ++item.answers;
        item.state = entry_of(effect.code).state;
        if (item.repeated && item.state == run_state::not_run &&
            executions_[item.request].runs > 0) {
            record_violation("true-refusal", item.request.str() +
                                                 " was repeated after it had run and is " +
                                                 "refused as not run");
        }
        if (effect.code == result_code::ok) {
            ++successful_answers_;
            if (effect.body != expected_body(item.request)) {
                record_violation("whole-answer", item.request.str() + " got '" + effect.body + "'");
            }
        }
    }

    // Table.

    [[nodiscard]] bool table_unavailable() const {
        return time_.now() >= table_outage_start_ && time_.now() < table_outage_end_;
    }

    group_commit_input apply(const commit_transaction& transaction) {
        for (const table_check& check : transaction.checks) {
            const auto found = table_.find(check.key);
            if ((found == table_.end() ? absent_row : found->second.version) != check.version) {
                return transaction_conflict{check.key};
            }
        }
        ++version_;
        for (const table_write& write : transaction.writes) {
            table_.insert_or_assign(write.key, stored_row{write.value.value_or(""), version_});
        }
        return transaction_committed{version_};
    }

    void perform(std::size_t node, const commit_transaction& effect) {
        const bool late = chance(faults_.delayed_commit);
        const bool lost = late || chance(faults_.lost_commit_reply) ||
                          (table_unavailable() && table_outage_unanswered_);
        if (table_unavailable() && !table_outage_unanswered_) {
            run_after(random_ms(1, 5), [this, node] { handle(node, transaction_refused{}); });
            return;
        }
        if (lost) {
            run_after(milliseconds(300), [this, node] { handle(node, transaction_in_doubt{}); });
        }
        if (table_unavailable()) {
            return;
        }
        run_after(late ? random_ms(301, 900) : random_ms(1, 5), [this, node, effect, lost] {
            const group_commit_input reply = apply(effect);
            if (!lost) {
                run_after(random_ms(1, 5), [this, node, reply] { handle(node, reply); });
            }
        });
    }

    void perform(std::size_t node, const read_claim_row& effect) {
        run_after(random_ms(1, 8), [this, node, key = effect.key] {
            const auto found = table_.find(key);
            if (table_unavailable() || chance(0.1)) {
                handle(node, claim_row_read_failed{key});
            } else if (found == table_.end()) {
                handle(node, claim_row_read{key, std::nullopt});
            } else {
                handle(node, claim_row_read{
                                 key, table_row{key, found->second.value, found->second.version}});
            }
        });
    }

    void perform(std::size_t node, const schedule_commit_tick& effect) {
        run_after(effect.at - time_.now(), [this, node] { handle(node, commit_tick{}); });
    }
    void perform(std::size_t node, const commit_claim& effect) {
        handle(node, claim_requested{effect.caller, effect.request});
    }
    void perform(std::size_t node, const abandon_claim& effect) {
        handle(node, claim_abandoned{effect.caller});
    }
    void perform(std::size_t node, const record_outcome& effect) {
        handle(node, outcome_resolved{effect.request, effect.outcome});
    }
    void perform(std::size_t node, const forget_claim& effect) {
        handle(node, outcome_unresolved{effect.request});
    }
    void perform(std::size_t node, const claim_recorded& effect) {
        handle(node, claim_granted{effect.caller});
    }
    void perform(std::size_t node, const claim_taken& effect) {
        handle(node, claim_duplicate{effect.caller, effect.outcome});
    }
    void perform(std::size_t node, const claim_refused& effect) {
        handle(node, claim_unavailable{effect.caller});
    }

    fault_probabilities faults_;
    std::minstd_rand random_;
    manual_timer_service time_;
    std::vector<timer_subscription> timers_;
    std::vector<model_node> nodes_;
    model_executor executors_[3];                     ///< By the port of their address.
    std::map<std::uint64_t, submission> submissions_; ///< By caller.
    std::map<request_id, execution> executions_;      ///< What the executors ran.
    std::map<std::string, stored_row> table_;
    table_version version_ = 0;
    instant table_outage_start_;
    instant table_outage_end_;
    bool table_outage_unanswered_ = false; ///< The table does not reply; otherwise it refuses.
    std::string checked_invariant_;
    std::uint64_t successful_answers_ = 0;
    proof_result result_;
};

} // namespace citronford
