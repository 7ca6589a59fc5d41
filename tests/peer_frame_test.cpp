#include "test_support.h"

#include "citronford/result_code.h"
#include "io/peer_codec.h"
#include "io/peer_frame.h"

#include <random>

using namespace citronford;

namespace {

const std::string secret = "0123456789abcdef";
const member_id sender{node_id("n1"), 7};

peer_heartbeat heartbeat() {
    peer_heartbeat message;
    message.probe_us = 1796382358884402;
    message.version = 4100;
    message.confirmation_age = milliseconds(900);
    message.unrecorded = {{node_id("n2"), 9}};
    return message;
}

} // namespace

// Guards against a frame that is accepted again after it was recorded on the wire.
Test(peer_frame, rejects_a_repeated_frame_and_one_of_another_connection) {
    frame_seal out(secret, "nonces");
    frame_seal in(secret, "nonces");
    frame_seal other(secret, "other nonces");
    const std::string frame = out.sealed("content");
    std::string input = frame + frame;
    const auto first = in.opened(input);
    cr_assert(first.ok() && first->has_value());
    expect_equal(**first, "content");
    cr_assert(code_of(in.opened(input).status()) == result_code::peer_rejected);
    input = frame;
    cr_assert(code_of(other.opened(input).status()) == result_code::peer_rejected);
}

// Guards against memory taken for a frame that is too long to be valid.
Test(peer_frame, rejects_a_length_above_the_limit) {
    frame_seal in(secret, "nonces");
    std::string input("\x00\x10\x00\x01", 4);
    cr_assert(code_of(in.opened(input).status()) == result_code::peer_rejected);
}

// Guards against fields that a message loses on the wire.
Test(peer_codec, keeps_a_heartbeat_and_an_update) {
    const auto first = decoded(encoded(sender, heartbeat()));
    cr_assert(first.ok() && first->sender == sender);
    const auto& beat = std::get<peer_heartbeat>(first->message);
    cr_assert(beat.version == 4100 && beat.confirmation_age == milliseconds(900));
    cr_assert(beat.unrecorded == heartbeat().unrecorded);
    const configuration_update update{1, 2, 3, {{"config/a", "x", 3}, {"config/b", {}, 3}}};
    const auto second = decoded(encoded(sender, update));
    cr_assert(second.ok());
    const auto& rows = std::get<configuration_update>(second->message).rows;
    cr_assert(rows.size() == 2 && rows[0].value == "x" && !rows[1].value);
}

// Guards against a crash or an accepted message when bytes are damaged on the way or invented.
Test(peer_frame, survives_random_truncated_and_flipped_frames) {
    std::mt19937 random(20261204);
    const std::string content = encoded(sender, heartbeat());
    for (int run = 0; run < 20000; ++run) {
        frame_seal out(secret, "nonces");
        frame_seal in(secret, "nonces");
        std::string input = out.sealed(content);
        std::string body = content;
        if (run % 3 == 0) {
            const std::size_t bit = random() % (input.size() * 8);
            input[bit / 8] = static_cast<char>(input[bit / 8] ^ (1U << (bit % 8)));
            body[(bit / 8) % body.size()] ^= static_cast<char>(1U << (bit % 8));
        } else if (run % 3 == 1) {
            input.resize(random() % input.size());
            body.resize(random() % body.size());
        } else {
            for (std::string* text : {&input, &body}) {
                text->resize(random() % 200);
                for (char& c : *text) {
                    c = static_cast<char>(random());
                }
            }
        }
        const auto opened = in.opened(input);
        cr_assert(!opened.ok() || !opened->has_value(), "a damaged frame was accepted");
        // Content that passed authentication may still be malformed; decoding must not crash.
        const auto message = decoded(body);
        cr_assert(message.ok() || code_of(message.status()) == result_code::malformed_body);
    }
}

// Guards against heartbeats that exceed the planned 17 KB a second of a node with 39 peers.
Test(peer_codec, keeps_the_heartbeat_cost_of_a_node_small) {
    frame_seal out(secret, "nonces");
    peer_heartbeat probe = heartbeat();
    probe.unrecorded.clear();
    peer_heartbeat answer = probe;
    answer.echo_us = probe.probe_us;
    // A node sends one probe and one answer a second to each peer.
    const std::size_t bytes =
        out.sealed(encoded(sender, probe)).size() + out.sealed(encoded(sender, answer)).size();
    cr_log_info("heartbeat bytes per second and peer: %zu", bytes);
    cr_assert(bytes * 39 <= 17000, "%zu bytes per second and peer", bytes);
}
