#include "citronford/task_scheduler.h"

#include "citronford/authorization.h"
#include "citronford/invariant.h"
#include "citronford/overloaded.h"
#include "citronford/placement.h"
#include "citronford/planted_fault.h"
#include "citronford/share_ledger.h"
#include "decide/job_events.h"
#include "decide/lease_events.h"
#include "decide/waiting_jobs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace citronford {
namespace {

/// Usage is expected to be at most this factor away from the declared size.
constexpr double largest_misjudgement = 4;

struct job_entry {
    job_row row;
    chart_position position{};
    caller_id caller{};
    bool cancel_wanted = false;

    // The row in the table.
    table_version version = absent_row;
    std::uint64_t open_write = 0;    ///< Number of the write under way; zero for none.
    std::uint64_t awaited_write = 0; ///< Write whose result is an event of the life cycle.
    bool rewrite = false;            ///< The row changed since the open write was sent.
    bool await_rewrite = false;
    std::optional<instant> write_again_at;
    std::optional<live_member> next_owner; ///< Whom the row is to name.
    node_id former_owner;                  ///< Of a job that is being adopted.
    std::uint64_t former_epoch = 0;

    // The place on a worker.
    std::optional<std::size_t> worker;
    resources charge;          ///< What the task is taken to use.
    resources use;             ///< As last reported; what the team is charged.
    int percent = 100;         ///< Of its processors, as last told to the worker.
    int charged_percent = 100; ///< Of the processors, when `use` was reported.
    bool charged = false;
    bool has_unit = false;
    bool measured = false;            ///< The worker reported its usage.
    std::uint64_t start_sequence = 0; ///< Message that carried the start; zero before.
    std::uint32_t failures = 0;
    instant since{}; ///< When the present state was entered.

    // The wait for a place.
    std::uint64_t order = 0;
    std::optional<instant> refused_at; ///< When a place was first looked for in vain.
    instant not_before{};              ///< No start is tried sooner.
    instant reserved_at{};
    std::optional<std::size_t> reserved_on;
    resources reservation;
};

struct worker_entry {
    worker_listing::worker listing;
    bool listed = true;
    chart_position position{};
    instant retake_at{};
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    bool leaving = false; ///< As the worker itself says.
    bool known = false;   ///< The worker reported its capacity.
    resources capacity;
    resources used;
    resources reserved;
    instant listed_at{};

    std::uint64_t open_sync = 0; ///< Sequence of the message under way; zero for none.
    instant sync_sent_at{};
    instant next_sync{};
    instant open_renewal{};  ///< When the message under way was sent.
    instant answered_from{}; ///< When the latest answered message was sent.
    instant renewed_at{};    ///< When the latest message that renewed the lease was sent.

    std::set<job_id> jobs;
    std::vector<job_id> to_start;
    std::set<job_id> to_stop;
    std::set<job_id> to_checkpoint;
    std::set<task_id> to_forget;
    bool saturated = false;            ///< Its tasks use all processors, so they may want more.
    std::map<task_id, instant> strays; ///< Tasks without a job here, by when they were first seen.
    std::optional<job_id> probe;
};

task_id task_of(const job_row& row) {
    return task_id(row.job.id.str() + "~" + std::to_string(row.attempt));
}

/// A row of another owner.
struct foreign_job {
    job_row row;
    table_version version = absent_row;
};

std::int64_t scaled(std::int64_t amount, double factor) {
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

} // namespace

class task_scheduler::implementation {
  public:
    /// What the actions of one step of a job work on.
    struct job_context {
        implementation& scheduler;
        job_entry& job;
        instant now;
        std::vector<scheduler_effect>& effects;
    };
    /// What the actions of one step of a worker lease work on.
    struct lease_context {
        implementation& scheduler;
        std::size_t worker;
        instant now;
        std::vector<scheduler_effect>& effects;
    };
    using job_machine = chart_machine<job_context, job_event>;
    using lease_machine = chart_machine<lease_context, lease_event>;

    implementation(job_machine jobs, lease_machine leases, worker_health health,
                   scheduler_options options, team_limits& limits)
        : job_machine_(std::move(jobs)), lease_machine_(std::move(leases)),
          health_(std::move(health)), options_(std::move(options)), limits_(limits),
          ledger_(options_.half_life), held_(lease_machine_.position_of("held")),
          queued_(job_machine_.position_of("queued")),
          attached_(job_machine_.position_of("attached")),
          starting_(job_machine_.position_of("starting")),
          evicting_(job_machine_.position_of("evicting")),
          running_(job_machine_.position_of("running")) {}

    static std::span<const job_machine::guard> job_guards();
    static std::span<const job_machine::action> job_actions();
    static std::span<const lease_machine::action> lease_actions();

    void configure(const fleet_configuration& fleet) {
        fleet_ = fleet;
        ledger_.set_shares(fleet.defaults.teams);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            update_offer(index);
        }
        dirty_ = true;
    }

    std::vector<scheduler_effect> handle(const scheduler_input& input, instant now) {
        std::vector<scheduler_effect> effects;
        std::visit([&](const auto& item) { take(item, now, effects); }, input);
        return effects;
    }

