#include "test_support.h"

#include "io/http_reply_reader.h"

#include <vector>

using namespace citronford;

namespace {

using state = http_reply_reader::state;

constexpr std::size_t body_limit = 20;

struct outcome {
    state reached = state::incomplete;
    http_reply reply;
    bool reusable = false;
};

/// Reads `text` in pieces of `size` bytes.
outcome read_in_pieces(std::string_view text, std::size_t size, bool closes = false) {
    http_reply_reader reader(body_limit);
    outcome result;
    while (!text.empty() && result.reached == state::incomplete) {
        result.reached = reader.read(text.substr(0, size));
        text.remove_prefix(std::min(size, text.size()));
    }
    if (closes && result.reached == state::incomplete) {
        result.reached = reader.end();
    }
    result.reusable = reader.is_reusable();
    result.reply = reader.take_reply();
    return result;
}

constexpr std::string_view sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A:  b \r\n\r\nhello";
constexpr std::string_view chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
                                     "2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nt: u\r\n\r\n";

} // namespace

// Guards against a reply that is misread when it arrives in pieces.
Test(http_reply_reader, reads_replies_that_arrive_in_pieces_of_any_size) {
    for (std::size_t size = 1; size <= chunked.size(); ++size) {
        for (const std::string_view text : {sized, chunked}) {
            const outcome read = read_in_pieces(text, size);
            cr_assert(read.reached == state::complete && read.reusable, "pieces of %zu", size);
            cr_assert(read.reply.status == 200);
            expect_equal(read.reply.body, "hello");
        }
        expect_equal(std::string(read_in_pieces(sized, size).reply.header("x-a")), "b");
    }
}

// Guards against a reply that is taken for whole although its end is missing.
Test(http_reply_reader, every_shorter_text_is_incomplete_and_malformed_at_its_end) {
    for (const std::string_view text : {sized, chunked}) {
        for (std::size_t size = 0; size < text.size(); ++size) {
            cr_assert(read_in_pieces(text.substr(0, size), 7).reached == state::incomplete);
            cr_assert(read_in_pieces(text.substr(0, size), 7, true).reached == state::malformed);
        }
    }
}

Test(http_reply_reader, reads_a_body_up_to_the_close) {
    const outcome read = read_in_pieces("HTTP/1.1 200 OK\r\n\r\nhello", 3, true);
    cr_assert(read.reached == state::complete && !read.reusable);
    expect_equal(read.reply.body, "hello");
}

Test(http_reply_reader, skips_informational_replies) {
    const outcome read = read_in_pieces(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", 9);
    cr_assert(read.reached == state::complete && read.reply.status == 404 && read.reusable);
}

// Guards against a connection on which the next call would get a part of this reply.
Test(http_reply_reader, connections_of_doubtful_replies_are_not_used_again) {
    for (const std::string_view text : {
             "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP",
             "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x, Close\r\n\r\nok",
             "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
             "HTTP/1.1 204 No Content\r\n\r\nok",
             "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
         }) {
        const outcome read = read_in_pieces(text, 1000);
        cr_assert(read.reached == state::complete && !read.reusable, "%s", text.data());
    }
    const outcome kept = read_in_pieces(
        "HTTP/1.0 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok", 1000);
    cr_assert(kept.reached == state::complete && kept.reusable);
}

// Guards against a reply whose end depends on how it is read.
Test(http_reply_reader, replies_that_break_the_protocol_are_malformed) {
    for (const std::string_view head : {
             "HTTP/1.1 200 OK\r\ncontent-length: -1",
             "HTTP/1.1 200 OK\r\ncontent-length: +1",
             "HTTP/1.1 200 OK\r\ncontent-length: 0x1",
             "HTTP/1.1 200 OK\r\ncontent-length:",
             "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551616",
             "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2",
             "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip",
             "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked",
             "HTTP/1.1 200 OK\r\ncontent-length : 1",
             "HTTP/1.1 200 OK\r\n folded: 1",
             "HTTP/1.1 200 OK\r\nno colon",
             "HTTP/1.1 2000 OK",
             "HTTP/1.1 20 OK",
             "HTTP/1.1 099 OK",
             "HTTP/1.1  200 OK",
             "HTTP/2.0 200 OK",
             "HTTP/1.2 200 OK",
             "http/1.1 200 OK",
             "",
         }) {
        cr_assert(read_in_pieces(std::string(head) + "\r\n\r\n", 1000).reached == state::malformed,
                  "%s", head.data());
    }
    for (const std::string_view body :
         {"-1\r\n", "\r\n", "2\nok", "2\r\nokay\r\n", "fffffffffffffffff\r\n", "2 2\r\n"}) {
        const std::string text =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + std::string(body);
        cr_assert(read_in_pieces(text, 1000).reached == state::malformed, "%s", body.data());
    }
}

// Guards against a reply that fills the memory of the process.
Test(http_reply_reader, replies_beyond_a_limit_are_too_large) {
    const std::string chunk_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const std::string texts[] = {
        "HTTP/1.1 200 OK\r\ncontent-length: 21\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(21, 'x'),
        chunk_head + "15\r\n" + std::string(21, 'x') + "\r\n",
        chunk_head + "b\r\n" + std::string(11, 'x') + "\r\nb\r\n" + std::string(11, 'x') + "\r\n",
        chunk_head + "1;" + std::string(2000, 'x') + "\r\n",
        "HTTP/1.1 200 OK\r\nx: " + std::string(70000, 'x'),
    };
    for (const std::string& text : texts) {
        for (const std::size_t size : {std::size_t{5}, text.size()}) {
            cr_assert(read_in_pieces(text, size).reached == state::too_large, "%.60s",
                      text.c_str());
        }
    }
    const outcome whole = read_in_pieces(
        "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n" + std::string(20, 'x'), 1000);
    cr_assert(whole.reached == state::complete);
}
