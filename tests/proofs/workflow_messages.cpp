// Requests between owners and backend servers, and their answers.
#include "proofs/workflow_world.h"

#include <algorithm>

namespace citronford {

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
    item.times_out_at = now_ + wait + command_timeout;
    item.reply_by = now_ + wait;
    item.connected_incarnation = backends_.at(to.id).process_start;
    if (!fault_free_) {
        item.lost = chance(faults_.request_lost);
        item.reply_lost = chance(faults_.reply_lost);
        if (!std::holds_alternative<poll_message>(item.body) && chance(faults_.request_delayed)) {
            item.deliver_at = now_ + seconds(2 + random_below(10));
            item.reply_lost = true;
        }
    }
    messages_.push_back(std::move(item));
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
        const model_backend& server = backends_.at(item.to);
        const bool reachable = server.up && now_ >= server.partitioned_until;
        // A restart of the server closes its connections.
        item.lost = item.lost || item.connected_incarnation != server.process_start;
        if (!item.delivered && now_ >= item.deliver_at && reachable && !item.lost) {
            answer(item);
        }
        if (!item.answered && now_ >= item.times_out_at) {
            item.answered = true;
            time_out(item);
        }
        messages_[index] = std::move(item);
    }
    std::erase_if(messages_, [&](const message& item) {
        const bool too_old = now_ >= item.deliver_at + seconds(20);
        return item.answered && (item.delivered || item.lost || too_old);
    });
}

void workflow_world::answer(message& item) {
    const request_body body = item.body;
    std::visit([&](const auto& content) { answer(item, content); }, body);
}

void workflow_world::answer(message& item, const start_message& body) {
    item.delivered = true;
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
        handle_input(item.from, poll_answered{item.to, reply});
    }
}

void workflow_world::time_out(message& item) {
    if (const auto* start = std::get_if<start_message>(&item.body)) {
        handle_input(item.from, start_answered{start->run, command_in_doubt{}});
    } else if (const auto* stop = std::get_if<stop_message>(&item.body)) {
        handle_input(item.from, stop_answered{stop->run, command_in_doubt{}});
    } else {
        handle_input(item.from, poll_answered{item.to, command_in_doubt{}});
    }
}

} // namespace citronford
