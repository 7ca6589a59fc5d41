#include "node/fleet/fleet_node.h"

#include "citronford/result_code.h"
#include "io/digest.h"
#include "io/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration stop_tick_period = milliseconds(20);

constexpr duration memory_tick_period = seconds(1);

constexpr std::uint64_t bytes_per_mb = std::uint64_t{1} << 20;

/// Time from failed readiness until the load balancer sends no more requests: it checks once a
/// second and acts after two failures.
constexpr duration balancer_delay = milliseconds(2300);

/// Reserve between the end of the process and the end by force.
constexpr duration stop_margin = milliseconds(300);

/// Time for the requests under way when the listening sockets close.
constexpr duration finish_time = milliseconds(600);

/// Time for the answers to requests that are still open then.
constexpr duration last_answers_time = milliseconds(400);

/// The times of a planned stop, which is ended by force after `grace`. Half of a short grace is
/// left for the time after the delay.
drain_options stop_times(duration grace) {
    const duration usable = std::max<duration>(grace - stop_margin, duration::zero());
    const duration delay = std::min<duration>(balancer_delay, usable / 2);
    const duration timeout = usable - delay;
    const auto before_timeout = [&](duration reserve) {
        return std::max<duration>(timeout - reserve, duration::zero());
    };
    return {.delay = delay,
            .timeout = timeout,
            .connection_wait = before_timeout(finish_time),
            .answers_due = before_timeout(last_answers_time)};
}

/// Capacity of a VM for the work of the owner. By estimate, a link of 10 Mbit/s delays the reads of
/// a new owner about as much as a tenth of a processor does.
std::int64_t owner_capacity_permille(const fleet_settings& own_settings) {
    constexpr std::int64_t full_capacity = 1000;
    constexpr std::int64_t kbit_per_permille = 100;
    return std::min({own_settings.processors_permille, own_settings.link_kbit / kbit_per_permille,
                     full_capacity});
}

ownership_options options_of(const fleet_settings& own_settings) {
    ownership_options options;
    options.node = own_settings.node;
    constexpr std::size_t incarnation_bytes = 8;
    options.incarnation = random_hex(incarnation_bytes);
    options.capacity_permille = owner_capacity_permille(own_settings);
    const auto jitter_ms =
        static_cast<std::int64_t>(std::hash<std::string_view>{}(options.incarnation) % 100);
    options.claim_jitter = milliseconds(jitter_ms);
    return options;
}

absl::StatusOr<chart> load_chart(const fleet_settings& own_settings, std::string_view name) {
    return chart::load(own_settings.charts + "/" + std::string(name) + ".scxml");
}

} // namespace

absl::StatusOr<std::unique_ptr<fleet_node>>
fleet_node::create(const fleet_settings& own_settings, fleet_links links, fleet_process process) {
    constexpr std::string_view names[] = {"workflow", "task_run",   "backend_contact",
                                          "drain",    "ownership",  "submission",
                                          "vm_order", "server_pace"};
    std::map<std::string_view, chart> charts;
    for (const std::string_view name : names) {
        auto loaded = load_chart(own_settings, name);
        if (!loaded.ok()) {
            return loaded.status();
        }
        charts.emplace(name, *std::move(loaded));
    }
    auto stop = drain::create(charts.at("drain"), stop_times(own_settings.stop_grace));
    if (!stop.ok()) {
        return stop.status();
    }
    const ownership_options options = options_of(own_settings);
    auto owner = ownership::create(charts.at("ownership"), options);
    if (!owner.ok()) {
        return owner.status();
    }
    auto submissions = submission_batcher::create(charts.at("submission"));
    if (!submissions.ok()) {
        return submissions.status();
    }
    return std::unique_ptr<fleet_node>(
        new fleet_node(own_settings, std::move(links), std::move(process),
                       {charts.at("workflow"), charts.at("task_run"), charts.at("backend_contact"),
                        charts.at("vm_order"), charts.at("server_pace")},
                       *std::move(stop), *std::move(owner), options, *std::move(submissions)));
}

