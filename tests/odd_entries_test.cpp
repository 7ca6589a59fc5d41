#include "test_support.h"

#include "citronford/result_code.h"
#include "io/http_client.h"
#include "io/workflow_codec.h"
#include "platform/backend_replies.h"
#include "platform/job_body.h"
#include "platform/platform_rows.h"
#include "platform/vm_list_reader.h"
#include "platform/wire_values.h"

#include <random>

using namespace citronford;

// Entries and messages of other writers that are valid JSON with odd values, or no JSON at all.
// Each must be rejected with a reason. None may end the process, whose successor would read the
// same entry again.

namespace {

const std::string good_registration =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Labels":["a","r1-3"],)"
    R"("Capacity":{"Cpu":4000,"MemMb":5,"Gpu":1},"born":8,"RemainingMs":900})";

/// `text` with the first `from` replaced by `to`.
std::string with(std::string text, std::string_view from, std::string_view to) {
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

const std::string good_page =
    R"({"Machines":[{"Machine":"m1","Pool":"p","State":"up","Zone":"z","Labels":["k2","r1-3"],)"
    R"("Capacity":{"Cpu":4000,"MemMb":5,"Gpu":1},"Id":"i-1"},{"Machine":"m2","State":"upkeep",)"
    R"("Capacity":null,"Id":null}],"NextToken":"t2"})";

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

bool accepts(const std::string& value, const std::string& key = "servers//i-1") {
    return platform_rows().decode_registration({key, value, 1}).ok();
}

http_result answer(int status, std::string body) {
    http_reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

/// Replaces, inserts or removes a few characters.
std::string mutate(std::string text, std::mt19937& random) {
    constexpr std::string_view tokens = "{}[]\",:0123456789.eE+-truefalsn\\u\x80";
    for (std::size_t left = 1 + random() % 6; left > 0; --left) {
        const std::size_t at = random() % (text.size() + 1);
        switch (random() % 3) {
        case 0:
            text.insert(at, 1, tokens[random() % tokens.size()]);
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        default:
            text.insert(at, text.substr(random() % (text.size() + 1), random() % 32));
        }
    }
    return text;
}

} // namespace

// Guards against an owner that ends, or plans with an absurd capacity, because of one registration.
Test(odd_entries, registrations_with_odd_values_name_no_server) {
    cr_assert(accepts(good_registration));
    const std::string long_text(1000000, 'x');
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("10.0.0.1:80")", R"("10.0.0.1:0")"},
        {R"("10.0.0.1:80")", R"("10.0.0.1:-1")"},
        {R"("10.0.0.1:80")", R"("10.0.0.1:65536")"},
        {R"("10.0.0.1:80")", R"("10.0.0.1:1e300")"},
        {R"("10.0.0.1:80")", R"("10.0.0.1:80x")"},
        {R"("10.0.0.1:80")", R"("10.0.0.1:")"},
        {R"("10.0.0.1:80")", R"("10.0.0.999:80")"},
        {R"("10.0.0.1:80")", R"("server.example:80")"},
        {R"("10.0.0.1:80")", R"(":80")"},
        {R"("10.0.0.1:80")", "80"},
        {R"("Cpu":4000)", R"("Cpu":1e300)"},
        {R"("Cpu":4000)", R"("Cpu":9223372036854775807)"},
        {R"("Cpu":4000)", R"("Cpu":18446744073709551616)"},
        {R"("Cpu":4000)", R"("Cpu":-1)"},
        {R"("Cpu":4000)", R"("Cpu":1e999)"},
        {R"("born":8)", R"("born":1e300)"},
        {R"("RemainingMs":900)", R"("RemainingMs":9223372036854775807)"},
        {R"({"Cpu":4000,"MemMb":5,"Gpu":1})", nested(10000)},
        {R"(["a","r1-3"])", nested(10000)},
        {R"(["a","r1-3"])", "[1]"},
        {R"("s")", "\"\xff\""},
        {R"("s")", "\"" + long_text + "\""},
        {R"("s")", R"("")"},
    };
    for (const auto& [from, to] : changes) {
        cr_assert(!accepts(with(good_registration, from, to)), "accepted: %s",
                  to.substr(0, 80).c_str());
    }
    cr_assert(!accepts(nested(1000000)));
    cr_assert(!accepts(std::string(1000000, '[')));
    cr_assert(!accepts(R"({"a":)" + nested(100000) + "}"));
}

// Guards against tasks on their last attempt that wait for ever after a takeover, for an entry that
// lacks what every server reports (review/8).
Test(odd_entries, entries_without_capacity_or_labels_name_no_server) {
    cr_assert(accepts(good_registration));
    cr_assert(!accepts(with(good_registration, R"("Labels":["a","r1-3"],)", "")));
    cr_assert(
        !accepts(with(good_registration, R"("Capacity":{"Cpu":4000,"MemMb":5,"Gpu":1},)", "")));
    cr_assert(!accepts(with(good_registration, R"({"Cpu":4000,"MemMb":5,"Gpu":1})", "null")));
    cr_assert(!accepts(with(good_registration, R"({"Cpu":4000,"MemMb":5,"Gpu":1})", "7")));
}

// Guards against an id that adds headers to each call of the server.
Test(odd_entries, ids_with_control_characters_name_no_server) {
    cr_assert(!accepts(good_registration, "servers//i\r\nFencingToken: 9"));
    cr_assert(!accepts(good_registration, "servers//"));
}

// Guards against an owner that is ended by an odd answer of a server.
Test(odd_entries, commands_with_odd_answers_are_in_doubt) {
    for (const char* body : {"", "7", "[]", R"({"ClockMs":"x"})", R"({"ClockMs":null})",
                             R"({"ClockMs":[1]})", R"({"ClockMs":1e300})"}) {
        const command_result result = wire::backend_reply_reader().read_command(answer(200, body));
        cr_assert(std::holds_alternative<command_in_doubt>(result), "%s", body);
    }
    const command_result good =
        wire::backend_reply_reader().read_command(answer(200, R"({"ClockMs":7})"));
    cr_assert(std::get<command_accepted>(good).clock == 7);
    for (const char* body : {"", "7", R"({"Reason":7})", R"({"Reason":null})"}) {
        const command_result refused = wire::backend_reply_reader().read_command(answer(409, body));
        cr_assert(std::get<command_refused>(refused).reason == command_refusal::malformed);
    }
}

// Guards against an owner that is ended, or that stops taking in the ends of a server.
Test(odd_entries, polls_with_odd_answers_are_in_doubt) {
    const std::string good =
        R"({"ClockMs":7,"born":8,"Running":[["5c0e7a21d94b36f8.0.1.9",1,"",41,0.5]],)"
        R"("Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const poll_result read = wire::backend_reply_reader().read_poll(answer(200, good));
    const auto& reply = std::get<poll_reply>(read);
    cr_assert(reply.running.size() == 1 && reply.completions.size() == 1);
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("ClockMs":7)", R"("ClockMs":1e300)"},
        {R"("born":8)", R"("born":"x")"},
        {R"([58,)", R"([-1,)"},
        {R"([58,)", R"([1e300,)"},
        {R"([58,)", R"(["58",)"},
        {R"(9",1,"")", R"(9",4294967296,"")"},
        {R"("Running":[)", R"("Running":)" + nested(10000) + R"(,"x":[)"},
        {R"("Ended":[)", R"("Ended":7,"x":[)"},
    };
    for (const auto& [from, to] : changes) {
        const poll_result result =
            wire::backend_reply_reader().read_poll(answer(200, with(good, from, to)));
        cr_assert(std::holds_alternative<command_in_doubt>(result), "accepted: %s",
                  to.substr(0, 80).c_str());
    }
}

