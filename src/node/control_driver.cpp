#include "node/control_driver.h"

#include "citronford/chart.h"
#include "citronford/overloaded.h"
#include "citronford/result_code.h"
#include "io/configuration_codec.h"
#include "io/control_codec.h"
#include "io/log.h"

#include <algorithm>
#include <span>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(100);
/// Time for the last writes and messages of a planned stop.
constexpr duration leave_pause = milliseconds(200);
constexpr std::string_view node_prefix = "node/";
constexpr std::string_view escrow_prefix = "escrow/";

std::string key_of(std::string_view prefix, std::string_view name) {
    return std::string(prefix) + std::string(name);
}

write_outcome outcome_of(const absl::StatusOr<table_commit>& commit) {
    if (!commit.ok()) {
        return code_of(commit.status()) == result_code::commit_in_doubt
                   ? write_outcome::in_doubt
                   : write_outcome::unavailable;
    }
    return commit->committed ? write_outcome::committed : write_outcome::conflict;
}

} // namespace

absl::StatusOr<std::unique_ptr<control_driver>>
control_driver::create(const settings& node_settings, control_links links, team_limits& limits) {
    const std::string& charts = node_settings.charts;
    const auto lease = chart::load(charts + "/lease.scxml");
    const auto life_cycle = chart::load(charts + "/member.scxml");
    const auto change = chart::load(charts + "/configuration_change.scxml");
    const auto key = chart::load(charts + "/key.scxml");
    for (const auto* loaded : {&lease, &life_cycle, &change, &key}) {
        if (!loaded->ok()) {
            return loaded->status();
        }
    }
    std::unique_ptr<control_driver> driver(new control_driver(node_settings, links, limits));
    membership_options options;
    options.self = {node_settings.node, static_cast<std::uint64_t>(
                                            std::chrono::duration_cast<microseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count())};
    options.zone = node_settings.zone;
    options.address = node_settings.peers;
    options.lease = node_settings.node_lease;
    auto members = membership::create(*lease, *life_cycle, options);
    if (!members.ok()) {
        return members.status();
    }
    driver->membership_ = *std::move(members);
    driver->escrow_ = std::make_unique<escrow>(*driver->membership_, limits, escrow_options{});
    auto fleet = configuration::create(*change, *key, *driver->membership_, *driver->escrow_, {});
    if (!fleet.ok()) {
        return fleet.status();
    }
    driver->configuration_ = *std::move(fleet);
    return driver;
}

control_driver::control_driver(settings node_settings, control_links links, team_limits& limits)
    : settings_(std::move(node_settings)), links_(links), limits_(limits) {}

void control_driver::start() {
    links_.peers.on_receive(
        [this](const member_id& from, const peer_message& message) { receive(from, message); },
        [this](const node_id& node, instant begun_at) {
            handle(peer_refused{node, begun_at});
        });
    tick_timer_ = links_.timers.every(tick_period, [this](instant) { tick(); });
    poll_timer_ = links_.timers.every(settings_.configuration_poll, [this](instant) { read(); });
    read();
}

void control_driver::tick() {
    limits_.set_now(links_.timers.now());
    handle(membership_input(membership_tick{}));
    handle(configuration_input(configuration_tick{}));
    handle(leaving_ ? escrow_input(escrow_stop{}) : escrow_input(escrow_tick{}));
}

void control_driver::publish() {
    membership_->publish({fleet().version, configuration_->confirmed_at(),
                          configuration_->commit_in_doubt(), escrow_->unrecorded()});
}

