#include "io/peer_codec.h"

#include "citronford/overloaded.h"
#include "citronford/result_code.h"
#include "generated/peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace citronford {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

wire::MemberId wire_of(const member_id& id) {
    wire::MemberId item;
    item.node = id.node.str();
    item.incarnation = static_cast<std::int64_t>(id.incarnation);
    return item;
}

member_id member_of(const wire::MemberId& item) {
    return {node_id(item.node), static_cast<std::uint64_t>(item.incarnation)};
}

wire::Heartbeat wire_of(const peer_heartbeat& item) {
    wire::Heartbeat heartbeat;
    heartbeat.probe_us = item.probe_us;
    heartbeat.echo_us = item.echo_us;
    heartbeat.version = static_cast<std::int64_t>(item.version);
    heartbeat.confirmation_age_us = item.confirmation_age.count();
    heartbeat.commit_in_doubt = item.commit_in_doubt;
    for (const member_id& id : item.unrecorded) {
        heartbeat.unrecorded.push_back(wire_of(id));
    }
    return heartbeat;
}

peer_heartbeat heartbeat_of(const wire::Heartbeat& item) {
    peer_heartbeat heartbeat;
    heartbeat.probe_us = item.probe_us;
    heartbeat.echo_us = item.echo_us;
    heartbeat.version = static_cast<configuration_version>(item.version);
    heartbeat.confirmation_age = microseconds(item.confirmation_age_us);
    heartbeat.commit_in_doubt = item.commit_in_doubt;
    for (const wire::MemberId& id : item.unrecorded) {
        heartbeat.unrecorded.push_back(member_of(id));
    }
    return heartbeat;
}

wire::ConfigurationUpdate wire_of(const configuration_update& item) {
    wire::ConfigurationUpdate update;
    update.base = static_cast<std::int64_t>(item.base);
    update.version = static_cast<std::int64_t>(item.version);
    update.version_row = static_cast<std::int64_t>(item.version_row);
    for (const table_row& row : item.rows) {
        wire::Row& copy = update.rows.emplace_back();
        copy.key = row.key;
        copy.version = static_cast<std::int64_t>(row.version);
        if (row.value) {
            copy.__set_value(*row.value);
        }
    }
    return update;
}

configuration_update update_of(const wire::ConfigurationUpdate& item) {
    configuration_update update;
    update.base = static_cast<configuration_version>(item.base);
    update.version = static_cast<configuration_version>(item.version);
    update.version_row = static_cast<table_version>(item.version_row);
    for (const wire::Row& row : item.rows) {
        table_row& copy = update.rows.emplace_back();
        copy.key = row.key;
        copy.version = static_cast<table_version>(row.version);
        if (row.__isset.value) {
            copy.value = row.value;
        }
    }
    return update;
}

wire::Message wire_of(const peer_message& message) {
    wire::Message result;
    std::visit(overloaded{
                   [&](const peer_hello& item) {
                       wire::Hello hello;
                       hello.zone = item.zone.str();
                       hello.address.address = item.address.address;
                       hello.address.port = item.address.port;
                       hello.registered = static_cast<std::int64_t>(item.registered);
                       result.__set_hello(hello);
                   },
                   [&](const peer_heartbeat& item) { result.__set_heartbeat(wire_of(item)); },
                   [&](const configuration_update& item) {
                       result.__set_configuration_update(wire_of(item));
                   },
                   [&](const configuration_ack& item) {
                       wire::ConfigurationAck ack;
                       ack.version = static_cast<std::int64_t>(item.version);
                       result.__set_configuration_ack(ack);
                   },
                   [&](const unit_request& item) {
                       wire::UnitRequest request;
                       request.team = item.team.str();
                       request.wanted = item.wanted;
                       request.asked_us = item.asked_us;
                       result.__set_unit_request(request);
                   },
                   [&](const unit_transfer& item) {
                       wire::UnitTransfer transfer;
                       transfer.team = item.team.str();
                       transfer.total = item.total;
                       transfer.asked_us = item.asked_us;
                       result.__set_unit_transfer(transfer);
                   },
                   [&](const unit_transfer_ack& item) {
                       wire::UnitTransferAck ack;
                       ack.team = item.team.str();
                       ack.total = item.total;
                       result.__set_unit_transfer_ack(ack);
                   },
                   [&](const job_handover& item) {
                       wire::JobHandover handover;
                       for (const job_id& id : item.jobs) {
                           handover.jobs.push_back(id.str());
                       }
                       for (const worker_id& id : item.workers) {
                           handover.workers.push_back(id.str());
                       }
                       handover.confirms = item.confirms;
                       result.__set_job_handover(handover);
                   },
                   [&](const peer_goodbye& item) {
                       wire::Goodbye goodbye;
                       goodbye.version = static_cast<std::int64_t>(item.version);
                       result.__set_goodbye(goodbye);
                   },
               },
               message);
    return result;
}