// Guards against a submission that the owner, and each of its successors, cannot hold in memory.
Test(odd_entries, submissions_beyond_the_limits_are_refused) {
    const std::string good = R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"EstimateMs":900}]})";
    cr_assert(wire::parse_workflow(good).ok());
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("Count":4)", R"("Count":-1)"},
        {R"("Count":4)", R"("Count":4000000000)"},
        {R"("Count":4)", R"("Count":1e300)"},
        {R"("Count":4)", R"("Count":100000)"},
        {R"("Cpu":500)", R"("Cpu":-500)"},
        {R"("Cpu":500)", R"("Cpu":1e300)"},
        {R"("Cpu":500)", R"("Cpu":9223372036854775807)"},
        {R"("EstimateMs":900)", R"("EstimateMs":-1)"},
        {R"("EstimateMs":900)", R"("After":[-1])"},
        {R"("Spec":"x")", R"("Spec":"x","Times":4000000000,"IntervalMs":1)"},
        {R"("Spec":"x")", R"("Spec":"x","Times":2,"IntervalMs":-1)"},
        {R"("Spec":"x")", R"("Spec":"x","Times":5000,"IntervalMs":1e13)"},
        {R"("Spec":"x","Steps":[{"Count":4,)",
         R"("Times":2147483648,"Steps":[{"Count":4294967295},{"Count":4294967295},{"Count":2,)"},
        {R"("Spec":"x")", R"("Spec":")" + std::string(100000, 'x') + "\""},
        {R"("Spec":"x")", R"("Spec":)" + nested(10000)},
    };
    for (const auto& [from, to] : changes) {
        cr_assert(!wire::parse_workflow(with(good, from, to)).ok(), "accepted: %s",
                  to.substr(0, 80).c_str());
    }
    // An estimate is only a guess, so an absurd one does not make the workflow invalid.
    const auto long_estimate =
        wire::parse_workflow(with(good, R"("EstimateMs":900)", R"("EstimateMs":1e15)"));
    cr_assert(long_estimate.ok() && long_estimate->steps[0].estimate <= std::chrono::hours(24));
}