fleet_node::fleet_node(const fleet_settings& own_settings, fleet_links links, fleet_process process,
                       life_cycles charts, drain stop, ownership owner,
                       const ownership_options& options, submission_batcher submissions)
    : own_settings_(own_settings), links_(std::move(links)), process_(std::move(process)),
      charts_(std::move(charts)), table_(links_.table, links_.timers, registry_),
      drain_(std::move(stop)),
      memory_(static_cast<std::uint64_t>(own_settings.memory_limit_mb) * bytes_per_mb),
      owner_(std::move(owner), options, table_, links_.timers,
             {[this](fencing_token token) { begin_dispatching(token); },
              [this] { end_dispatching(); }, [this] { ownership_stopped_ = true; }}),
      orders_follower_(
          table_, links_.timers,
          {{std::string(links_.rows.orders_prefix())},
           std::string(links_.rows.orders_prefix()),
           milliseconds(2000),
           duration::zero()},
          [this](std::span<const table_row> rows) { apply_order_rows(rows, true); },
          [this](std::span<const table_row> rows) { apply_order_rows(rows, false); }),
      workflows_(std::move(submissions), table_, links_.timers, registry_,
                 own_settings.table_row_bytes) {}

void fleet_node::start() {
    owner_.start();
    orders_follower_.start();
    workflows_.start();
    memory_ticks_ = links_.timers.every(memory_tick_period, [this](instant) { watch_memory(); });
}

void fleet_node::watch_memory() {
    const auto resident = process_.resident_bytes();
    if (!resident.ok()) {
        log_event(log_level::warning, "memory_unknown",
                  {{"reason", message_of(resident.status())}});
        memory_ticks_.cancel();
        return;
    }
    registry_.set("citronford_resident_bytes", {}, static_cast<double>(*resident));
    if (memory_.observe(*resident)) {
        log_event(log_level::warning, "memory_high",
                  {{"resident_mb", static_cast<std::int64_t>(*resident / bytes_per_mb)},
                   {"limit_mb", own_settings_.memory_limit_mb}});
    }
}

bool fleet_node::ready() const {
    // One lost reply must not take the node out of service; three failures in a row do.
    constexpr int max_failures = 3;
    return catalog_ != nullptr && drain_.ready() && table_.consecutive_failures() < max_failures;
}

std::string fleet_node::metrics_text() {
    const auto gauge = [this](std::string_view name, double value) {
        registry_.set(name, {}, value);
    };
    gauge("citronford_ready", ready() ? 1 : 0);
    gauge("citronford_stopping", drain_.ready() ? 0 : 1);
    for (const listener_load& load : process_.listener_loads()) {
        const std::array labels = {metric_label{"listener", load.name}};
        const auto count = [&](std::string_view name, std::size_t value) {
            registry_.set(name, labels, static_cast<double>(value));
        };
        count("citronford_open_connections", load.connections);
        count("citronford_open_requests", load.open_requests);
        count("citronford_unread_connections", load.unread_connections);
    }
    gauge("citronford_owner", dispatch_ ? 1 : 0);
    gauge("citronford_catalog_version", catalog_ ? static_cast<double>(catalog_->version()) : 0.0);
    gauge("citronford_table_failures_in_row", table_.consecutive_failures());
    const dispatch_counts counts = dispatch_ ? dispatch_->state().counts() : dispatch_counts{};
    gauge("citronford_workflows", static_cast<double>(counts.workflows));
    gauge("citronford_runs", static_cast<double>(counts.runs));
    gauge("citronford_stalled_workflows", static_cast<double>(counts.stalled));
    gauge("citronford_backends", static_cast<double>(counts.backends));
    gauge("citronford_quarantined_backends", static_cast<double>(counts.quarantined));
    gauge("citronford_slow_backends", static_cast<double>(counts.slow));
    const std::pair<std::string_view, std::uint64_t> totals[] = {
        {"citronford_starts_total", counts.starts},
        {"citronford_tasks_done_total", counts.runs_done},
        {"citronford_tasks_failed_total", counts.runs_failed},
        {"citronford_runs_lost_total", counts.runs_lost},
        {"citronford_starts_refused_total", counts.starts_refused},
        {"citronford_copies_started_total", counts.copies_started},
        {"citronford_copies_won_total", counts.copies_won}};
    for (const auto& [name, value] : totals) {
        registry_.set_total(name, {}, static_cast<double>(value));
    }
    return registry_.text();
}

