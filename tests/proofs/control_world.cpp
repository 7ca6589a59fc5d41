#include "proofs/control_world.h"

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(100);
constexpr duration read_period = seconds(1);
constexpr duration table_timeout = seconds(2);

chart loaded(const std::string& name) {
    return *chart::load(std::string(CITRONFORD_CHARTS) + "/" + name + ".scxml");
}

} // namespace

control_world::control_world(std::uint64_t seed, std::size_t zones, std::size_t node_count,
                             fleet_configuration first)
    : random(seed), cut(zones, std::vector<bool>(zones)),
      platform_cut(zones), versions{std::move(first)}, generation_(node_count) {
    for (std::size_t index = 0; index < node_count; ++index) {
        nodes.push_back(std::make_unique<modelled_node>());
        nodes[index]->zone_index = index % zones;
        start(index);
    }
}

void control_world::start(std::size_t index) {
    static const chart lease = loaded("lease");
    static const chart life = loaded("member");
    static const chart change = loaded("configuration_change");
    static const chart key = loaded("key");
    const std::size_t zone = nodes[index]->zone_index;
    former_.push_back(std::exchange(nodes[index], std::make_unique<modelled_node>()));
    modelled_node& node = *nodes[index];
    node.zone_index = zone;
    node.zone = zone_id("z" + std::to_string(zone));
    membership_options options;
    options.self = {node_id("n" + std::to_string(index)),
                    static_cast<std::uint64_t>(now.time_since_epoch().count())};
    options.zone = node.zone;
    options.address = {"10.0.0." + std::to_string(index), 1};
    options.lease = seconds(5);
    options.retention = seconds(40);
    node.members = *membership::create(lease, life, options);
    escrow_options units;
    units.backend_lease = seconds(8);
    units.seed = static_cast<std::uint32_t>(random());
    node.units = std::make_unique<escrow>(*node.members, node.limits, units);
    node.fleet = *configuration::create(change, key, *node.members, *node.units, {});
    ++generation_[index];
    at_node(index, milliseconds(below(100)), [this, index] { tick(index); });
    at_node(index, milliseconds(below(50)), [this, index] { poll(index); });
}

void control_world::poll(std::size_t index) {
    at_node(index, read_period, [this, index] { poll(index); });
    read(index);
}

void control_world::at_node(std::size_t index, duration delay, std::function<void()> function) {
    const std::uint64_t process = generation_[index];
    schedule(delay, [this, index, process, function = std::move(function)] {
        modelled_node& node = *nodes[index];
        if (generation_[index] != process || !node.up) {
            return;
        }
        if (node.paused) {
            node.held_back.push_back(function);
            return;
        }
        node.limits.set_now(now);
        function();
    });
}

void control_world::run(duration span) {
    const instant end = now + span;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        auto event = queue_.extract(queue_.begin());
        now = event.key();
        ++steps;
        event.mapped()();
    }
    now = end;
}

void control_world::end_process(std::size_t index, bool with_vm) {
    nodes[index]->up = false;
    nodes[index]->vm_up = !with_vm;
}

void control_world::restart(std::size_t index) {
    start(index);
}

void control_world::pause(std::size_t index, bool paused) {
    modelled_node& node = *nodes[index];
    node.paused = paused;
    if (!paused) {
        for (auto& function : std::exchange(node.held_back, {})) {
            at_node(index, duration::zero(), std::move(function));
        }
    }
}

void control_world::tick(std::size_t index) {
    at_node(index, tick_period, [this, index] { tick(index); });
    input(index, membership_input(membership_tick{}));
    input(index, configuration_input(configuration_tick{}));
    input(index, escrow_input(escrow_tick{}));
    if (on_tick) {
        on_tick(index);
    }
}

void control_world::publish(modelled_node& node) {
    node.members->publish({node.fleet->fleet().version, node.fleet->confirmed_at(),
                           node.fleet->commit_in_doubt(), node.units->unrecorded()});
}

void control_world::at_table(std::size_t index, std::function<void()> effect,
                             std::function<void(bool)> done) {
    const bool out = faults.table_out || platform_cut[nodes[index]->zone_index];
    // A request may reach the table long after its sender gave up on it.
    const duration way =
        latency() + faults.table_delay + (chance() < 0.02 ? seconds(3) : duration());
    const bool lost = chance() < faults.lost_replies;
    auto replied = std::make_shared<bool>(false);
    auto finish = [done = std::move(done), replied](bool arrived) {
        if (!std::exchange(*replied, true)) {
            done(arrived);
        }
    };
    if (!out) {
        schedule(way, [this, index, effect = std::move(effect), finish, lost] {
            if (faults.table_out) {
                return;
            }
            effect();
            if (!lost) {
                at_node(index, latency(), [finish] { finish(true); });
            }
        });
    }
    at_node(index, table_timeout, [finish] { finish(false); });
}

