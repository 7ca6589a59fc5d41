#include "test_support.h"

#include "citronford/result_code.h"
#include "io/load_codec.h"

#include <limits>
#include <string>

using namespace citronford;

namespace {

load_report full_report() {
    load_report report;
    report.sequence = 12;
    report.pools = {{pool_id("a"),
                     1250.5,
                     1100.25,
                     300,
                     {{64, milliseconds(1000)}, {3200, milliseconds(2000)}},
                     {{0, 10, 0, 2.5}, {1, 2000, 100, 0}}},
                    {pool_id("b"), 0, 0, 0, {}, {}}};
    report.teams_beyond_share = {team_id("north")};
    return report;
}

/// A report with one pool whose members are replaced by `members`.
std::string report_with(const std::string& members) {
    return R"({"sequence":1,"beyond_share":[],"pools":[{"pool":"a","pace":1,"running":1,)" +
           members + "}]}";
}

} // namespace

// Guards against a report whose meaning changes on its way to the entry VMs.
Test(load_codec, keeps_a_report) {
    const auto decoded = decode_load_report(encode_load_report(full_report()));
    cr_assert(decoded.ok(), "%s", decoded.status().ToString().c_str());
    cr_assert(*decoded == full_report());
    cr_assert(*decode_load_report(encode_load_report({})) == load_report{});
}

// Guards against a process that ends because of a malformed row, and against figures that make a
// VM refuse work on a guess.
Test(load_codec, rejects_malformed_reports) {
    const std::string deep(40000, '[');
    const std::string valid_pool = R"("cores":1,"arriving":[],"waiting":[])";
    cr_assert(decode_load_report(report_with(valid_pool)).ok());
    std::string many_priorities = R"([0,1,1,1])";
    for (int count = 0; count < 40; ++count) {
        many_priorities += ",[0,1,1,1]";
    }
    const std::string texts[] = {
        "",
        "null",
        "7",
        "[]",
        "{}",
        deep,
        R"({"sequence":-1,"pools":[],"beyond_share":[]})",
        R"({"sequence":"1","pools":[],"beyond_share":[]})",
        R"({"sequence":1,"pools":{},"beyond_share":[]})",
        R"({"sequence":1,"pools":[7],"beyond_share":[]})",
        R"({"sequence":1,"pools":[],"beyond_share":[7]})",
        R"({"sequence":1,"pools":[]})",
        report_with(R"("cores":-1,"arriving":[],"waiting":[])"),
        report_with(R"("cores":null,"arriving":[],"waiting":[])"),
        report_with(R"("cores":"9","arriving":[],"waiting":[])"),
        report_with(R"("cores":1e300,"arriving":[],"waiting":[])"),
        report_with(R"("cores":1e999,"arriving":[],"waiting":[])"),
        report_with(R"("cores":1,"arriving":7,"waiting":[])"),
        report_with(R"("cores":1,"arriving":[[1]],"waiting":[])"),
        report_with(R"("cores":1,"arriving":[[1,-5]],"waiting":[])"),
        report_with(R"("cores":1,"arriving":[[1,1e30]],"waiting":[])"),
        report_with(R"("cores":1,"arriving":[],"waiting":[[0,1]])"),
        report_with(R"("cores":1,"arriving":[],"waiting":[[1e30,1,1,1]])"),
        report_with(R"("cores":1,"arriving":[],"waiting":[[0,1,1,-1]])"),
        report_with(R"("cores":1,"arriving":[],"waiting":[)" + many_priorities + "]"),
    };
    for (const std::string& text : texts) {
        const auto decoded = decode_load_report(text);
        cr_assert(!decoded.ok(), "accepted: %.80s", text.c_str());
        cr_assert(code_of(decoded.status()) == result_code::malformed_body);
    }
}

// Guards against an exception or an unreadable row for figures that are no numbers.
Test(load_codec, writes_odd_figures_as_zero) {
    load_report report = full_report();
    report.pools[0].cores = std::numeric_limits<double>::quiet_NaN();
    report.pools[0].running_core_s = std::numeric_limits<double>::infinity();
    report.pools[0].pace_cores = -3;
    report.pools[0].pool = pool_id("\xff");
    const auto decoded = decode_load_report(encode_load_report(report));
    cr_assert(decoded.ok(), "%s", decoded.status().ToString().c_str());
    cr_assert(decoded->pools[0].cores == 0 && decoded->pools[0].running_core_s == 0);
    cr_assert(decoded->pools[0].pace_cores == 0);
}

// Guards against a row that the table rejects: the largest report must stay far below 64 KB.
Test(load_codec, bounds_the_row) {
    const std::string name(64, 'n');
    load_report report;
    for (std::size_t count = 0; count < max_reported_pools; ++count) {
        reported_pool load{pool_id(name), 12345.67, 12345.67, 12345.67, {}, {}};
        load.arriving.assign(3, {12345.67, milliseconds(2000)});
        load.waiting.assign(max_reported_priorities, {100000, 12345.67, 12345.67, 12345.67});
        report.pools.push_back(load);
    }
    report.teams_beyond_share.assign(max_reported_teams, team_id(name));
    constexpr std::size_t bound = 32768;
    cr_assert(encode_load_report(report).size() < bound, "%zu bytes",
              encode_load_report(report).size());
}