    [[nodiscard]] const job_row* find(const job_id& job) const {
        const auto found = jobs_.find(job);
        return found == jobs_.end() ? nullptr : &found->second.row;
    }
    [[nodiscard]] std::size_t open_jobs() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            jobs_, [&](const auto& item) { return !job_machine_.is_final(item.second.position); }));
    }
    [[nodiscard]] std::size_t queued_jobs() const {
        std::size_t total = urgent_.size();
        for (const auto& [team, queue] : queues_) {
            total += queue.size();
        }
        return total;
    }
    [[nodiscard]] bool holds(const worker_id& worker) const {
        const auto found = worker_index_.find(worker);
        return found != worker_index_.end() && workers_[found->second].position == held_;
    }
    [[nodiscard]] bool quarantined(const worker_id& worker) const {
        const auto found = worker_index_.find(worker);
        return found != worker_index_.end() && health_.quarantined(found->second);
    }
    [[nodiscard]] const scheduler_counts& counts() const {
        counts_.operations = operations_ + placement_.operations();
        return counts_;
    }

  private:
    using effects_out = std::vector<scheduler_effect>&;
    using job_queue = std::map<std::uint64_t, job_entry*>;

    // Inputs.

    void take(const job_submission& submission, instant now, effects_out effects) {
        if (jobs_.contains(submission.job.id)) {
            effects.emplace_back(answer_job{submission.caller, result_code::duplicate_request, {}});
            return;
        }
        job_entry& entry = new_job(submission.job.id);
        entry.row.job = submission.job;
        entry.row.owner = options_.self.id;
        entry.row.epoch = options_.self.incarnation;
        entry.caller = submission.caller;
        step(entry, job_submitted{}, now, effects);
    }

    void take(const job_cancellation& input, instant /*now*/, effects_out /*effects*/) {
        cancellations_.insert(input.jobs.begin(), input.jobs.end());
    }

    void take(const job_write_result& input, instant now, effects_out effects) {
        const auto found = jobs_.find(input.job);
        if (found == jobs_.end() || found->second.open_write != input.write) {
            return;
        }
        job_entry& entry = found->second;
        const bool awaited = entry.awaited_write == input.write;
        entry.open_write = 0;
        switch (input.result) {
        case job_write_result::outcome::written:
            entry.version = input.version;
            if (awaited) {
                step(entry, row_written{}, now, effects);
            }
            break;
        case job_write_result::outcome::conflict:
            entry.rewrite = false;
            step(entry, row_conflict{}, now, effects);
            break;
        case job_write_result::outcome::unavailable:
            if (awaited) {
                if (job_machine_.name_of(entry.position) == "adopting") {
                    entry.row.owner = entry.former_owner;
                    entry.row.epoch = entry.former_epoch;
                    --entry.row.generation;
                    foreign_[input.job] = foreign_job{entry.row, entry.version};
                }
                entry.not_before = now + write_retry;
                step(entry, row_unavailable{}, now, effects);
            } else {
                entry.rewrite = true;
                entry.write_again_at = now + write_retry;
                rewrites_.insert(entry.row.job.id);
            }
            break;
        }
        settle_job(input.job, now, effects);
    }

    void take(const job_row_seen& input, instant now, effects_out effects) {
        const job_row& row = input.row;
        const auto found = jobs_.find(row.job.id);
        const bool mine = row.owner == options_.self.id && row.epoch == options_.self.incarnation;
        if (found != jobs_.end()) {
            job_entry& entry = found->second;
            const bool same = mine && row.generation == entry.row.generation;
            if (same && row.cancel) {
                cancellations_.insert(row.job.id);
            } else if (!same && input.version > entry.version && entry.version != absent_row) {
                step(entry, job_taken_over{}, now, effects);
                settle_job(row.job.id, now, effects);
            }
        }
        foreign_.erase(row.job.id);
        if (ended(row.state) || jobs_.contains(row.job.id)) {
            return;
        }
        if (!mine) {
            foreign_.emplace(row.job.id, foreign_job{row, input.version});
            return;
        }
        if (was_left(row.job.id, input.version)) {
            return;
        }
        job_entry& entry = new_job(row.job.id);
        entry.row = row;
        entry.version = input.version;
        step(entry, job_adopted{}, now, effects);
        if (row.cancel) {
            cancellations_.insert(row.job.id);
        }
    }

    void take(const worker_listing& input, instant now, effects_out effects) {
        std::set<worker_id> listed;
        for (const worker_listing::worker& item : input.workers) {
            listed.insert(item.id);
            const std::size_t index = worker_at(item, now);
            workers_[index].listing = item;
            workers_[index].listed = true;
        }
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            workers_[index].listed = listed.contains(workers_[index].listing.id);
            update_offer(index);
        }
        dirty_ = true;
        update_ownership(now, effects);
    }

    void take(const member_listing& input, instant now, effects_out effects) {
        members_ = input.members;
        update_ownership(now, effects);
        adopt_orphans(now, effects);
    }

    void take(const worker_lease_granted& input, instant now, effects_out effects) {
        step_worker(input.worker, lease_granted{input.epoch}, now, effects);
    }
    void take(const worker_lease_refused& input, instant now, effects_out effects) {
        step_worker(input.worker, lease_refused{}, now, effects);
    }

    void take(const sync_report& report, instant now, effects_out effects) {
        const auto found = worker_index_.find(report.worker);
        if (found == worker_index_.end()) {
            return;
        }
        const std::size_t index = found->second;
        worker_entry& worker = workers_[index];
        if (worker.open_sync != report.sequence) {
            return;
        }
        worker.open_sync = 0;
        std::visit(overloaded{
                       [&](const sync_done& result) {
                           take_answer(index, report.sequence, result, now, effects);
                       },
                       [&](const sync_rejected& /*result*/) {
                           worker.retake_at = now + options_.lease;
                           step(index, epoch_rejected{}, now, effects);
                       },
                       [&](const sync_unreachable& /*result*/) {
                           put_back_starts(index, report.sequence);
                       },
                       [](const sync_lost& /*result*/) {},
                   },
                   report.result);
    }

    void take(const scheduler_tick& tick, instant now, effects_out effects) {
        confirmed_at_ = tick.confirmed_at;
        ledger_.advance(now);
        release_held_units(now);
        check_leases(now, effects);
        apply_cancellations(now, effects);
        if (now >= next_review_) {
            next_review_ = now + review_period;
            review(now, effects);
        }
        if (dirty_) {
            dirty_ = false;
            schedule(now, effects);
        }
        send_syncs(now, effects);
    }

    // Jobs.

    job_entry& new_job(const job_id& id) {
        job_entry& entry = jobs_[id];
        entry.position = job_machine_.initial();
        entry.order = next_order_++;
        return entry;
    }

    void step(job_entry& entry, const job_event& event, instant now, effects_out effects) {
        const chart_position before = entry.position;
        job_context context{*this, entry, now, effects};
        job_machine_.step(entry.position, context, event);
        if (entry.position != before) {
            entry.since = now;
        }
    }

    /// Steps a job of a worker and forgets the job when it has ended.
    void step_job(const job_id& id, const job_event& event, instant now, effects_out effects) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end()) {
            step(found->second, event, now, effects);
            settle_job(id, now, effects);
        }
    }

    /// Sends the next write of the row, and forgets a job that has ended and is written.
    void settle_job(const job_id& id, instant now, effects_out effects) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return;
        }
        job_entry& entry = found->second;
        const bool final = job_machine_.is_final(entry.position);
        const bool left = final && job_machine_.name_of(entry.position) == "handed_over";
        if (!left && entry.rewrite && entry.open_write == 0 && !entry.write_again_at) {
            send_write(entry, effects);
        }
        if (left || (final && entry.open_write == 0 && !entry.rewrite)) {
            left_[id] = {entry.version, now};
            jobs_.erase(found);
        }
    }

    /// Whether the row version is one that this node has dealt with.
    [[nodiscard]] bool was_left(const job_id& id, table_version version) const {
        const auto found = left_.find(id);
        return found != left_.end() && version <= found->second.first;
    }

    void write_row(job_entry& entry, bool awaited, effects_out effects) {
        entry.write_again_at.reset();
        entry.rewrite = true;
        entry.await_rewrite = entry.await_rewrite || awaited;
        if (awaited) {
            // The result of a write that is under way says nothing of this one.
            entry.awaited_write = 0;
        }
        if (entry.open_write == 0) {
            send_write(entry, effects);
        }
    }

    void send_write(job_entry& entry, effects_out effects) {
        entry.open_write = ++last_write_;
        if (entry.await_rewrite) {
            entry.awaited_write = entry.open_write;
        }
        entry.rewrite = false;
        entry.await_rewrite = false;
        job_row row = entry.row;
        std::optional<std::uint64_t> generation;
        if (row.owner == options_.self.id && entry.version != absent_row &&
            job_machine_.name_of(entry.position) != "adopting") {
            generation = row.generation;
        }
        if (entry.next_owner) {
            ++row.generation;
            row.owner = entry.next_owner->id;
            row.epoch = entry.next_owner->incarnation;
        }
        effects.emplace_back(
            write_job{std::move(row), entry.version, generation, entry.open_write});
    }

    void apply_cancellations(instant now, effects_out effects) {
        const std::set<job_id> batch = std::exchange(cancellations_, {});
        for (const job_id& id : batch) {
            step_job(id, job_cancelled{}, now, effects);
        }
        dirty_ = dirty_ || !batch.empty();
    }

    void adopt_orphans(instant now, effects_out effects) {
        std::vector<foreign_job> orphans;
        for (const auto& item : foreign_) {
            const foreign_job& foreign = item.second;
            const bool live = std::ranges::any_of(members_, [&](const live_member& member) {
                return member.id == foreign.row.owner && member.incarnation == foreign.row.epoch;
            });
            const live_member* heir = live ? nullptr : heir_of(foreign.row);
            if (heir != nullptr && heir->id == options_.self.id) {
                orphans.push_back(foreign);
            }
        }
        for (const foreign_job& orphan : orphans) {
            foreign_.erase(orphan.row.job.id);
            job_entry& entry = new_job(orphan.row.job.id);
            entry.row = orphan.row;
            entry.version = orphan.version;
            entry.former_owner = orphan.row.owner;
            entry.former_epoch = orphan.row.epoch;
            step(entry, job_orphaned{}, now, effects);
        }
    }

    /// Who takes over a job: the owner of its worker once it has started.
    [[nodiscard]] const live_member* heir_of(const job_row& row) const {
        if (row.state == job_state::started) {
            const auto found = worker_index_.find(row.worker);
            if (found != worker_index_.end()) {
                const worker_listing::worker& listing = workers_[found->second].listing;
                return worker_owner(members_, listing.id, listing.zone);
            }
            return rendezvous_owner(members_, row.worker.view());
        }
        return rendezvous_owner(members_, row.job.id.view());
    }

    // Workers.

    std::size_t worker_at(const worker_listing::worker& item, instant now) {
        const auto [found, inserted] = worker_index_.emplace(item.id, workers_.size());
        if (inserted) {
            worker_entry entry;
            entry.listing = item;
            entry.position = lease_machine_.initial();
            entry.listed_at = now;
            workers_.push_back(std::move(entry));
            health_.add(found->second);
        } else if (lease_machine_.is_final(workers_[found->second].position)) {
            workers_[found->second].position = lease_machine_.initial();
            health_.add(found->second);
        }
        return found->second;
    }

    void step(std::size_t index, const lease_event& event, instant now, effects_out effects) {
        lease_context context{*this, index, now, effects};
        lease_machine_.step(workers_[index].position, context, event);
    }

    void step_worker(const worker_id& id, const lease_event& event, instant now,
                     effects_out effects) {
        const auto found = worker_index_.find(id);
        if (found != worker_index_.end()) {
            step(found->second, event, now, effects);
        }
    }

    void update_ownership(instant now, effects_out effects) {
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            const worker_entry& worker = workers_[index];
            const live_member* owner =
                worker_owner(members_, worker.listing.id, worker.listing.zone);
            if (owner == nullptr) {
                continue;
            }
            if (owner->id != options_.self.id) {
                step(index, worker_disowned{}, now, effects);
            } else if (worker.listed && worker.retake_at <= now) {
                step(index, worker_owned{}, now, effects);
            }
        }
    }

    /// Leases that ran out by the clock; nothing is started before the worker has answered again.
    void check_leases(instant now, effects_out effects) {
        operations_ += workers_.size();
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            worker_entry& worker = workers_[index];
            if (worker.epoch == 0) {
                continue;
            }
            if (worker.position == held_ && worker.answered_from + options_.lease <= now) {
                placement_.withdraw(index);
            }
            if (worker.renewed_at + options_.sync_timeout + options_.lease <= now) {
                step(index, lease_passed{}, now, effects);
            }
        }
    }

    /// Whether this node may act on the worker at `now`.
    [[nodiscard]] bool lease_valid(const worker_entry& worker, instant now) const {
        return worker.position == held_ && now < worker.answered_from + options_.lease;
    }

    [[nodiscard]] bool zone_open(const zone_id& zone) const {
        return !zone_removed(fleet_, zone) || fault_planted("zone-out");
    }

    /// Whether the configuration is confirmed for as long as a start may be under way.
    [[nodiscard]] bool starts_confirmed(instant now) const {
        return confirmed({fleet_, confirmed_at_, options_.self.zone},
                         now + options_.sync_timeout) ||
               fault_planted("zone-out");
    }

    [[nodiscard]] bool usable(const worker_entry& worker) const {
        return worker.position == held_ && worker.known && worker.listed && !worker.leaving &&
               !worker.listing.leaving && zone_open(worker.listing.zone);
    }

    [[nodiscard]] bool is_reserve(std::size_t index) const {
        return options_.reserve_every > 0 && workers_.size() >= options_.reserve_every / 2 &&
               index % options_.reserve_every == 0;
    }

    [[nodiscard]] bool may_take(std::size_t index, const job_entry& entry, instant now) const {
        const worker_entry& worker = workers_[index];
        const job_definition& job = entry.row.job;
        if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now) ||
            (is_reserve(index) && !job.urgent && !job.restartable)) {
            return false;
        }
        if (health_.quarantined(index) && !job.restartable) {
            return false;
        }
        // A message that is not answered soon would keep the start waiting.
        return worker.open_sync == 0 || now - worker.sync_sent_at < slow_answer;
    }

    /// What more tasks may be taken to use. Processors are shared out when the tasks of a worker
    /// want more than it has, so a little more than all of them is given away; memory is not.
    [[nodiscard]] resources free_on(const worker_entry& worker) const {
        resources free = worker.capacity - worker.used - worker.reserved;
        free.millicores += scaled(worker.capacity.millicores, options_.overcommitment);
        return free;
    }

    void update_offer(std::size_t index) {
        const worker_entry& worker = workers_[index];
        if (usable(worker)) {
            placement_.offer(index, free_on(worker));
        } else {
            placement_.withdraw(index);
        }
    }

    void take_answer(std::size_t index, std::uint64_t sequence, const sync_done& result,
                     instant now, effects_out effects) {
        worker_entry& worker = workers_[index];
        worker.answered_from = worker.sync_sent_at;
        worker.leaving = result.leaving;
        worker.capacity = result.capacity;
        const bool same_incarnation =
            worker.incarnation == 0 || worker.incarnation == result.incarnation;
        worker.incarnation = result.incarnation;
        worker.known = true;
        step(index, worker_synced{}, now, effects);
        if (worker.position != held_) {
            return;
        }
        std::map<task_id, const task_report*> reports;
        for (const task_report& report : result.tasks) {
            reports.emplace(report.id, &report);
        }
        worker.to_forget.clear();
        worker.saturated = is_saturated(result);
        const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
        for (const job_id& id : jobs) {
            const job_entry& entry = jobs_.at(id);
            const auto found = reports.find(task_of(entry.row));
            if (found != reports.end()) {
                const task_report& report = *found->second;
                reports.erase(found);
                jobs_.at(id).start_sequence = 1;
                take_report(index, id, report, now, effects);
            } else if (entry.position == attached_ ||
                       (entry.start_sequence != 0 && entry.start_sequence <= sequence)) {
                worker_restarted_ = !same_incarnation;
                step_job(id, task_absent{}, now, effects);
            }
        }
        take_strays(index, reports, now);
        update_offer(index);
        dirty_ = true;
    }

    void take_report(std::size_t index, const job_id& id, const task_report& report, instant now,
                     effects_out effects) {
        worker_entry& worker = workers_[index];
        if (report.state != task_state::running && report.state != task_state::checkpointed) {
            worker.to_forget.insert(report.id);
        }
        const auto judge = [&](const health_input& input) {
            if (worker.probe == id) {
                worker.probe.reset();
            }
            health_.handle(index, input, now);
        };
        switch (report.state) {
        case task_state::running:
            step_job(id, task_running{report.usage}, now, effects);
            break;
        case task_state::checkpointed:
            step_job(id, task_checkpointed{}, now, effects);
            break;
        case task_state::done:
            judge(task_succeeded{});
            step_job(id, task_done{}, now, effects);
            break;
        case task_state::failed:
            ++counts_.failed;
            judge(task_broke{});
            step_job(id, task_failed{}, now, effects);
            break;
        case task_state::expired:
            ++counts_.lost;
            step_job(id, worker_lost{}, now, effects);
            break;
        }
    }

    /// Tasks that no job of this node claims: their job may be on its way here.
    void take_strays(std::size_t index, const std::map<task_id, const task_report*>& reports,
                     instant now) {
        worker_entry& worker = workers_[index];
        std::map<task_id, instant> strays;
        for (const auto& [id, report] : reports) {
            const auto known = worker.strays.find(id);
            const instant first = known == worker.strays.end() ? now : known->second;
            strays.emplace(id, first);
            if (now - first >= options_.stray_grace) {
                worker.to_forget.insert(id);
            }
        }
        worker.strays = std::move(strays);
    }

    /// Whether the tasks of the worker use all of its processors, so that the reports do not tell
    /// what they want.
    static bool is_saturated(const sync_done& result) {
        constexpr double nearly_all = 0.97;
        std::int64_t total = 0;
        for (const task_report& report : result.tasks) {
            total += report.usage.millicores;
        }
        return static_cast<double>(total) >=
               nearly_all * static_cast<double>(result.capacity.millicores);
    }

    /// Tells the worker how far to hold the tasks of teams above their share.
    void throttle(const worker_entry& worker, sync_request& message) {
        constexpr double whole = 100;
        for (const job_id& id : worker.jobs) {
            job_entry& entry = jobs_.at(id);
            const auto found = throttle_.find(entry.row.job.team);
            const bool held = found != throttle_.end() && !entry.row.job.urgent;
            const int percent = held ? static_cast<int>(whole * found->second) : 100;
            if (entry.position == running_ && percent != entry.percent) {
                entry.percent = percent;
                message.throttle.push_back({task_of(entry.row), percent});
            }
        }
    }

    /// Holds the running tasks of teams above their share under full load; the tasks of other teams
    /// on the same workers get the processors.
    void review_throttle() {
        constexpr double strongest = 0.6;
        const std::vector<team_id> waiting = waiting_teams();
        const bool applies = options_.fair && full();
        const double mean = ledger_.mean_priority(waiting);
        for (const team_id& team : waiting) {
            throttle_[team] = std::clamp(ledger_.allowed_fraction(team, mean), strongest, 1.0);
        }
        std::erase_if(throttle_, [&](const auto& item) {
            return !applies || std::ranges::find(waiting, item.first) == waiting.end();
        });
    }

    void put_back_starts(std::size_t index, std::uint64_t sequence) {
        worker_entry& worker = workers_[index];
        for (const job_id& id : worker.jobs) {
            job_entry& entry = jobs_.at(id);
            if (entry.start_sequence == sequence && entry.position == starting_) {
                entry.start_sequence = 0;
                worker.to_start.push_back(id);
            }
        }
    }

    void for_jobs_of(std::size_t index, const job_event& event, instant now, effects_out effects) {
        const std::vector<job_id> jobs(workers_[index].jobs.begin(), workers_[index].jobs.end());
        for (const job_id& id : jobs) {
            step_job(id, event, now, effects);
        }
        dirty_ = dirty_ || !jobs.empty();
    }

    void send_syncs(instant now, effects_out effects) {
        const bool may_start = starts_confirmed(now);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            worker_entry& worker = workers_[index];
            const bool urgent = !worker.to_start.empty() || !worker.to_stop.empty() ||
                                !worker.to_checkpoint.empty();
            const bool due =
                worker.next_sync <= now ||
                (urgent && worker.next_sync - options_.sync_period + urgent_pause <= now);
            if (worker.epoch == 0 || worker.open_sync != 0 || !due) {
                continue;
            }
            send_sync(worker, may_start, now, effects);
        }
    }

    /// Whether tasks on the worker hold units that soon return to the fleet.
    [[nodiscard]] bool units_lost(const worker_entry& worker) const {
        return limits_.lapsed_for() >= options_.renew_after_lapse &&
               !fault_planted("task-limits") &&
               std::ranges::any_of(worker.jobs, [&](const job_id& id) {
                   return !jobs_.at(id).row.job.team.empty();
               });
    }

    void send_sync(worker_entry& worker, bool may_start, instant now, effects_out effects) {
        sync_worker effect{worker.listing.id, worker.listing.address, options_.sync_timeout, {}};
        sync_request& message = effect.message;
        message.owner = options_.self.id;
        message.epoch = worker.epoch;
        message.sequence = ++worker.sequence;
        // A worker that does not answer must not keep its tasks running: they count as lost once
        // the lease that it may have received last is over.
        const bool renews = worker.position == held_ &&
                            now < worker.answered_from + options_.lease / 2 && !units_lost(worker);
        message.lease = renews ? options_.lease : duration::zero();
        if (renews) {
            worker.renewed_at = now;
        }
        if (may_start && renews && zone_open(worker.listing.zone)) {
            for (const job_id& id : std::exchange(worker.to_start, {})) {
                job_entry& entry = jobs_.at(id);
                entry.start_sequence = message.sequence;
                ++counts_.started;
                const job_definition& job = entry.row.job;
                message.start.push_back({task_of(entry.row), job.id, job.team, job.size, job.run});
            }
        }
        for (const job_id& id : worker.to_stop) {
            message.stop.push_back(task_of(jobs_.at(id).row));
        }
        message.stop.insert(message.stop.end(), worker.to_forget.begin(), worker.to_forget.end());
        for (const job_id& id : worker.to_checkpoint) {
            message.checkpoint.push_back(task_of(jobs_.at(id).row));
        }
        throttle(worker, message);
        worker.open_sync = message.sequence;
        worker.sync_sent_at = now;
        worker.next_sync = now + options_.sync_period;
        effects.emplace_back(std::move(effect));
    }

    // Placement.

    /// What a task of the job is likely to use, from what tasks of its team used.
    [[nodiscard]] resources expected_size(const job_entry& entry) const {
        resources size = entry.row.job.size;
        const auto found = usage_ratio_.find(entry.row.job.team);
        if (found == usage_ratio_.end()) {
            return size;
        }
        const std::int64_t most_millicores = std::max(size.millicores, largest_.millicores / 2);
        const std::int64_t most_memory = std::max(size.memory_mb, largest_.memory_mb / 2);
        size.millicores =
            std::min(scaled(size.millicores, found->second.processors), most_millicores);
        size.memory_mb = std::min(scaled(size.memory_mb, found->second.memory), most_memory);
        return size;
    }

    void learn_usage(const job_entry& entry, const resources& usage) {
        constexpr double weight = 0.05;
        const resources& declared = entry.row.job.size;
        auto& ratio = usage_ratio_[entry.row.job.team];
        const auto blend = [&](double& mean, std::int64_t used, std::int64_t size) {
            if (size > 0) {
                const double seen = static_cast<double>(used) / static_cast<double>(size);
                mean += weight *
                        (std::clamp(seen, 1 / largest_misjudgement, largest_misjudgement) - mean);
            }
        };
        blend(ratio.processors, usage.millicores, declared.millicores);
        blend(ratio.memory, usage.memory_mb, declared.memory_mb);
    }

    /// Counts `wanted` as taken on the worker and charges `used` to the team.
    void charge(job_entry& entry, const resources& wanted, const resources& used) {
        worker_entry& worker = workers_[*entry.worker];
        const team_id& team = entry.row.job.team;
        if (entry.charged) {
            worker.used -= entry.charge;
            ledger_.remove(team, entry.use, entry.charged_percent);
        }
        entry.charge = wanted;
        entry.use = used;
        entry.charged = true;
        worker.used += wanted;
        entry.charged_percent = entry.percent;
        ledger_.add(team, used, entry.percent);
        update_offer(*entry.worker);
    }

    void note_usage(job_entry& entry, const resources& usage) {
        resources used = usage;
        used.accelerators = std::max(used.accelerators, entry.row.job.size.accelerators);
        resources wanted = used;
        if (workers_[*entry.worker].saturated) {
            wanted.millicores = std::max(wanted.millicores, entry.charge.millicores);
        }
        if (!entry.measured) {
            entry.measured = true;
            learn_usage(entry, wanted);
        }
        charge(entry, wanted, used);
    }

    /// The task has surely ended.
    void free_place(job_entry& entry, instant now) {
        if (entry.has_unit) {
            limits_.release(entry.row.job.team);
            entry.has_unit = false;
        }
        clear_place(entry, now);
    }

    /// The task may go on under another owner, which counts its unit as soon as it knows the job.
    void leave_place(job_entry& entry, instant now) {
        if (entry.has_unit) {
            held_units_.emplace_back(now + options_.unit_hold, entry.row.job.team);
            entry.has_unit = false;
        }
        clear_place(entry, now);
    }

    void clear_place(job_entry& entry, instant now) {
        if (!entry.worker) {
            return;
        }
        worker_entry& worker = workers_[*entry.worker];
        const job_id& id = entry.row.job.id;
        worker.jobs.erase(id);
        std::erase(worker.to_start, id);
        worker.to_stop.erase(id);
        worker.to_checkpoint.erase(id);
        if (worker.probe == id) {
            worker.probe.reset();
            health_.handle(*entry.worker, probe_void{}, now);
        }
        if (entry.charged) {
            worker.used -= entry.charge;
            ledger_.remove(entry.row.job.team, entry.use, entry.charged_percent);
            entry.charged = false;
        }
        update_offer(*entry.worker);
        entry.worker.reset();
        entry.start_sequence = 0;
        entry.measured = false;
        entry.percent = 100;
        dirty_ = true;
    }

    void cancel_reservation(job_entry& entry) {
        if (entry.reserved_on) {
            workers_[*entry.reserved_on].reserved -= entry.reservation;
            update_offer(*entry.reserved_on);
            entry.reserved_on.reset();
            --reservations_;
        }
    }

    void reserve(job_entry& entry, std::size_t index, const resources& size, instant now) {
        cancel_reservation(entry);
        entry.reserved_on = index;
        entry.reserved_at = now;
        entry.reservation = size;
        workers_[index].reserved += size;
        update_offer(index);
        ++reservations_;
    }

    void schedule(instant now, effects_out effects) {
        if (!starts_confirmed(now)) {
            dirty_ = true;
            return;
        }
        update_capacity();
        start_urgent(now, effects);
        start_reserved(now, effects);
        if (options_.fair) {
            start_by_share(now, effects);
        } else {
            start_in_order(now, effects);
        }
    }

    void update_capacity() {
        resources total;
        largest_ = {};
        usable_workers_ = 0;
        for (const worker_entry& worker : workers_) {
            if (usable(worker)) {
                total += worker.capacity;
                ++usable_workers_;
                largest_.millicores = std::max(largest_.millicores, worker.capacity.millicores);
                largest_.memory_mb = std::max(largest_.memory_mb, worker.capacity.memory_mb);
            }
        }
        operations_ += workers_.size();
        ledger_.set_capacity(total);
    }

    void start_urgent(instant now, effects_out effects) {
        std::vector<job_entry*> waiting;
        for (const auto& [order, entry] : urgent_) {
            waiting.push_back(entry);
        }
        for (job_entry* entry : waiting) {
            ++operations_;
            if (entry->not_before > now) {
                continue;
            }
            if (entry->reserved_on && now - entry->reserved_at >= eviction_patience) {
                cancel_reservation(*entry);
            }
            if (start_on_reservation(*entry, now, effects) || try_start(*entry, now, effects) ||
                !options_.evict || entry->reserved_on) {
                continue;
            }
            make_room(*entry, now, effects);
        }
    }

    void start_reserved(instant now, effects_out effects) {
        const std::set<job_id> waiting = reserved_jobs_;
        for (const job_id& id : waiting) {
            const auto found = jobs_.find(id);
            if (found == jobs_.end() || found->second.position != queued_ ||
                !found->second.reserved_on) {
                reserved_jobs_.erase(id);
                continue;
            }
            start_on_reservation(found->second, now, effects);
        }
    }

    /// Starts a job whose reserved place has become free; gives the place up when it cannot.
    bool start_on_reservation(job_entry& entry, instant now, effects_out effects) {
        if (!entry.reserved_on) {
            return false;
        }
        const std::size_t index = *entry.reserved_on;
        const worker_entry& worker = workers_[index];
        if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now)) {
            cancel_reservation(entry);
            return false;
        }
        const resources free = free_on(worker) + entry.reservation;
        if (!may_take(index, entry, now) || !free.holds(entry.reservation)) {
            return false;
        }
        return start_on(entry, index, now, effects);
    }

    bool try_start(job_entry& entry, instant now, effects_out effects) {
        const auto index = placement_.best_fit(expected_size(entry), [&](std::size_t candidate) {
            return may_take(candidate, entry, now);
        });
        return index && start_on(entry, *index, now, effects);
    }

    bool start_on(job_entry& entry, std::size_t index, instant now, effects_out effects) {
        if (!limits_.acquire(entry.row.job.team) && !fault_planted("task-limits")) {
            return false;
        }
        entry.has_unit = !fault_planted("task-limits");
        entry.worker = index;
        step(entry, job_placed{}, now, effects);
        return true;
    }

    /// Checkpoints tasks of lower priority on one worker until the urgent job fits there.
    void make_room(job_entry& entry, instant now, effects_out effects) {
        const resources size = expected_size(entry);
        if (limits_.running(entry.row.job.team) >= limits_.units(entry.row.job.team) &&
            !entry.row.job.team.empty()) {
            return;
        }
        std::optional<std::size_t> chosen;
        std::vector<job_id> chosen_victims;
        for (std::size_t offset = 0; offset < workers_.size() && !chosen; ++offset) {
            const std::size_t index = (next_eviction_ + offset) % workers_.size();
            ++operations_;
            if (!may_take(index, entry, now) || health_.quarantined(index)) {
                continue;
            }
            std::vector<job_id> victims = victims_on(index, size);
            if (!victims.empty()) {
                chosen = index;
                chosen_victims = std::move(victims);
            }
        }
        if (!chosen) {
            return;
        }
        next_eviction_ = *chosen + 1;
        reserve(entry, *chosen, size, now);
        for (const job_id& id : chosen_victims) {
            ++counts_.evicted;
            step_job(id, eviction_wanted{}, now, effects);
        }
    }

    /// The tasks to evict from a worker so that `size` becomes free; empty when that is impossible.
    std::vector<job_id> victims_on(std::size_t index, const resources& size) {
        const worker_entry& worker = workers_[index];
        resources free = free_on(worker);
        std::vector<const job_entry*> candidates;
        for (const job_id& id : worker.jobs) {
            const job_entry& entry = jobs_.at(id);
            if (entry.position == running_ && entry.row.job.restartable && !entry.row.job.urgent) {
                candidates.push_back(&entry);
            }
        }
        operations_ += candidates.size();
        std::ranges::sort(candidates, [](const job_entry* left, const job_entry* right) {
            return std::pair(-left->charge.millicores, left->order) <
                   std::pair(-right->charge.millicores, right->order);
        });
        std::vector<job_id> victims;
        for (const job_entry* candidate : candidates) {
            if (free.holds(size)) {
                break;
            }
            free += candidate->charge;
            victims.push_back(candidate->row.job.id);
        }
        return free.holds(size) ? victims : std::vector<job_id>();
    }

    /// Serves the team with the lowest weighted use first, until nothing more fits.
    void start_by_share(instant now, effects_out effects) {
        std::set<std::pair<double, team_id>> teams;
        for (const auto& [team, queue] : queues_) {
            if (!queue.empty()) {
                teams.emplace(ledger_.priority(team), team);
            }
        }
        bool first = true;
        while (!teams.empty()) {
            const team_id team = teams.begin()->second;
            teams.erase(teams.begin());
            served_below_ =
                first || !full() ? std::numeric_limits<double>::infinity() : highest_priority();
            first = false;
            if (start_one_of(team, now, effects) && !queues_[team].empty()) {
                teams.emplace(ledger_.priority(team), team);
            }
        }
    }

    /// Whether so little is free that a start of one team is at the cost of another.
    [[nodiscard]] bool full() const {
        constexpr double full_load = 0.9;
        return static_cast<double>(ledger_.used().millicores) >=
               full_load * static_cast<double>(ledger_.capacity().millicores);
    }

    /// Under full load a team far above its share starts nothing, even where the jobs of the teams
    /// below their share do not fit: the room is kept until they do.
    [[nodiscard]] double highest_priority() const {
        return ledger_.mean_priority(waiting_teams()) * (1 + options_.share_tolerance);
    }

    [[nodiscard]] std::vector<team_id> waiting_teams() const {
        std::vector<team_id> waiting;
        for (const auto& [team, queue] : queues_) {
            if (!queue.empty()) {
                waiting.push_back(team);
            }
        }
        return waiting;
    }

    bool start_one_of(const team_id& team, instant now, effects_out effects) {
        if (!team.empty() && limits_.running(team) >= limits_.units(team) &&
            !fault_planted("task-limits")) {
            return false;
        }
        for (job_entry* entry : queues_[team].oldest()) {
            ++operations_;
            if (entry->reserved_on || entry->not_before > now ||
                ledger_.priority(team) + ledger_.weight(team, expected_size(*entry)) / 2 >
                    served_below_) {
                continue;
            }
            if (try_start(*entry, now, effects)) {
                return true;
            }
            if (!entry->refused_at) {
                entry->refused_at = now;
            } else if (now - *entry->refused_at >= patience_for(team)) {
                reserve_soonest(*entry, now);
            }
        }
        return false;
    }

    /// A team below its share whose jobs are all too large for the room that others leave gets
    /// room soon.
    [[nodiscard]] duration patience_for(const team_id& team) const {
        constexpr double below_share = 0.95;
        return full() && ledger_.priority(team) < below_share * highest_priority()
                   ? options_.patience_below_share
                   : options_.patience;
    }

    /// Keeps a worker from taking tasks until a job that has waited long fits on it.
    void reserve_soonest(job_entry& entry, instant now) {
        // At most one usable worker in eight is kept free for jobs that wait.
        constexpr std::size_t kept_free = 8;
        if (reservations_ > usable_workers_ / kept_free) {
            return;
        }
        const resources size = expected_size(entry);
        std::optional<std::size_t> best;
        std::int64_t most = std::numeric_limits<std::int64_t>::min();
        operations_ += workers_.size();
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            const worker_entry& worker = workers_[index];
            const std::int64_t free =
                worker.capacity.millicores - worker.used.millicores - worker.reserved.millicores;
            if (worker.capacity.holds(size) && worker.reserved == resources{} && free > most &&
                may_take(index, entry, now) && !health_.quarantined(index)) {
                best = index;
                most = free;
            }
        }
        if (best) {
            reserve(entry, *best, size, now);
            reserved_jobs_.insert(entry.row.job.id);
        }
    }

    /// First come, first served: the order without shares, as a baseline of measurements.
    void start_in_order(instant now, effects_out effects) {
        std::map<std::uint64_t, job_entry*> waiting;
        for (const auto& [team, queue] : queues_) {
            queue.for_each(
                [&](std::uint64_t order, job_entry* entry) { waiting.emplace(order, entry); });
        }
        for (const auto& [order, entry] : waiting) {
            ++operations_;
            if (!try_start(*entry, now, effects)) {
                break;
            }
        }
    }

    // Periodic review.

    void review(instant now, effects_out effects) {
        update_ownership(now, effects);
        adopt_orphans(now, effects);
        retry_writes(now, effects);
        forget_left(now);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            review_worker(index, now, effects);
        }
        review_queued(now, effects);
        review_attached(now, effects);
        review_throttle();
        dirty_ = true;
    }

    void review_worker(std::size_t index, instant now, effects_out effects) {
        worker_entry& worker = workers_[index];
        if (!worker.listed) {
            step(index, worker_delisted{}, now, effects);
            if (lease_machine_.is_final(worker.position)) {
                health_.handle(index, worker_gone{}, now);
            }
        }
        const bool moves_out =
            worker.position == held_ &&
            (worker.leaving || worker.listing.leaving || !zone_open(worker.listing.zone));
        const bool units_lapse = limits_.lapsed_for() >= options_.checkpoint_after_lapse;
        const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
        for (const job_id& id : jobs) {
            const job_entry& entry = jobs_.at(id);
            const bool ends = moves_out || (units_lapse && !entry.row.job.team.empty());
            if (ends && entry.position == running_ && entry.row.job.restartable) {
                ++counts_.evicted;
                step_job(id, eviction_wanted{}, now, effects);
            } else if (entry.position == evicting_ &&
                       now - entry.since >= options_.checkpoint_timeout) {
                step_job(id, checkpoint_timeout{}, now, effects);
            }
        }
        if (moves_out) {
            const std::vector<job_id> unsent(worker.to_start);
            for (const job_id& id : unsent) {
                step_job(id, worker_detached{}, now, effects);
            }
        }
    }

    /// Whether every worker of this node has told its capacity or had the time to.
    [[nodiscard]] bool settled(instant now) const {
        return !members_.empty() && std::ranges::all_of(workers_, [&](const worker_entry& worker) {
            return worker.known || now - worker.listed_at >= options_.settle;
        });
    }

    void review_queued(instant now, effects_out effects) {
        if (!settled(now)) {
            return;
        }
        std::vector<resources> sizes;
        bool any_usable = false;
        for (const worker_entry& worker : workers_) {
            if (worker.known && worker.epoch != 0 &&
                std::ranges::find(sizes, worker.capacity) == sizes.end()) {
                sizes.push_back(worker.capacity);
            }
            any_usable = any_usable || usable(worker);
        }
        std::vector<job_entry*> waiting;
        for (const auto& [team, queue] : queues_) {
            queue.for_each(
                [&](std::uint64_t /*order*/, job_entry* entry) { waiting.push_back(entry); });
        }
        for (const auto& [order, entry] : urgent_) {
            waiting.push_back(entry);
        }
        operations_ += waiting.size();
        for (job_entry* entry : waiting) {
            const bool fits = std::ranges::any_of(sizes, [&](const resources& capacity) {
                return capacity.holds(entry->row.job.size);
            });
            if (!fits) {
                pass_on(*entry, fits_nowhere{}, unvisited_member(*entry), now, effects);
            } else if (!any_usable) {
                const live_member* other = member_with_open_zone(entry->row.job.id);
                if (other != nullptr) {
                    pass_on(*entry, capacity_elsewhere{}, other, now, effects);
                }
            }
        }
    }

    void pass_on(job_entry& entry, const job_event& event, const live_member* to, instant now,
                 effects_out effects) {
        entry.next_owner.reset();
        if (to != nullptr) {
            entry.next_owner = *to;
        }
        if (std::holds_alternative<fits_nowhere>(event)) {
            entry.row.visited.push_back(options_.self.id);
            entry.row.reason = "no worker has " + described(entry.row.job.size);
        }
        const job_id id = entry.row.job.id;
        step(entry, event, now, effects);
        settle_job(id, now, effects);
    }

    static std::string described(const resources& size) {
        constexpr double thousand = 1000;
        std::string number = std::to_string(static_cast<double>(size.millicores) / thousand);
        number.erase(number.find_last_not_of('0') + 1);
        if (number.ends_with('.')) {
            number.pop_back();
        }
        return number + " processors, " + std::to_string(size.memory_mb) + " MB of memory and " +
               std::to_string(size.accelerators) + " accelerators";
    }

    /// A member that has not yet been asked to run the job.
    [[nodiscard]] const live_member* unvisited_member(const job_entry& entry) const {
        const auto found = std::ranges::find_if(members_, [&](const live_member& member) {
            return member.id != options_.self.id &&
                   std::ranges::find(entry.row.visited, member.id) == entry.row.visited.end();
        });
        return found == members_.end() ? nullptr : &*found;
    }

    [[nodiscard]] const live_member* member_with_open_zone(const job_id& id) const {
        std::vector<live_member> open;
        for (const live_member& member : members_) {
            if (zone_open(member.zone) && member.id != options_.self.id) {
                open.push_back(member);
            }
        }
        const live_member* chosen = rendezvous_owner(open, id.view());
        if (chosen == nullptr) {
            return nullptr;
        }
        return &*std::ranges::find(members_, chosen->id, &live_member::id);
    }

    /// Started jobs whose worker this node does not hold follow the owner of the worker.
    void review_attached(instant now, effects_out effects) {
        std::vector<job_id> attached;
        for (const auto& [id, entry] : jobs_) {
            if (entry.position == attached_) {
                attached.push_back(id);
            }
        }
        for (const job_id& id : attached) {
            job_entry& entry = jobs_.at(id);
            const live_member* heir = heir_of(entry.row);
            if (heir != nullptr && heir->id != options_.self.id) {
                entry.next_owner = *heir;
                step_job(id, worker_elsewhere{}, now, effects);
            } else if (!workers_[*entry.worker].listed &&
                       now - entry.since >= options_.lease + options_.sync_timeout) {
                ++counts_.lost;
                step_job(id, worker_lost{}, now, effects);
            }
        }
    }

    void retry_writes(instant now, effects_out effects) {
        const std::set<job_id> due = std::exchange(rewrites_, {});
        for (const job_id& id : due) {
            const auto found = jobs_.find(id);
            if (found == jobs_.end()) {
                continue;
            }
            if (found->second.write_again_at.value_or(now) > now) {
                rewrites_.insert(id);
                continue;
            }
            found->second.write_again_at.reset();
            settle_job(id, now, effects);
        }
    }

    void release_held_units(instant now) {
        while (!held_units_.empty() && held_units_.front().first <= now) {
            limits_.release(held_units_.front().second);
            held_units_.pop_front();
        }
    }

    void forget_left(instant now) {
        std::erase_if(left_, [&](const auto& item) { return now - item.second.second >= memory; });
    }

    /// Pause before a write that certainly did not happen is tried again.
    static constexpr duration write_retry = milliseconds(500);
    /// Pause between two reviews of ownership, waiting jobs and evictions.
    static constexpr duration review_period = milliseconds(500);
    /// Shortest pause between two messages to a worker.
    static constexpr duration urgent_pause = milliseconds(20);
    /// A worker whose answer takes longer gets no new task meanwhile.
    static constexpr duration slow_answer = milliseconds(200);
    /// How long an urgent job waits for room on one worker before it looks for another.
    static constexpr duration eviction_patience = milliseconds(600);
    /// How long the versions of rows that were left are remembered; a scan takes less.
    static constexpr duration memory = seconds(120);

    struct mean_ratio {
        double processors = 1;
        double memory = 1;
    };

    job_machine job_machine_;
    lease_machine lease_machine_;
    worker_health health_;
    scheduler_options options_;
    team_limits& limits_;
    share_ledger ledger_;
    chart_position held_;
    chart_position queued_;
    chart_position attached_;
    chart_position starting_;
    chart_position evicting_;
    chart_position running_;
    placement placement_;
    fleet_configuration fleet_;
    instant confirmed_at_{};
    std::vector<live_member> members_;
    std::map<job_id, job_entry> jobs_;
    std::map<job_id, foreign_job> foreign_; ///< Jobs of other owners that have not ended.
    std::map<job_id, std::pair<table_version, instant>> left_; ///< Jobs that left this node.
    std::map<team_id, waiting_jobs<job_entry>> queues_;
    job_queue urgent_;
    std::deque<std::pair<instant, team_id>> held_units_; ///< By the time of their release.
    std::set<job_id> cancellations_;
    std::set<job_id> rewrites_;
    std::set<job_id> reserved_jobs_;
    std::map<team_id, double> throttle_; ///< Fraction of their processors that tasks may use.
    std::map<team_id, mean_ratio> usage_ratio_; ///< Usage over declared size.
    std::vector<worker_entry> workers_;
    std::map<worker_id, std::size_t> worker_index_;
    resources largest_;       ///< Largest amount of each resource on one worker.
    double served_below_ = 0; ///< Priority that no start may exceed by more than half its weight.
    std::size_t usable_workers_ = 0;
    std::size_t reservations_ = 0;
    std::size_t next_eviction_ = 0;
    std::uint64_t next_order_ = 1;
    std::uint64_t last_write_ = 0;
    std::uint64_t operations_ = 0;
    mutable scheduler_counts counts_;
    instant next_review_{};
    bool dirty_ = false;
    bool worker_restarted_ = false; ///< The worker of the present report lost its memory.
};

