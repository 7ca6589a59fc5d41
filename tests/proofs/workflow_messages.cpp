// Requests between owners and backend servers, and their answers.
#include "proofs/workflow_world.h"

#include "citronford/overloaded.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

template <class Result> Result result_without_answer(bool sent, bool process_known) {
    if (sent) {
        return command_in_doubt{process_known};
    }
    return backend_unreachable{};
}

} // namespace

void workflow_world::perform(const owner_ref& instance, const send_start& effect) {
    start_message body{effect.run, effect.command, std::string(effect.command.checkpoint)};
    body.command.payload = {};
    body.command.checkpoint = {};
    send(instance, effect.to, std::move(body), {});
}

void workflow_world::perform(const owner_ref& instance, const send_stop& effect) {
    send(instance, effect.to, stop_message{effect.run, effect.command}, {});
}

void workflow_world::perform(const owner_ref& instance, const send_poll& effect) {
    send(instance, effect.to, poll_message{effect.request}, effect.request.max_wait);
}

void workflow_world::send(const owner_ref& instance, const backend_address& to, request_body body,
                          duration wait) {
    message item{instance, to.id, std::move(body)};
    item.sent_at = now_;
    item.deliver_at = now_ + step_time;
    item.times_out_at = now_ + wait + call_timeout_;
    item.reply_by = now_ + wait;
    item.reset_noticed = chance(0.5);
    connect(item);
    if (!fault_free_) {
        add_faults(item);
    }
    if (auto* poll = std::get_if<poll_message>(&item.body);
        poll != nullptr && !item.process_known) {
        // As the contract of the link says: the answer may come from another process.
        poll->request.lease_until.reset();
        poll->request.acknowledged_completion = 0;
        poll->request.max_wait = {};
        item.reply_by = now_;
    }
    messages_.push_back(std::move(item));
}

void workflow_world::connect(message& item) {
    const model_backend& server = backends_.at(item.to);
    const auto kept = item.from->kept_connections.find(item.to);
    const auto leads_to = [&](process_start_ms process) {
        return to_ms(kept->second.time_since_epoch()) == process;
    };
    if (kept != item.from->kept_connections.end() && !chance(faults_.new_connection)) {
        // The link may have noticed that the process has gone.
        const bool closed = kept->second != server.process_start && chance(0.5);
        const bool known = std::visit(
            overloaded{
                [&](const start_message& body) { return leads_to(body.command.process); },
                [&](const stop_message&) { return false; },
                [&](const poll_message& body) { return leads_to(body.request.process); },
            },
            item.body);
        const bool is_stop = std::holds_alternative<stop_message>(item.body);
        if (!closed && (known || is_stop)) {
            item.connected_process = kept->second;
            item.process_known = known;
            return;
        }
    }
    const bool opened_at_once = server.up && chance(0.5);
    if (opened_at_once) {
        item.connected_process = server.process_start;
    }
}

void workflow_world::add_faults(message& item) {
    item.lost = chance(faults_.request_lost);
    item.reply_lost = chance(faults_.reply_lost);
    const bool is_poll = std::holds_alternative<poll_message>(item.body);
    const bool delayed = !is_poll && chance(faults_.request_delayed);
    const bool held_up =
        !is_poll && !item.process_known && chance(faults_.request_delayed_past_restart);
    if (item.lost || delayed) {
        // The request was sent, to the process that is or was the last one.
        item.connected_process =
            item.connected_process.value_or(backends_.at(item.to).process_start);
    }
    if (delayed || held_up) {
        item.deliver_at = now_ + seconds(2 + random_below(10));
        item.reply_lost = true;
    }
    if (held_up) {
        item.connected_process.reset();
        item.held_up = true;
    }
}

