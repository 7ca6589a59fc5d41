#include "node/node.h"

#include "citronford/chart.h"
#include "citronford/overloaded.h"
#include "io/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace citronford {
namespace {

/// Pause between two looks at the work that is left during a planned stop.
constexpr duration drain_tick_period = milliseconds(50);

/// Pause between two looks at the live nodes. A late look only delays a takeover: leases decide who
/// may act.
constexpr duration member_period = milliseconds(500);

} // namespace

absl::StatusOr<std::unique_ptr<node>> node::create(const settings& node_settings, node_links links,
                                                   std::function<void()> on_stop_listening,
                                                   std::function<void()> on_leave) {
    const auto life_cycle = chart::load(node_settings.charts + "/drain.scxml");
    if (!life_cycle.ok()) {
        return life_cycle.status();
    }
    auto stop =
        drain::create(*life_cycle, {node_settings.drain_delay, node_settings.drain_timeout});
    if (!stop.ok()) {
        return stop.status();
    }
    std::unique_ptr<node> created(new node(node_settings, links, *std::move(stop)));
    auto control = control_driver::create(node_settings, {links.timers, links.table, links.peers},
                                          created->limits_);
    if (!control.ok()) {
        return control.status();
    }
    created->configuration_ = *std::move(control);
    auto pools = pool_driver::create(node_settings,
                                     {links.timers, links.table, links.vms, links.vm_controls});
    if (!pools.ok()) {
        return pools.status();
    }
    created->pools_ = *std::move(pools);
    auto requests =
        request_driver::create(node_settings, links, created->limits_, *created->pools_);
    if (!requests.ok()) {
        return requests.status();
    }
    created->requests_ = *std::move(requests);
    auto tasks = task_driver::create(
        node_settings, links, created->limits_,
        created->configuration_->members().self().incarnation,
        [target = created.get()] { return target->configuration_->view().confirmed_at; });
    if (!tasks.ok()) {
        return tasks.status();
    }
    created->tasks_ = *std::move(tasks);
    created->buffers_ = std::make_unique<buffer_driver>(
        node_settings, links.timers, links.table, *created->pools_, [target = created.get()] {
            return loads_of(target->configuration_->fleet(), target->requests_->take_peak_slots(),
                            target->tasks_->scheduler().workers_wanted());
        });
    created->on_stop_listening_ = std::move(on_stop_listening);
    created->on_leave_ = std::move(on_leave);
    return created;
}

node::node(settings node_settings, node_links links, drain stop)
    : settings_(std::move(node_settings)), links_(links), drain_(std::move(stop)),
      levels_(std::make_unique<service_level_driver>(links.timers, settings_.zone)) {}

void node::start() {
    configuration_->subscribe([this](const fleet_configuration& fleet) { apply(fleet); });
    configuration_->start();
    requests_->on_answer([this](const answer_caller& answer) {
        levels_->answered(answer.caller, answer.request, answer.code, answer.status);
    });
    tasks_->subscribe({[this](const job_sli_event& job) { levels_->served(job.team, job.bad); },
                       [this](const job_id& id, const team_id& team, result_code code) {
                           levels_->job_refused(id, team, code);
                       }});
    configuration_->on_handover([this](const member_id& from, const job_handover& message) {
        tasks_->handle(handover_received{from, message});
    });
    pools_->start();
    requests_->start();
    levels_->start();
    tasks_->start();
    buffers_->start();
    member_timer_ = links_.timers.every(member_period, [this](instant now) { share_members(now); });
}

/// Tells the drivers which nodes are live. A joining node waits until the others know it, since it
/// would take itself for the only node and take over every worker and pool; it does not wait for a
/// dead node longer than a registration lasts.
void node::share_members(instant now) {
    const membership& registered = configuration_->members();
    const bool waited = now - registered.registered_since() >= settings_.node_lease;
    if (!registered.registered() || (!registered.established() && !waited)) {
        return;
    }
    std::vector<live_member> members;
    std::vector<node_id> nodes;
    for (const node_registration& item : registered.live(now)) {
        members.push_back({item.member.node, item.zone, item.member.incarnation, item.address});
        nodes.push_back(item.member.node);
    }
    tasks_->set_members(members);
    pools_->set_members(nodes);
    buffers_->set_members(nodes);
    requests_->set_members(members);
}

void node::apply(const fleet_configuration& fleet) {
    pools_->configure(fleet);
    requests_->configure(fleet);
    levels_->configure(fleet);
    tasks_->configure(fleet);
}

bool node::ready() const {
    return drain_.ready() && configuration_->loaded() && !other_zones_serve();
}