std::span<const task_scheduler::implementation::job_machine::guard>
task_scheduler::implementation::job_guards() {
    static constexpr job_machine::guard table[] = {
        {"is_restartable",
         [](const job_context& context, const job_event&) {
             return context.job.row.job.restartable || fault_planted("task-once");
         }},
        {"has_started",
         [](const job_context& context, const job_event&) {
             return context.job.row.state == job_state::started;
         }},
        {"cancel_wanted",
         [](const job_context& context, const job_event&) { return context.job.cancel_wanted; }},
        {"may_retry",
         [](const job_context& context, const job_event&) {
             return context.job.row.job.restartable &&
                    context.job.failures + 1 < context.scheduler.options_.longest_attempts;
         }},
        {"never_sent", [](const job_context& context,
                          const job_event&) { return context.job.start_sequence == 0; }},
        // The worker kept its memory and took a later message, so the start cannot arrive any more.
        {"surely_not_started",
         [](const job_context& context, const job_event&) {
             return !context.scheduler.worker_restarted_;
         }},
        {"all_nodes_visited",
         [](const job_context& context, const job_event&) { return !context.job.next_owner; }},
    };
    return table;
}

std::span<const task_scheduler::implementation::job_machine::action>
task_scheduler::implementation::job_actions() {
    static constexpr auto end = [](job_context& context, job_state state) {
        context.job.row.state = state;
        context.scheduler.write_row(context.job, false, context.effects);
    };
    static constexpr job_machine::action table[] = {
        {"insert_row",
         [](job_context& context, const job_event&) {
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"answer_accepted",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::ok, context.job.row});
         }},
        {"answer_duplicate",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::duplicate_request, {}});
         }},
        {"answer_unavailable",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::table_unavailable, {}});
         }},
        {"write_adoption",
         [](job_context& context, const job_event&) {
             context.job.row.owner = context.scheduler.options_.self.id;
             context.job.row.epoch = context.scheduler.options_.self.incarnation;
             ++context.job.row.generation;
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"write_new_owner",
         [](job_context& context, const job_event&) {
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"enqueue",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             context.job.row.state = job_state::queued;
             context.job.next_owner.reset();
             if (context.job.cancel_wanted) {
                 scheduler.cancellations_.insert(context.job.row.job.id);
             }
             const job_definition& job = context.job.row.job;
             if (job.urgent) {
                 scheduler.urgent_.emplace(context.job.order, &context.job);
             } else {
                 scheduler.queues_[job.team].insert(context.job.order, job.size, &context.job);
             }
             context.job.refused_at.reset();
             scheduler.dirty_ = true;
         }},
        {"dequeue",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             const job_definition& job = context.job.row.job;
             if (job.urgent) {
                 scheduler.urgent_.erase(context.job.order);
             } else {
                 scheduler.queues_[job.team].erase(context.job.order, job.size);
             }
             scheduler.cancel_reservation(context.job);
         }},
        {"take_place",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             worker_entry& worker = scheduler.workers_[*context.job.worker];
             worker.jobs.insert(context.job.row.job.id);
             const resources size = scheduler.expected_size(context.job);
             scheduler.charge(context.job, size, size);
             context.job.start_sequence = 0;
             context.job.row.worker = worker.listing.id;
             ++context.job.row.attempt;
             context.job.row.state = job_state::started;
             if (scheduler.health_.quarantined(*context.job.worker)) {
                 worker.probe = context.job.row.job.id;
             }
             scheduler.health_.handle(*context.job.worker, task_sent{}, context.now);
         }},
        {"attach_to_worker",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             worker_listing::worker listing;
             listing.id = context.job.row.worker;
             const bool listed = scheduler.worker_index_.contains(listing.id);
             const std::size_t index = scheduler.worker_at(listing, context.now);
             scheduler.workers_[index].listed = scheduler.workers_[index].listed && listed;
             scheduler.workers_[index].jobs.insert(context.job.row.job.id);
             context.job.worker = index;
             context.job.next_owner.reset();
             scheduler.limits_.adopt(context.job.row.job.team);
             context.job.has_unit = true;
             scheduler.charge(context.job, context.job.row.job.size, context.job.row.job.size);
         }},
        {"record_start",
         [](job_context& context, const job_event&) {
             const bool must_precede = !context.job.row.job.restartable;
             context.scheduler.write_row(context.job, must_precede, context.effects);
         }},
        {"ask_start",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_start.push_back(
                 context.job.row.job.id);
         }},
        {"ask_checkpoint",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_checkpoint.insert(
                 context.job.row.job.id);
         }},
        {"drop_checkpoint",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_checkpoint.erase(
                 context.job.row.job.id);
         }},
        {"ask_stop",
         [](job_context& context, const job_event&) {
             worker_entry& worker = context.scheduler.workers_[*context.job.worker];
             worker.to_checkpoint.erase(context.job.row.job.id);
             worker.to_stop.insert(context.job.row.job.id);
         }},
        {"note_usage",
         [](job_context& context, const job_event& event) {
             const resources& usage = std::get<task_running>(event).usage;
             if (usage == resources{}) {
                 return;
             }
             context.scheduler.note_usage(context.job, usage);
         }},
        {"want_cancel",
         [](job_context& context, const job_event&) {
             context.job.cancel_wanted = true;
             context.job.row.cancel = true;
         }},
        {"free_place",
         [](job_context& context, const job_event& event) {
             if (std::holds_alternative<task_failed>(event)) {
                 ++context.job.failures;
             }
             context.scheduler.free_place(context.job, context.now);
         }},
        {"leave_place",
         [](job_context& context, const job_event&) {
             context.scheduler.leave_place(context.job, context.now);
         }},
        {"record_done",
         [](job_context& context, const job_event&) { end(context, job_state::done); }},
        {"record_failed",
         [](job_context& context, const job_event&) {
             context.job.row.reason = "the task failed on worker " + context.job.row.worker.str();
             end(context, job_state::failed);
         }},
        {"record_cancelled",
         [](job_context& context, const job_event&) { end(context, job_state::cancelled); }},
        {"record_unknown",
         [](job_context& context, const job_event&) {
             context.job.row.reason = "worker " + context.job.row.worker.str() + " was lost";
             end(context, job_state::unknown);
         }},
        {"record_cannot_run",
         [](job_context& context, const job_event&) { end(context, job_state::cannot_run); }},
    };
    return table;
}