void fleet_node::begin_dispatching(fencing_token token) {
    dispatch_options options;
    options.token = token;
    options.previous_owner_grace = ownership_options().grace;
    options.lease = std::min<duration>(options.lease, own_settings_.longest_backend_lease);
    options.max_lease = own_settings_.longest_backend_lease;
    options.stop_time = own_settings_.backend_stop_time;
    options.has_vm_lists = own_settings_.vms.port != 0;
    options.overload_order = own_settings_.load.overload_order;
    options.fair_shares = own_settings_.load.fair_shares;
    options.slow_servers = own_settings_.load.slow_servers;
    // Registrations that expired during an outage of the table return within two seconds after it;
    // a table failure within the last 6 s may have been such an outage.
    constexpr duration outage_window = seconds(6);
    constexpr duration registration_time = milliseconds(2300);
    if (links_.timers.now() - outage_window < table_.last_failure_at()) {
        options.registration_delay = registration_time;
    }
    auto created = dispatch_driver::create(
        {charts_.workflow, charts_.task_run, charts_.backend_contact, &charts_.server_pace},
        options,
        {links_.timers, table_, links_.backends, links_.rows, own_settings_.table_row_bytes},
        {[this] {
             return owner_authority{owner_.state().lease_until(), owner_.state().authority_until()};
         },
         links_.unix_ms, [this] { owner_.fenced_out(); }});
    if (!created.ok()) {
        log_event(log_level::error, "dispatcher_failed",
                  {{"reason", message_of(created.status())}});
        return;
    }
    dispatch_ = *std::move(created);
    if (catalog_) {
        dispatch_->apply(catalog_);
    }
    dispatch_->apply(orders_);
    dispatch_->start();
    owner_since_ = links_.timers.now();
    if (own_settings_.vms.port != 0) {
        begin_vm_orders(token);
    }
}

void fleet_node::begin_vm_orders(fencing_token token) {
    auto waves = wave_planner::create(charts_.vm_order, {own_settings_.maintenance_time});
    if (!waves.ok()) {
        log_event(log_level::error, "wave_planner_failed",
                  {{"reason", message_of(waves.status())}});
        return;
    }
    auto capacity = capacity_planner::create(
        charts_.vm_order, {own_settings_.move_time, own_settings_.load.burst_capacity});
    if (!capacity.ok()) {
        log_event(log_level::error, "capacity_planner_failed",
                  {{"reason", message_of(capacity.status())}});
        return;
    }
    vms_ = std::make_unique<vm_driver>(
        *std::move(waves), *std::move(capacity), vm_order_origin{own_settings_.node, token},
        vm_links{links_.timers, table_, links_.vms, links_.rows},
        vm_order_timing{
            owner_since_, own_settings_.vm_order_interval,
            std::min<duration>(own_settings_.move_time, own_settings_.maintenance_time)},
        vm_driver::callbacks{
            [this] { return may_order_vms(); }, links_.unix_ms,
            [this]() -> const dispatcher& { return dispatch_->state(); },
            [this]() -> const queue_catalog& {
                static const queue_catalog none;
                return catalog_ ? *catalog_ : none;
            },
            [this]() -> const std::set<zone_id>& { return orders_.removed_zones; },
            [this](const backends_to_drain& to_drain) { dispatch_->drain_backends(to_drain); },
            [this](const present_backends& present) {
                dispatch_->update_present_backends(present);
            }});
    for (const auto& [number, wave] : waves_) {
        vms_->set_wave(wave);
    }
    vms_->start();
}