absl::StatusOr<peer_message> message_of(const wire::Message& item) {
    if (item.__isset.hello) {
        return peer_hello{
            zone_id(item.hello.zone),
            {item.hello.address.address, static_cast<std::uint16_t>(item.hello.address.port)},
            static_cast<table_version>(item.hello.registered)};
    }
    if (item.__isset.heartbeat) {
        return heartbeat_of(item.heartbeat);
    }
    if (item.__isset.configuration_update) {
        return update_of(item.configuration_update);
    }
    if (item.__isset.configuration_ack) {
        return configuration_ack{
            static_cast<configuration_version>(item.configuration_ack.version)};
    }
    if (item.__isset.unit_request) {
        const wire::UnitRequest& request = item.unit_request;
        return unit_request{team_id(request.team), request.wanted, request.asked_us};
    }
    if (item.__isset.unit_transfer) {
        const wire::UnitTransfer& transfer = item.unit_transfer;
        return unit_transfer{team_id(transfer.team), transfer.total, transfer.asked_us};
    }
    if (item.__isset.unit_transfer_ack) {
        const wire::UnitTransferAck& ack = item.unit_transfer_ack;
        return unit_transfer_ack{team_id(ack.team), ack.total};
    }
    if (item.__isset.job_handover) {
        job_handover handover;
        for (const std::string& id : item.job_handover.jobs) {
            handover.jobs.emplace_back(id);
        }
        for (const std::string& id : item.job_handover.workers) {
            handover.workers.emplace_back(id);
        }
        handover.confirms = item.job_handover.confirms;
        return handover;
    }
    if (item.__isset.goodbye) {
        return peer_goodbye{static_cast<configuration_version>(item.goodbye.version)};
    }
    return make_status(result_code::malformed_body, "the message has no known content");
}

} // namespace

std::string encoded(const member_id& sender, const peer_message& message) {
    wire::Envelope envelope;
    envelope.sender = wire_of(sender);
    envelope.message = wire_of(message);
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    envelope.write(&protocol);
    return buffer->getBufferAsString();
}

absl::StatusOr<peer_envelope> decoded(std::string_view text) {
    // Containers larger than the frame are refused before memory is taken for them.
    const auto limits = std::make_shared<TConfiguration>(static_cast<int>(text.size()) + 1);
    std::string copy(text);
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(copy.data()), static_cast<std::uint32_t>(copy.size()),
        TMemoryBuffer::OBSERVE, limits);
    const auto most = static_cast<std::int32_t>(text.size());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, most, most);
    wire::Envelope envelope;
    try {
        envelope.read(&protocol);
    } catch (const TException& error) {
        return make_status(result_code::malformed_body, error.what());
    }
    auto message = message_of(envelope.message);
    if (!message.ok()) {
        return message.status();
    }
    if (envelope.sender.node.empty() || buffer->available_read() != 0) {
        return make_status(result_code::malformed_body, "the frame is not exactly one message");
    }
    return peer_envelope{member_of(envelope.sender), *std::move(message)};
}

} // namespace citronford
