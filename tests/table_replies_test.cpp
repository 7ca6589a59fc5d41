#include "test_support.h"

#include "citronford/result_code.h"
#include "platform/table_replies.h"

using namespace citronford;

namespace {

// "dg==" is the text "v" in base64.
const std::string good_page =
    R"({"rows":[{"Table":"t","part":"p","Key":"a/b","Ver":7,"Value":"dg=="},)"
    R"({"Table":"t","Key":"c","Ver":8,"Tombstone":true,"Value":"dg=="}],)"
    R"("Ver":18446744073709551615,"HasMore":true})";

http_result answer(int status, std::string body) {
    http_reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

/// `good_page` with the first `from` replaced by `to`.
std::string with(std::string_view from, const std::string& to) {
    std::string text = good_page;
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against rows that lose their key or version, and against a deleted row with a value.
Test(table_replies, pages_are_read_whole) {
    wire::table_reply_reader reader;
    const auto page = reader.read_page(answer(200, good_page));
    cr_assert(page.ok() && page->has_more);
    cr_assert(page->scan.version == 18446744073709551615U && page->scan.rows.size() == 2);
    const table_row& present = page->scan.rows[0];
    cr_assert(present.key == "t/p/a/b" && present.version == 7 && present.value == "v");
    const table_row& deleted = page->scan.rows[1];
    cr_assert(deleted.key == "t//c" && deleted.version == 8 && !deleted.value);
    const auto last = reader.read_page(answer(200, "{}"));
    cr_assert(last.ok() && !last->has_more && last->scan.rows.empty());
}

// Guards against a reader that goes on without a row that it could not read, or ends.
Test(table_replies, pages_with_an_odd_row_are_rejected_whole) {
    wire::table_reply_reader reader;
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("Ver":7)", R"("Ver":-1)"},
        {R"("Ver":7)", R"("Ver":18446744073709551616)"},
        {R"("Ver":7)", R"("Ver":"7")"},
        {R"("Key":"c",)", ""},
        {R"("Key":"c")", R"("Key":7)"},
        {R"("dg==")", "7"},
        {R"("dg==")", std::string(10000, '[') + std::string(10000, ']')},
        {R"(true})", "true"},
    };
    for (const auto& [from, to] : changes) {
        const auto page = reader.read_page(answer(200, with(from, to)));
        cr_assert(code_of(page.status()) == result_code::table_unavailable, "accepted: %s",
                  to.substr(0, 80).c_str());
    }
    cr_assert(code_of(reader.read_page(answer(410, "")).status()) == result_code::history_lost);
    cr_assert(code_of(reader.read_page(answer(503, good_page)).status()) ==
              result_code::table_unavailable);
    cr_assert(!reader.read_page(http_lost{}).ok());
    cr_assert(reader.read_page(answer(200, good_page)).ok());
}

// Guards against a writer that is told that nothing was written when something may have been.
Test(table_replies, unreadable_replies_to_a_transaction_are_in_doubt) {
    wire::table_reply_reader reader;
    const auto written = reader.read_commit(answer(200, R"({"Ver":9})"));
    cr_assert(written.ok() && written->committed && written->version == 9);
    const auto rejected = reader.read_commit(
        answer(412, R"({"Ver":9,"rows":[{"Table":"t","part":"p","Key":"k","Ver":4}]})"));
    cr_assert(rejected.ok() && !rejected->committed && rejected->conflicts.size() == 1);
    cr_assert(rejected->conflicts[0].key == "t/p/k" && rejected->conflicts[0].version == 4);
    for (const http_result& unclear : {http_result(http_lost{}), answer(200, ""), answer(200, "[]"),
                                       answer(200, R"({"Ver":"9"})")}) {
        cr_assert(code_of(reader.read_commit(unclear).status()) == result_code::commit_in_doubt);
    }
    for (const http_result& refused : {http_result(http_unreachable{}), answer(503, "")}) {
        cr_assert(code_of(reader.read_commit(refused).status()) == result_code::table_unavailable);
    }
}

// Guards against a transaction that is repeated without end although the table will never accept
// it, and against one that is given up although only the rate limit was reached.
Test(table_replies, tells_rejected_transactions_from_an_unavailable_table) {
    wire::table_reply_reader reader;
    for (const int status : {400, 403, 404, 413, 422}) {
        cr_assert(code_of(reader.read_commit(answer(status, "{}")).status()) ==
                      result_code::write_rejected,
                  "%d", status);
    }
    for (const int status : {408, 429, 500, 503, 507}) {
        cr_assert(code_of(reader.read_commit(answer(status, "{}")).status()) ==
                      result_code::table_unavailable,
                  "%d", status);
    }
}