std::span<const task_scheduler::implementation::lease_machine::action>
task_scheduler::implementation::lease_actions() {
    static constexpr lease_machine::action table[] = {
        {"take_lease",
         [](lease_context& context, const lease_event&) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = 0;
             worker.retake_at = context.now + context.scheduler.options_.sync_timeout;
             context.effects.emplace_back(take_worker_lease{worker.listing.id});
         }},
        {"note_epoch",
         [](lease_context& context, const lease_event& event) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = std::get<lease_granted>(event).epoch;
             worker.sequence = 0;
             worker.open_sync = 0;
             worker.incarnation = 0;
             worker.renewed_at = context.now;
             worker.next_sync = context.now;
             worker.listed_at = context.now;
         }},
        {"withdraw",
         [](lease_context& context, const lease_event&) {
             context.scheduler.placement_.withdraw(context.worker);
         }},
        {"lose_tasks",
         [](lease_context& context, const lease_event&) {
             context.scheduler.counts_.lost +=
                 context.scheduler.workers_[context.worker].jobs.size();
             context.scheduler.for_jobs_of(context.worker, worker_lost{}, context.now,
                                           context.effects);
         }},
        {"detach_tasks",
         [](lease_context& context, const lease_event&) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = 0;
             worker.open_sync = 0;
             worker.to_checkpoint.clear();
             worker.to_stop.clear();
             context.scheduler.for_jobs_of(context.worker, worker_detached{}, context.now,
                                           context.effects);
         }},
    };
    return table;
}

