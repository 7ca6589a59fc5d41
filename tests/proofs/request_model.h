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

/// Probabilities of the faults of one run.
struct request_faults {
    double reply_lost = 0.08;   ///< An executor ran the request and its answer is lost.
    double crossed = 0.04;      ///< The answer of another request arrives.
    double late = 0.04;         ///< The answer arrives again, perhaps after the attempt ended.
    double message_late = 0.03; ///< The request reaches the executor after its timeout.
    double commit_lost = 0.1;   ///< The reply of the table is lost after the effect.
    double commit_late = 0.05;  ///< The transaction takes effect after it was given up.
    double twice = 0.3;         ///< A request id is also sent through the other node.
    bool marked = false;        ///< The second sending says that it repeats an earlier one.
    double node_lost = 0.3;     ///< One node dies in the run.
    double departing = 0.4;     ///< An executor departs in the run.
    double silent = 0.3;        ///< An executor stops answering for a while.
};

/// Two nodes with the real decisions against a table and three executors in memory, in virtual
/// time. Violations are counted against what the executors ran, not against the state of a router.
class request_model {
  public:
    request_model(std::uint64_t seed, request_faults faults)
        : faults_(faults), random_(static_cast<std::uint32_t>(seed * 7919)), nodes_(2) {
        static const chart request_chart = loaded("request");
        static const chart connection_chart = loaded("connection");
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

    /// Runs the whole scenario; the result counts violations of `promise` only.
    proof_result run(std::string_view promise) {
        promise_ = promise;
        plan();
        time_.advance(seconds(20));
        check_end();
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
        instant silent_from = instant::max();
        instant silent_until = instant::max();
        instant departs_at = instant::max();
        bool announces = true; ///< Says itself that it leaves; else only the list tells.
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

    static chart loaded(const std::string& name) {
        return chart::load(std::string(CITRONFORD_CHARTS) + "/" + name + ".scxml").value();
    }
    static std::string answer_to(const request_id& id) { return "answer to " + id.str(); }

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    std::size_t below(std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }
    duration ms(int least, int most) {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
    }
    void later(duration delay, std::function<void()> function) {
        timers_.push_back(
            time_.after(delay, [function = std::move(function)](instant) { function(); }));
    }
    void violation(std::string_view promise, const std::string& detail) {
        if (promise == promise_) {
            ++result_.violations;
            result_.detail = result_.detail.empty() ? detail : result_.detail;
        }
    }

    void plan() {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            list_vms(node);
            timers_.push_back(time_.every(milliseconds(20), [this, node](instant) {
                handle(node, router_tick{});
                handle(node, commit_tick{});
            }));
            timers_.push_back(time_.every(seconds(1), [this, node](instant) { list_vms(node); }));
        }
        if (chance(faults_.node_lost)) {
            later(ms(1000, 12000), [this] { nodes_[below(2)].alive = false; });
        }
        if (chance(faults_.departing)) {
            model_executor& executor = executors_[below(3)];
            executor.departs_at = instant() + ms(500, 9000);
            executor.announces = chance(0.6);
        }
        if (chance(faults_.silent)) {
            model_executor& executor = executors_[below(3)];
            executor.silent_from = instant() + ms(500, 9000);
            executor.silent_until = executor.silent_from + ms(200, 5000);
        }
        outage_from_ = instant() + ms(1000, 10000);
        outage_until_ = outage_from_ + ms(0, 3000);
        outage_silent_ = chance(0.5);
        // Few requests leave executors unheard for seconds; bursts leave requests in the queue.
        const std::uint64_t callers = chance(0.3) ? 48 : 320;
        const duration burst = ms(0, 10000);
        for (std::uint64_t caller = 0; caller < callers; caller += 2) {
            const bool idempotent = chance(0.5);
            const std::size_t node = below(2);
            const duration at = chance(0.5) ? ms(0, 12000) : burst + ms(0, 300);
            const duration timeout = ms(200, 1500);
            plan_request(caller, node, at, timeout, idempotent);
            if (!idempotent && chance(faults_.twice)) {
                plan_request(caller + 1, chance(0.8) ? 1 - node : node, at + ms(0, 800), timeout,
                             false, faults_.marked);
            }
        }
    }

    void plan_request(std::uint64_t caller, std::size_t node, duration at, duration timeout,
                      bool idempotent, bool repeated = false) {
        const request_id id("r" + std::to_string(caller / 2));
        submissions_[caller] = {
            .node = node, .request = id, .idempotent = idempotent, .repeated = repeated};
        later(at, [=, this] {
            handle(node, request_submission{static_cast<caller_id>(caller), id, team_id("sales"),
                                            service_id(idempotent ? "quote" : "booking"), "body",
                                            timeout, repeated});
        });
    }

    void check_end() {
        for (const auto& [caller, item] : submissions_) {
            const std::string name = item.request.str() + " of caller " + std::to_string(caller);
            if (item.answers != 1 && nodes_[item.node].alive) {
                violation("whole-answer",
                          name + " got " + std::to_string(item.answers) + " answers");
            }
            if (item.answers > 0 && item.state == run_state::not_run && item.runs > 0) {
                violation("true-refusal", name + " was refused as not run and ran");
            }
            if (!item.idempotent && executions_[item.request].runs > 1) {
                violation("at-most-once", name + " ran more than once");
            }
        }
        if (answered_well_ < submissions_.size() / 8) {
            violation(promise_, "too few requests were answered to prove anything");
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

    /// The list lags by a different time at each reading, so that an older state can reappear.
    void list_vms(std::size_t node) {
        executor_listing listing;
        for (std::uint16_t index = 0; index < 3; ++index) {
            const model_executor& executor = executors_[index];
            const bool leaving = executor.departs_at <=
                                 time_.now() - (executor.announces ? ms(6000, 12000) : ms(0, 2000));
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

    [[nodiscard]] bool silent(const endpoint& address) const {
        const model_executor& executor = executors_[address.port];
        return time_.now() >= executor.silent_from && time_.now() < executor.silent_until;
    }
    [[nodiscard]] bool leaving(const endpoint& address) const {
        const model_executor& executor = executors_[address.port];
        return executor.announces && time_.now() >= executor.departs_at;
    }

    void perform(std::size_t node, const send_attempt& effect) {
        const instant departs_at = executors_[effect.to.port].departs_at;
        if (departs_at < time_.now() - seconds(4)) {
            violation("departing", "executor " + std::to_string(effect.to.port) +
                                       " received work 4 s after its departure");
        }
        send_attempt sent = effect;
        sent.work.body = {};
        const bool message_late = chance(faults_.message_late);
        later(message_late ? effect.work.timeout + ms(1, 400) : ms(1, 5),
              [this, node, sent] { arrive(node, sent); });
        // The link ends every attempt at its timeout; a later report must change nothing.
        later(effect.work.timeout, [this, node, sent] {
            handle(node, attempt_report{sent.caller, sent.work.id, attempt_lost{}});
        });
    }

    void arrive(std::size_t node, const send_attempt& sent) {
        model_executor& executor = executors_[sent.to.port];
        if (silent(sent.to) && chance(0.5)) {
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
        later(ms(5, 120), [this, node, sent] { finish(node, sent); });
    }

    void finish(std::size_t node, const send_attempt& sent) {
        --executors_[sent.to.port].running;
        executions_[sent.work.request].done = true;
        if (silent(sent.to) || chance(faults_.reply_lost)) {
            if (chance(0.5)) { // The connection is closed instead of staying silent.
                handle(node, attempt_report{sent.caller, sent.work.id, attempt_lost{}});
            }
            return;
        }
        const request_id answered = chance(faults_.crossed) ? request_id("x") : sent.work.request;
        const attempt_report report{
            sent.caller, sent.work.id,
            attempt_answered{200, answer_to(answered), leaving(sent.to), answered, sent.work.id}};
        later(ms(1, 5), [this, node, report] { handle(node, report); });
        if (chance(faults_.late)) {
            later(ms(5, 900), [this, node, report] { handle(node, report); });
        }
    }

    void perform(std::size_t node, const query_outcome& effect) {
        const bool unanswered = silent(effect.to) || chance(0.1);
        later(unanswered ? seconds(1) : ms(1, 5), [this, node, effect, unanswered] {
            const execution& truth = executions_[effect.request];
            outcome_result result = outcome_not_seen{};
            if (unanswered) {
                result = outcome_unavailable{};
            } else if (truth.done) {
                result = outcome_done{200, answer_to(effect.request)};
            } else if (truth.runs > 0) {
                result = outcome_running{};
            }
            handle(node, outcome_report{effect.caller, result});
        });
    }

    void perform(std::size_t node, const probe_executor& effect) {
        const bool unanswered = silent(effect.to);
        later(unanswered ? seconds(1) : ms(1, 5), [this, node, effect, unanswered] {
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
            violation("true-refusal", item.request.str() +
                                          " was repeated after it had run and is " +
                                          "refused as not run");
        }
        if (effect.code == result_code::ok) {
            ++answered_well_;
            if (effect.body != answer_to(item.request)) {
                violation("whole-answer", item.request.str() + " got '" + effect.body + "'");
            }
        }
    }

    // Table.

    [[nodiscard]] bool table_out() const {
        return time_.now() >= outage_from_ && time_.now() < outage_until_;
    }

    group_commit_input applied(const commit_transaction& transaction) {
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
        const bool late = chance(faults_.commit_late);
        const bool lost = late || chance(faults_.commit_lost) || (table_out() && outage_silent_);
        if (table_out() && !outage_silent_) {
            later(ms(1, 5), [this, node] { handle(node, transaction_refused{}); });
            return;
        }
        if (lost) {
            later(milliseconds(300), [this, node] { handle(node, transaction_in_doubt{}); });
        }
        if (table_out()) {
            return;
        }
        later(late ? ms(301, 900) : ms(1, 5), [this, node, effect, lost] {
            const group_commit_input reply = applied(effect);
            if (!lost) {
                later(ms(1, 5), [this, node, reply] { handle(node, reply); });
            }
        });
    }

    void perform(std::size_t node, const read_claim_row& effect) {
        later(ms(1, 8), [this, node, key = effect.key] {
            const auto found = table_.find(key);
            if (table_out() || chance(0.1)) {
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
        later(effect.at - time_.now(), [this, node] { handle(node, commit_tick{}); });
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

    request_faults faults_;
    std::minstd_rand random_;
    manual_timer_service time_;
    std::vector<timer_subscription> timers_;
    std::vector<model_node> nodes_;
    model_executor executors_[3];                     ///< By the port of their address.
    std::map<std::uint64_t, submission> submissions_; ///< By caller.
    std::map<request_id, execution> executions_;      ///< What really ran.
    std::map<std::string, stored_row> table_;
    table_version version_ = 0;
    instant outage_from_;
    instant outage_until_;
    bool outage_silent_ = false; ///< The table does not answer, instead of refusing.
    std::string promise_;
    std::uint64_t answered_well_ = 0;
    proof_result result_;
};

} // namespace citronford