// Guards against a deadline whose conversion to microseconds overflows and lies in the past.
Test(odd_entries, deadlines_of_any_text_are_bounded) {
    const std::pair<std::string_view, std::int64_t> deadlines[] = {
        {"250", 250},
        {"", 3000},
        {"x", 3000},
        {"-5", 3000},
        {"0", 3000},
        {"9223372036854775807", 3600000},
        {"99999999999999999999999", 3600000},
        {"-99999999999999999999999", 3000}};
    for (const auto& [text, expected_ms] : deadlines) {
        cr_assert(wire::parse_deadline(text) == milliseconds(expected_ms), "%s", text.data());
    }
}

// Guards against a name in a row that ends the process that writes it.
Test(odd_entries, rows_with_odd_names_are_written) {
    owner_row row;
    row.node = node_id("entry-\xff");
    row.incarnation = "7f";
    const auto read = decode_owner(encode_owner(row));
    cr_assert(read.ok() && read->incarnation == "7f");
    cr_assert(decode_waiting_counts(encode_waiting_counts({{queue_id("q-\xff"), 3}})).ok());
}

// Guards against a list that loses a VM, its capacity or its following pages.
Test(odd_entries, pages_of_the_vm_list_are_read_whole) {
    wire::vm_list_reader reader;
    const auto page = reader.read_page(good_page);
    cr_assert(page.ok() && page->vms.size() == 2 && page->next_token == "t2");
    const fleet_vm expected{vm_id("m1"),  pool_id("p"), fleet_vm::condition::up,
                            zone_id("z"), {4000, 5, 1}, backend_id("i-1")};
    cr_assert(page->vms[0] == expected);
    cr_assert(page->vms[1].state == fleet_vm::condition::in_maintenance);
    cr_assert(page->vms[1].capacity == resources() && page->vms[1].backend.empty());
    const auto last = reader.read_page(R"({"Machines":[]})");
    cr_assert(last.ok() && last->vms.empty() && last->next_token.empty());
}