/// Whether operators have removed the zone of this node while another zone has live entry VMs.
bool node::other_zones_serve() const {
    const fleet_configuration& fleet = configuration_->fleet();
    if (!zone_removed(fleet, settings_.zone)) {
        return false;
    }
    const auto live = configuration_->members().live(links_.timers.now());
    return std::ranges::any_of(
        live, [&](const node_registration& item) { return !zone_removed(fleet, item.zone); });
}

void node::submit(const caller_request& request) {
    const fleet_configuration& fleet = configuration_->fleet();
    const service_definition* service = find_service(fleet, request.service.view());
    if (service == nullptr) {
        refuse(request, make_status(result_code::unknown_service, "there is no such service"));
        return;
    }
    const auto team =
        authorized_team(configuration_->view(), request.digest, service->open, links_.timers.now());
    if (!team.ok()) {
        refuse(request, team.status());
        return;
    }
    if (request.request.empty() && !service->idempotent) {
        refuse(request, make_status(result_code::missing_request_id,
                                    "the service is not idempotent: a Request-Id is needed"));
        return;
    }
    const duration timeout =
        request.timeout > duration::zero() ? request.timeout : fleet.defaults.request_timeout;
    levels_->received(request.caller, service->name, *team);
    requests_->handle(request_submission{request.caller, request.request, *team, request.service,
                                         std::string(request.body), timeout, request.repeated});
}

void node::refuse(const caller_request& request, const absl::Status& status) {
    const result_code cause = code_of(status);
    const result_code_entry& entry = entry_of(refusal_before_claim(cause, request.repeated));
    const std::string reason = entry.code == cause ? std::string(message_of(status))
                                                   : std::string(entry_of(cause).name) + ": " +
                                                         std::string(message_of(status));
    levels_->refused(request.service, request.request, entry.code);
    links_.callers.answer(request.caller,
                          {entry.http_status, entry.code, entry.state, request.request, reason});
}

void node::caller_left(caller_id caller) {
    levels_->left(caller);
    requests_->handle(caller_disconnected{caller});
}

void node::submit_job(caller_id caller, const key_digest& digest,
                      const absl::StatusOr<job_definition>& job) {
    if (!job.ok()) {
        refuse_job(caller, {}, job.status());
        return;
    }
    const service_definition* queue = find_service(configuration_->fleet(), job->queue.view());
    if (!job->queue.empty() && queue == nullptr) {
        refuse_job(caller, job->id,
                   make_status(result_code::unknown_service, "there is no such queue"));
        return;
    }
    const bool open = queue != nullptr && queue->open;
    const auto team = authorized_team(configuration_->view(), digest, open, links_.timers.now());
    if (!team.ok()) {
        refuse_job(caller, job->id, team.status());
        return;
    }
    job_submission submission{caller, *job};
    submission.job.team = *team;
    tasks_->handle(submission);
}

void node::show_job(caller_id caller, const key_digest& digest, const job_id& id) {
    const auto team = authorized_team(configuration_->view(), digest, true, links_.timers.now());
    if (!team.ok()) {
        refuse_job(caller, id, team.status());
        return;
    }
    tasks_->show(caller, *team, id);
}

void node::cancel_job(caller_id caller, const key_digest& digest, const job_id& id) {
    const auto team = authorized_team(configuration_->view(), digest, true, links_.timers.now());
    if (!team.ok()) {
        refuse_job(caller, id, team.status());
        return;
    }
    tasks_->cancel(caller, *team, id);
}

void node::refuse_job(caller_id caller, const job_id& id, const absl::Status& status) {
    const result_code_entry& entry = entry_of(code_of(status));
    levels_->job_refused(id, {}, entry.code);
    links_.callers.answer(caller, {entry.http_status, entry.code, entry.state,
                                   request_id(id.view()), message_of(status)});
}

void node::request_stop() {
    log_event(log_level::info, "stop_requested", {{"node", settings_.node.view()}});
    handle(stop_requested{});
    if (!drain_timer_.active()) {
        drain_timer_ = links_.timers.every(drain_tick_period, [this](instant) {
            handle(drain_tick{requests_->open_work(), tasks_->scheduler().open_handovers()});
        });
    }
}

void node::handle(const drain_input& input) {
    for (const drain_effect& effect : drain_.handle(input, links_.timers.now())) {
        std::visit(overloaded{
                       [this](const stop_listening&) { on_stop_listening_(); },
                       [this](const hand_over&) {
                           configuration_->hand_over();
                           tasks_->handle(scheduler_stop{});
                       },
                       // Each request is answered by its own deadline.
                       [](const answer_open_work&) {},
                       [this](const leave&) {
                           const std::size_t open = tasks_->scheduler().open_handovers();
                           if (open > 0) {
                               log_event(log_level::warning, "handover_incomplete",
                                         {{"open", static_cast<std::int64_t>(open)}});
                           }
                           configuration_->leave(on_leave_);
                       },
                   },
                   effect);
    }
}

} // namespace citronford