absl::StatusOr<std::unique_ptr<task_scheduler>>
task_scheduler::create(const scheduler_charts& charts, scheduler_options options,
                       team_limits& limits) {
    auto jobs = implementation::job_machine::create(charts.job, implementation::job_guards(),
                                                    implementation::job_actions());
    if (!jobs.ok()) {
        return jobs.status();
    }
    auto leases = implementation::lease_machine::create(charts.worker_lease, {},
                                                        implementation::lease_actions());
    if (!leases.ok()) {
        return leases.status();
    }
    auto health = worker_health::create(charts.worker_health, options.health);
    if (!health.ok()) {
        return health.status();
    }
    auto body = std::make_unique<implementation>(*std::move(jobs), *std::move(leases),
                                                 *std::move(health), std::move(options), limits);
    return std::unique_ptr<task_scheduler>(new task_scheduler(std::move(body)));
}

task_scheduler::task_scheduler(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
task_scheduler::~task_scheduler() = default;

void task_scheduler::configure(const fleet_configuration& fleet) {
    body_->configure(fleet);
}
std::vector<scheduler_effect> task_scheduler::handle(const scheduler_input& input, instant now) {
    return body_->handle(input, now);
}
const job_row* task_scheduler::find(const job_id& job) const {
    return body_->find(job);
}
std::size_t task_scheduler::open_jobs() const {
    return body_->open_jobs();
}
std::size_t task_scheduler::queued_jobs() const {
    return body_->queued_jobs();
}
bool task_scheduler::holds(const worker_id& worker) const {
    return body_->holds(worker);
}
bool task_scheduler::quarantined(const worker_id& worker) const {
    return body_->quarantined(worker);
}
const scheduler_counts& task_scheduler::counts() const {
    return body_->counts();
}

} // namespace citronford