/// One read of the table. The registrations are read first but applied last, so that a node that
/// forgets another one has every change that it made.
void control_world::read(std::size_t index) {
    if (nodes[index]->reading) {
        return;
    }
    nodes[index]->reading = true;
    struct snapshot {
        instant begun_at;
        registrations_read registrations;
        configuration_read fleet;
        escrow_read units;
    };
    auto found = std::make_shared<snapshot>();
    found->begun_at = now;
    at_table(
        index,
        [this, found] {
            for (const auto& [id, row] : registrations_) {
                found->registrations.rows.push_back(row);
            }
            found->registrations.version = table_version_;
        },
        [this, index, found](bool first) {
            const instant begun_at = now;
            at_table(
                index,
                [this, found] {
                    found->fleet = {{}, versions.back(), version_row_, author_};
                    found->units.rows = rows;
                },
                [this, index, found, first, begun_at](bool second) {
                    nodes[index]->reading = false;
                    if (!first || !second) {
                        return;
                    }
                    found->registrations.begun_at = found->begun_at;
                    found->fleet.begun_at = begun_at;
                    input(index, configuration_input(found->fleet));
                    input(index, membership_input(found->registrations));
                    input(index, escrow_input(found->units));
                });
        });
}

void control_world::input(std::size_t index, const membership_input& item) {
    modelled_node& node = *nodes[index];
    publish(node);
    for (const membership_effect& effect : node.members->handle(item, now)) {
        std::visit(
            overloaded{
                [&](const write_registration& write) {
                    auto result = std::make_shared<registration_written>();
                    ++table_writes;
                    at_table(
                        index,
                        [this, write, result] {
                            const node_id& id = write.registration.member.node;
                            const auto row = registrations_.find(id);
                            const table_version present =
                                row == registrations_.end() ? absent_row : row->second.version;
                            result->outcome = write_outcome::conflict;
                            if (present == write.check) {
                                registrations_[id] = {write.registration, ++table_version_};
                                *result = {{}, write_outcome::committed, table_version_};
                            }
                        },
                        [this, index, result, sent_at = write.sent_at](bool arrived) {
                            registration_written report = *result;
                            report.sent_at = sent_at;
                            report.outcome = arrived ? report.outcome : write_outcome::in_doubt;
                            input(index, membership_input(report));
                        });
                },
                [&](const erase_registration& erase) {
                    at_table(
                        index,
                        [this, erase, self = node.members->self().node] {
                            const auto own = registrations_.find(self);
                            if (own == registrations_.end() ||
                                own->second.version != erase.own_check) {
                                return;
                            }
                            const auto row = registrations_.find(erase.node);
                            if (row != registrations_.end() && row->second.version == erase.check) {
                                registrations_.erase(row);
                                ++table_version_;
                            }
                        },
                        [](bool) {});
                },
                [&](const send_peer& message) { send(index, message); },
            },
            effect);
    }
    input(index, configuration_input(peers_changed{}));
}

void control_world::input(std::size_t index, const escrow_input& item) {
    modelled_node& node = *nodes[index];
    for (const escrow_effect& effect : node.units->handle(item, now)) {
        if (const auto* message = std::get_if<send_peer>(&effect)) {
            send(index, *message);
            continue;
        }
        const auto write = std::get<write_escrow>(effect);
        auto result = std::make_shared<escrow_written>();
        ++table_writes;
        at_table(
            index,
            [this, write, result] {
                result->outcome = write_outcome::conflict;
                for (const auto& [team, row] : write.rows) {
                    if (rows[team].version != row.version) {
                        return;
                    }
                }
                ++table_version_;
                for (auto [team, row] : write.rows) {
                    row.version = table_version_;
                    rows[team] = row;
                }
                *result = {0, write_outcome::committed, table_version_};
            },
            [this, index, result, number = write.number](bool arrived) {
                escrow_written report = *result;
                report.number = number;
                report.outcome = arrived ? report.outcome : write_outcome::in_doubt;
                input(index, escrow_input(report));
                if (!arrived || result->outcome == write_outcome::conflict) {
                    read(index);
                }
            });
    }
}