void control_driver::handle(const membership_input& input) {
    publish();
    const std::string_view before = membership_->lease_state();
    for (const membership_effect& effect : membership_->handle(input, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
    if (membership_->lease_state() != before) {
        log_event(log_level::info, "registration",
                  {{"node", settings_.node.view()},
                   {"state", membership_->lease_state()},
                   {"members", static_cast<std::int64_t>(membership_->members().size())}});
    }
    handle(configuration_input(peers_changed{}));
}

void control_driver::handle(const configuration_input& input) {
    for (const configuration_effect& effect : configuration_->handle(input, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void control_driver::handle(const escrow_input& input) {
    for (const escrow_effect& effect : escrow_->handle(input, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void control_driver::perform(const write_registration& effect) {
    const table_check check{key_of(node_prefix, effect.registration.member.node.view()),
                            effect.check};
    const table_write write{check.key, registration_json(effect.registration)};
    links_.table.commit(std::span(&check, 1), std::span(&write, 1),
                        [this, sent_at = effect.sent_at](const absl::StatusOr<table_commit>& done) {
                            const bool read_back = !done.ok() || !done->committed;
                            handle(membership_input(registration_written{
                                sent_at, outcome_of(done), done.ok() ? done->version : 0}));
                            if (read_back) {
                                read();
                            }
                        });
}

void control_driver::perform(const erase_registration& effect) {
    std::vector<table_check> checks{{key_of(node_prefix, effect.node.view()), effect.check}};
    if (effect.node != settings_.node) {
        checks.push_back({key_of(node_prefix, settings_.node.view()), effect.own_check});
    }
    const table_write write{checks[0].key, std::nullopt};
    links_.table.commit(checks, std::span(&write, 1),
                        [this](const absl::StatusOr<table_commit>&) { read(); });
}

void control_driver::perform(const send_peer& effect) {
    links_.peers.send(membership_->self(), effect);
}

void control_driver::perform(const write_escrow& effect) {
    std::vector<table_check> checks;
    std::vector<table_write> writes;
    for (const auto& [team, row] : effect.rows) {
        checks.push_back({key_of(escrow_prefix, team.view()), row.version});
        writes.push_back({checks.back().key, escrow_json(row)});
    }
    links_.table.commit(checks, writes,
                        [this, number = effect.number](const absl::StatusOr<table_commit>& done) {
                            handle(escrow_input(escrow_written{number, outcome_of(done),
                                                               done.ok() ? done->version : 0}));
                            if (!done.ok() || !done->committed) {
                                read();
                            }
                        });
}

void control_driver::perform(const commit_change& effect) {
    const table_check checks[] = {
        {std::string(configuration_version_key), effect.version_row},
        {key_of(node_prefix, effect.author.node.view()), effect.registration}};
    std::vector<table_write> writes = rows_of(effect.change);
    writes.push_back(
        {std::string(configuration_version_key), version_text(effect.version, effect.author)});
    links_.table.commit(
        checks, writes, [this, effect, writes](const absl::StatusOr<table_commit>& done) {
            change_committed report{effect.id, outcome_of(done), 0, false};
            if (done.ok() && done->committed) {
                report.version = done->version;
                for (const table_write& write : writes) {
                    const table_row row{write.key, write.value, done->version};
                    log_.note_rows(std::span(&row, 1));
                }
                log_.note_version(effect.version, done->version);
            } else if (done.ok()) {
                report.version = done->conflict_version;
                report.registration_changed = done->conflict_key != configuration_version_key;
            }
            handle(configuration_input(report));
        });
}

void control_driver::perform(const answer_change& effect) {
    const auto found = changes_.find(effect.id);
    if (found == changes_.end()) {
        return;
    }
    const change_callback done = std::move(found->second);
    changes_.erase(found);
    if (effect.status.ok()) {
        done(change_result{effect.version, effect.zones});
    } else {
        done(effect.status);
    }
}

/// Sends the rows after the version that the peer has; all rows when that version is not known.
void control_driver::perform(const push_configuration& effect) {
    const auto peer = membership_->members().find(effect.to);
    if (peer == membership_->members().end()) {
        return;
    }
    perform(send_peer{
        effect.to, effect.address,
        log_.update(peer->second.last.version, fleet().version, configuration_->version_row())});
}

void control_driver::perform(const read_table& /*effect*/) {
    read();
}

void control_driver::perform(const fence_commit& /*effect*/) {
    handle(membership_input(renewal_asked{}));
}

void control_driver::perform(const configuration_applied& /*effect*/) {
    log_event(log_level::info, "configuration_applied",
              {{"version", static_cast<std::int64_t>(fleet().version)}});
    escrow_limits limits{fleet().version, {}};
    for (const team_definition& team : fleet().defaults.teams) {
        limits.limits[team.name] = limit_of(fleet(), team);
    }
    handle(escrow_input(limits));
    handle(membership_input(confirmation_limit_set{confirmation_limit(view())}));
    for (const listener& function : listeners_) {
        function(fleet());
    }
}

void control_driver::change(const configuration_change& change, bool dry_run,
                            change_callback done) {
    const change_id id{next_change_++};
    changes_.emplace(id, std::move(done));
    handle(configuration_input(change_asked{id, change, dry_run}));
}

void control_driver::hand_over() {
    if (std::exchange(leaving_, true)) {
        return;
    }
    handle(escrow_input(escrow_stop{}));
}

void control_driver::leave(std::function<void()> done) {
    hand_over();
    leave_timer_ = links_.timers.after(leave_pause, [this, done = std::move(done)](instant) {
        tick_timer_.cancel();
        handle(membership_input(membership_stop{}));
        leave_timer_ = links_.timers.after(leave_pause, [done](instant) { done(); });
    });
}

void control_driver::read() {
    if (reading_) {
        read_again_ = true;
        return;
    }
    reading_ = true;
    auto found = std::make_shared<table_snapshot>();
    found->registrations.begun_at = links_.timers.now();
    links_.table.scan(node_prefix, 0, [this, found](const absl::StatusOr<table_scan>& scan) {
        if (!scan.ok()) {
            reading_ = false;
            return;
        }
        found->registrations.version = scan->version;
        for (const table_row& row : scan->rows) {
            const auto registration = parse_registration(row.value.value_or(""));
            if (registration.ok()) {
                found->registrations.rows.push_back({*registration, row.version});
            }
        }
        read_fleet(found);
    });
}

void control_driver::read_fleet(const std::shared_ptr<table_snapshot>& found) {
    found->fleet.begun_at = links_.timers.now();
    links_.table.scan(configuration_prefix, scanned_,
                      [this, found](const absl::StatusOr<table_scan>& scan) {
                          if (!scan.ok()) {
                              reading_ = false;
                              return;
                          }
                          log_.note_rows(scan->rows);
                          for (const table_row& row : scan->rows) {
                              const absl::Status status = apply_row(row, scanned_fleet_);
                              if (!status.ok()) {
                                  log_event(log_level::error, "configuration_row_invalid",
                                            {{"row", row.key}, {"reason", message_of(status)}});
                              }
                              if (row.key == configuration_version_key) {
                                  version_row_ = row.version;
                                  author_ = author_of(row.value.value_or(""));
                                  log_.note_version(scanned_fleet_.version, row.version);
                              }
                          }
                          scanned_ = std::max(scanned_, scan->version);
                          found->fleet.fleet = scanned_fleet_;
                          found->fleet.version_row = version_row_;
                          found->fleet.author = author_;
                          read_units(found);
                      });
}

/// The registrations were read first and are applied last, so that a node that forgets another one
/// has every change that it made.
void control_driver::read_units(const std::shared_ptr<table_snapshot>& found) {
    links_.table.scan(escrow_prefix, scanned_units_,
                      [this, found](const absl::StatusOr<table_scan>& scan) {
                          reading_ = false;
                          handle(configuration_input(found->fleet));
                          handle(membership_input(found->registrations));
                          if (scan.ok()) {
                              for (const table_row& row : scan->rows) {
                                  auto units = parse_escrow(row.value.value_or(""));
                                  if (units.ok()) {
                                      units->version = row.version;
                                      const std::string_view team =
                                          std::string_view(row.key).substr(escrow_prefix.size());
                                      found->units.rows[team_id(team)] = *std::move(units);
                                  }
                              }
                              scanned_units_ = std::max(scanned_units_, scan->version);
                              handle(escrow_input(found->units));
                          }
                          if (std::exchange(read_again_, false)) {
                              read();
                          }
                      });
}

void control_driver::take_update(const member_id& from, const configuration_update& update) {
    if (update.base != 0 && update.base != fleet().version) {
        if (update.version > fleet().version) {
            read();
        }
        return;
    }
    fleet_configuration updated = update.base == 0 ? fleet_configuration() : fleet();
    for (const table_row& row : update.rows) {
        if (!apply_row(row, updated).ok()) {
            return;
        }
    }
    if (updated.version != update.version) {
        return;
    }
    log_.note_rows(update.rows);
    log_.note_version(update.version, update.version_row);
    handle(configuration_input(configuration_pushed{from, updated, update.version_row}));
}

void control_driver::receive(const member_id& from, const peer_message& message) {
    limits_.set_now(links_.timers.now());
    std::visit(overloaded{
                   [&](const peer_hello& item) {
                       handle(membership_input(hello_heard{from, item}));
                   },
                   [&](const peer_heartbeat& item) {
                       handle(membership_input(heartbeat_heard{from, item}));
                   },
                   [&](const configuration_update& item) { take_update(from, item); },
                   [&](const configuration_ack& item) {
                       handle(configuration_input(configuration_acknowledged{from, item.version}));
                   },
                   [&](const unit_request& item) {
                       handle(escrow_input(unit_request_heard{from, item}));
                   },
                   [&](const unit_transfer& item) {
                       handle(escrow_input(unit_transfer_heard{from, item}));
                   },
                   [&](const unit_transfer_ack& item) {
                       handle(escrow_input(unit_transfer_ack_heard{from, item}));
                   },
                   [&](const job_handover& item) {
                       if (handover_heard_) {
                           handover_heard_(from, item);
                       }
                   },
                   [&](const peer_goodbye& item) {
                       handle(membership_input(goodbye_heard{from, item}));
                   },
               },
               message);
}

} // namespace citronford