bool fleet_node::may_order_vms() const {
    // An order that is sent now must arrive before the lease expires.
    constexpr duration margin = milliseconds(500);
    const instant now = links_.timers.now();
    return now + margin < owner_.state().lease_until();
}

void fleet_node::end_dispatching() {
    if (!dispatch_) {
        return;
    }
    dispatch_->stop();
    if (vms_) {
        vms_->stop();
    }
    const std::shared_ptr<vm_driver> ended_vms(std::move(vms_));
    // The ownership may end within a call of a driver, so both drivers are destroyed later.
    const std::shared_ptr<dispatch_driver> ended(std::move(dispatch_));
    links_.timers.once(duration::zero(), [ended, ended_vms](instant) {});
}

void fleet_node::apply_order_rows(std::span<const table_row> rows, bool is_snapshot) {
    if (is_snapshot) {
        orders_.removed_zones.clear();
        waves_.clear();
    }
    for (const table_row& row : rows) {
        apply_order_row(row);
    }
    if (dispatch_) {
        dispatch_->apply(orders_);
    }
}

void fleet_node::apply_order_row(const table_row& row) {
    auto order = links_.rows.decode_order(row);
    if (!order.ok()) {
        log_event(log_level::error, "row_unreadable",
                  {{"key", row.key}, {"reason", message_of(order.status())}});
        return;
    }
    std::visit([this](const auto& item) { apply(item); }, *order);
}

void fleet_node::apply(const std::shared_ptr<const queue_catalog>& catalog) {
    // A version never reverts within the life of a process.
    if (catalog_ && catalog->version() <= catalog_->version()) {
        return;
    }
    log_event(log_level::info, "catalog_applied",
              {{"version", catalog->version()},
               {"queues", static_cast<std::int64_t>(catalog->queues().size())}});
    catalog_ = catalog;
    if (dispatch_) {
        dispatch_->apply(catalog_);
    }
}

void fleet_node::apply(const zone_order& order) {
    log_event(log_level::info, order.removed ? "zone_removed" : "zone_taken_back",
              {{"zone", order.zone.view()}});
    if (order.removed) {
        orders_.removed_zones.insert(order.zone);
    } else {
        orders_.removed_zones.erase(order.zone);
    }
}

void fleet_node::apply(const wave_order& order) {
    log_event(log_level::info, "wave_ordered",
              {{"wave", order.number},
               {"vms", static_cast<std::int64_t>(order.vms.size())},
               {"time_ms", to_ms(order.time_limit)},
               {"most_at_once", static_cast<std::int64_t>(order.max_concurrent)}});
    waves_.insert_or_assign(order.number, order);
    if (vms_) {
        vms_->set_wave(order);
    }
}

void fleet_node::apply(const wave_withdrawn& order) {
    waves_.erase(order.number);
    if (vms_) {
        vms_->withdraw(order.number);
    }
}

void fleet_node::request_stop() {
    if (!drain_.ready()) {
        return;
    }
    log_event(log_level::info, "stop_requested", {});
    log_loads("stop_requested", process_.listener_loads());
    process_.close_after_answers();
    drain_.handle(stop_requested{}, links_.timers.now());
    owner_.request_stop();
    drain_ticks_ = links_.timers.every(stop_tick_period, [this](instant) { tick_drain(); });
}

void fleet_node::tick_drain() {
    const drain_tick tick{process_.open_requests(), ownership_stopped_ ? 0U : 1U,
                          process_.open_connections()};
    for (const drain_effect& effect : drain_.handle(tick, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void fleet_node::perform(const stop_listening& /*effect*/) {
    process_.stop_listening();
    log_loads("listening_ended", process_.listener_loads());
}

void fleet_node::perform(const hand_over& /*effect*/) {}

void fleet_node::perform(const answer_open_work& /*effect*/) {
    log_event(log_level::warning, "open_requests_answered",
              {{"open_requests", static_cast<std::int64_t>(process_.open_requests())}});
    workflows_.stop();
}

void fleet_node::perform(const leave& /*effect*/) {
    drain_ticks_.cancel();
    process_.leave();
}

} // namespace citronford