void workflow_world::deliver_messages() {
    for (const owner_ref& instance : owners_) {
        // An owner retries its write until it is committed; a write of an earlier owner is refused.
        if (instance == owners_.back() && !instance->unsaved.empty() &&
            store_reachable(*instance)) {
            for (const progress_row& row : std::exchange(instance->unsaved, {})) {
                store_.at(row.job).progress = row.progress;
            }
            handle_input(instance, progress_saved{});
        }
    }
    for (std::size_t index = 0; index < messages_.size(); ++index) {
        message item = std::move(messages_[index]);
        deliver(item);
        messages_[index] = std::move(item);
    }
    std::erase_if(messages_, [&](const message& item) {
        const bool too_old = now_ >= item.deliver_at + seconds(20);
        return item.answered && (item.delivered || item.lost || too_old);
    });
}

void workflow_world::deliver(message& item) {
    const model_backend& server = backends_.at(item.to);
    const bool cut_off = now_ < server.partitioned_until;
    const bool reachable = server.up && !cut_off;
    const bool due = now_ >= item.deliver_at;
    if (due && reachable && !item.connected_process && (!item.answered || item.held_up)) {
        item.connected_process = server.process_start;
    }
    // A restart of the server closes its connections.
    item.lost = item.lost ||
                (item.connected_process && *item.connected_process != server.process_start) ||
                (item.answered && !item.connected_process && !item.held_up);
    if (!item.delivered && due && reachable && !item.lost) {
        answer(item);
    }
    const bool refused = !cut_off && item.reset_noticed && !item.held_up && !item.delivered &&
                         (server.up ? item.lost : server.refuses_connections);
    if (!item.answered && ((due && refused) || now_ >= item.times_out_at)) {
        item.answered = true;
        end_without_answer(item);
    }
}

void workflow_world::answer(message& item) {
    const request_body body = item.body;
    std::visit([&](const auto& content) { answer(item, content); }, body);
}

void workflow_world::answer(message& item, const start_message& body) {
    item.delivered = true;
    const model_backend& server = backends_.at(item.to);
    const bool names_server = body.command.process == server.registration.process_start_unix_ms;
    if (!item.process_known && !item.held_up && !names_server) {
        // The link asks first which process answers, and sends a start to no other one.
        if (!std::exchange(item.answered, true)) {
            handle_input(item.from, start_answered{body.run, backend_unreachable{}});
        }
        return;
    }
    // A delayed start, or one from an owner without the latest state, may come after a
    // cancellation.
    constexpr duration on_time_limit = milliseconds(200);
    constexpr duration recovery_time = milliseconds(3000);
    const owner& instance = *item.from;
    sender_up_to_date_ = item.from == owners_.back() && now_ <= item.sent_at + on_time_limit &&
                         now_ >= instance.begun_at + recovery_time &&
                         now_ >= instance.store_partitioned_until + recovery_time &&
                         now_ >= instance.frozen_until + recovery_time;
    const command_result result = start_task(backends_.at(item.to), body.command);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        handle_input(item.from, start_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const stop_message& body) {
    item.delivered = true;
    const command_result result = stop_run(backends_.at(item.to), body.command);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        handle_input(item.from, stop_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const poll_message& body) {
    model_backend& server = backends_.at(item.to);
    if (body.request.token < server.fence) {
        item.delivered = true;
        item.answered = true;
        handle_input(item.from, poll_answered{item.to, command_refused{command_refusal::fenced}});
        return;
    }
    const poll_reply reply = answer_poll(server, body.request);
    if (reply.completions.empty() && now_ < item.reply_by) {
        return;
    }
    item.delivered = true;
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        item.from->kept_connections[item.to] = server.process_start;
        handle_input(item.from, poll_answered{item.to, reply});
    }
}

void workflow_world::end_without_answer(message& item) {
    item.from->kept_connections.erase(item.to);
    const bool sent = item.connected_process || item.held_up;
    std::visit(overloaded{
                   [&](const start_message& body) {
                       handle_input(item.from,
                                    start_answered{body.run, result_without_answer<command_result>(
                                                                 sent, item.process_known)});
                   },
                   [&](const stop_message& body) {
                       handle_input(item.from,
                                    stop_answered{body.run, result_without_answer<command_result>(
                                                                sent, item.process_known)});
                   },
                   [&](const poll_message&) {
                       handle_input(item.from,
                                    poll_answered{item.to, result_without_answer<poll_result>(
                                                               sent, item.process_known)});
                   },
               },
               item.body);
}

} // namespace citronford