void control_world::input(std::size_t index, const configuration_input& item) {
    modelled_node& node = *nodes[index];
    for (const configuration_effect& effect : node.fleet->handle(item, now)) {
        std::visit(
            overloaded{
                [&](const commit_change& commit) {
                    auto result = std::make_shared<change_committed>();
                    result->id = commit.id;
                    at_table(
                        index,
                        [this, commit, result] {
                            const auto own = registrations_.find(commit.author.node);
                            result->registration_changed =
                                own == registrations_.end() ||
                                own->second.version != commit.registration;
                            result->outcome = write_outcome::conflict;
                            if (version_row_ == commit.version_row &&
                                !result->registration_changed) {
                                versions.push_back(
                                    changed_configuration(versions.back(), commit.change));
                                version_row_ = ++table_version_;
                                author_ = commit.author;
                                result->outcome = write_outcome::committed;
                            }
                            result->version = version_row_;
                        },
                        [this, index, result](bool arrived) {
                            change_committed report = *result;
                            report.outcome = arrived ? report.outcome : write_outcome::in_doubt;
                            input(index, configuration_input(report));
                        });
                },
                [&](const answer_change& answer) {
                    if (on_answer) {
                        on_answer(index, answer);
                    }
                },
                [&](const push_configuration& effect) { push(index, effect.to); },
                [&](const read_table&) { read(index); },
                [&](const fence_commit&) { input(index, membership_input(renewal_asked{})); },
                [&](const configuration_applied&) {
                    escrow_limits limits{node.fleet->fleet().version, {}};
                    for (const team_definition& team : node.fleet->fleet().defaults.teams) {
                        limits.limits[team.name] = team.limit;
                    }
                    input(index, escrow_input(limits));
                    input(index, membership_input(confirmation_limit_set{
                                     confirmation_limit(node.fleet->view())}));
                },
                [&](const send_peer& message) { send(index, message); },
            },
            effect);
    }
}

void control_world::push(std::size_t index, const node_id& to) {
    configuration_update update;
    update.version = nodes[index]->fleet->fleet().version;
    update.version_row = nodes[index]->fleet->version_row();
    if (!faults.updates_lost) {
        send(index, {to, {}, update});
    }
}

void control_world::change(std::size_t index, const configuration_change& change) {
    modelled_node& node = *nodes[index];
    if (node.up && !node.paused) {
        const change_id id{next_id_++};
        node.asked[id] = change;
        node.limits.set_now(now);
        input(index, configuration_input(change_asked{id, change, false}));
    }
}

void control_world::send(std::size_t index, const send_peer& item) {
    std::size_t to = 0;
    while (to < nodes.size() && nodes[to]->members->self().node != item.to) {
        ++to;
    }
    ++messages;
    const std::size_t from_zone = nodes[index]->zone_index;
    const std::size_t to_zone = nodes[to]->zone_index;
    if (!nodes[to]->up && nodes[to]->vm_up && !cut[from_zone][to_zone] &&
        !cut[to_zone][from_zone]) {
        at_node(index, latency(), [this, index, id = item.to, begun_at = now] {
            input(index, membership_input(peer_refused{id, begun_at}));
        });
        return;
    }
    const member_id from = nodes[index]->members->self();
    for (int copy = chance() < faults.late_messages ? 2 : 1; copy > 0; --copy) {
        if (cut[from_zone][to_zone] || chance() < faults.lost_messages) {
            continue;
        }
        const bool late = copy == 2 || chance() < faults.late_messages;
        const duration delay = late ? milliseconds(below(6000)) : latency();
        at_node(to, delay,
                [this, to, from, message = item.message] { receive(to, from, message); });
    }
}

void control_world::receive(std::size_t index, const member_id& from, const peer_message& message) {
    std::visit(
        overloaded{
            [&](const peer_hello& item) {
                input(index, membership_input(hello_heard{from, item}));
            },
            [&](const peer_heartbeat& item) {
                input(index, membership_input(heartbeat_heard{from, item}));
            },
            [&](const configuration_update& item) {
                for (const fleet_configuration& fleet : versions) {
                    if (fleet.version == item.version) {
                        input(index, configuration_input(
                                         configuration_pushed{from, fleet, item.version_row}));
                        break;
                    }
                }
            },
            [&](const configuration_ack& item) {
                input(index, configuration_input(configuration_acknowledged{from, item.version}));
            },
            [&](const unit_request& item) {
                input(index, escrow_input(unit_request_heard{from, item}));
            },
            [&](const unit_transfer& item) {
                input(index, escrow_input(unit_transfer_heard{from, item}));
            },
            [&](const unit_transfer_ack& item) {
                input(index, escrow_input(unit_transfer_ack_heard{from, item}));
            },
            [](const job_handover&) {},
            [&](const peer_goodbye& item) {
                input(index, membership_input(goodbye_heard{from, item}));
            },
        },
        message);
}

} // namespace citronford