// Guards against an owner that takes VMs for gone, or ends, because of one odd entry of the list.
Test(odd_entries, pages_with_an_odd_vm_are_rejected_whole) {
    wire::vm_list_reader reader;
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("Cpu":4000)", R"("Cpu":1e300)"},
        {R"("Cpu":4000)", R"("Cpu":18446744073709551616)"},
        {R"("Cpu":4000)", R"("Cpu":-1)"},
        {R"("Cpu":4000)", R"("Cpu":null)"},
        {R"({"Cpu":4000,"MemMb":5,"Gpu":1})", nested(500)},
        {R"({"Cpu":4000,"MemMb":5,"Gpu":1})", nested(10000)},
        {R"("Machine":"m2")", R"("Machine":7)"},
        {R"("Machine":"m2",)", ""},
        {R"("Machines")", R"("Machine")"},
        {R"("t2"})", R"("t2")"},
    };
    for (const auto& [from, to] : changes) {
        const auto page = reader.read_page(with(good_page, from, to));
        cr_assert(code_of(page.status()) == result_code::table_unavailable, "accepted: %s",
                  to.substr(0, 80).c_str());
    }
    for (const std::string& body : {std::string(), std::string("[]"), std::string("\xff")}) {
        cr_assert(!reader.read_page(body).ok());
    }
    cr_assert(reader.read_page(good_page).ok(), "an odd page must not spoil the next one");
}

// Guards against rows of operators that end every node.
Test(odd_entries, orders_with_odd_values_are_rejected) {
    const platform_rows rows;
    const std::string wave = R"({"Wave":4,"Machines":["m1"],"DurationS":2.5,"Cap":3})";
    cr_assert(rows.decode_order({"op//wave/4", wave, 1}).ok());
    const std::pair<std::string_view, std::string> changes[] = {
        {R"("Wave":4)", R"("Wave":1e300)"},
        {R"("Wave":4)", R"("Wave":-1)"},
        {R"("DurationS":2.5)", R"("DurationS":1e300)"},
        {R"("DurationS":2.5)", R"("DurationS":-1)"},
        {R"("Cap":3)", R"("Cap":-1)"},
        {R"(["m1"])", nested(10000)},
    };
    for (const auto& [from, to] : changes) {
        cr_assert(!rows.decode_order({"op//wave/4", with(wave, from, to), 1}).ok(), "accepted: %s",
                  to.substr(0, 80).c_str());
    }
    for (const std::string& value : {nested(100000), std::string("\xff"), std::string("7")}) {
        cr_assert(!rows.decode_order({"op//config", value, 1}).ok());
    }
}

// Guards against values that no one thought of. The seed is fixed, so that a failure repeats.
Test(odd_entries, random_changes_end_no_decoder) {
    constexpr std::uint32_t seed = 20261205;
    constexpr int runs = 20000;
    std::mt19937 random(seed);
    const platform_rows rows;
    const std::string config =
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","SloMs":600,"Priority":1,)"
        R"("Service":"s","Attempts":3,"Stretch":1.6}],"Services":[{"Name":"s"}],)"
        R"("Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":77,"Cap":{"Cpu":5}}]})";
    const std::string submission =
        R"({"Spec":"x","Steps":[{"Count":4,"Cpu":5,"EstimateMs":9},{"Count":1,"After":[0]}]})";
    const std::string poll = R"({"ClockMs":7,"Running":[["5c0e7a21d94b36f8.0.1.9",1,"",41]],)"
                             R"("Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    wire::vm_list_reader vm_list;
    int accepted = 0;
    for (int run = 0; run < runs; ++run) {
        accepted += accepts(mutate(good_registration, random)) ? 1 : 0;
        accepted += rows.decode_order({"op//config", mutate(config, random), 1}).ok() ? 1 : 0;
        accepted += wire::parse_workflow(mutate(submission, random)).ok() ? 1 : 0;
        wire::backend_reply_reader().read_poll(answer(200, mutate(poll, random)));
        wire::backend_reply_reader().read_command(answer(200, mutate(R"({"ClockMs":7})", random)));
        accepted += vm_list.read_page(mutate(good_page, random)).ok() ? 1 : 0;
    }
    cr_assert(accepted > 0 && accepted < 4 * runs, "%d accepted", accepted);
}
