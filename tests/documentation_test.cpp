#include "test_support.h"

#include "citronford/fleet_settings.h"
#include "citronford/result_code.h"
#include "citronford/settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <span>
#include <sstream>

using namespace citronford;

namespace {

/// The rows of the table in a page, without its head.
std::vector<std::string> table_rows(const std::string& page) {
    std::ifstream file(std::string(CITRONFORD_CHARTS) + "/../docs/" + page);
    cr_assert(file.good(), "%s is missing", page.c_str());
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| ") && !line.starts_with("| ---")) {
            rows.push_back(line);
        }
    }
    cr_assert(!rows.empty(), "%s has no table", page.c_str());
    rows.erase(rows.begin());
    return rows;
}

void expect_rows(const std::string& page, const std::vector<std::string>& expected) {
    const std::vector<std::string> rows = table_rows(page);
    std::string differences;
    for (const std::string& row : expected) {
        differences += std::ranges::find(rows, row) == rows.end() ? "missing: " + row + "\n" : "";
    }
    for (const std::string& row : rows) {
        differences +=
            std::ranges::find(expected, row) == expected.end() ? "surplus: " + row + "\n" : "";
    }
    cr_assert(rows == expected, "%s: rows differ or are out of order\n%s", page.c_str(),
              differences.c_str());
}

std::vector<std::string> setting_rows(std::span<const setting_description> settings) {
    std::vector<std::string> rows;
    for (const setting_description& setting : settings) {
        std::ostringstream row;
        row << "| `" << setting.section << "` | `" << setting.key << "` | " << setting.type << " | "
            << (setting.required ? "required" : "`" + setting.default_value + "`")
            << (setting.replaces_invalid ? ", replaces invalid" : "") << " | " << setting.meaning
            << " |";
        rows.push_back(row.str());
    }
    return rows;
}

} // namespace

// Guards against a page of error codes that differs from the program.
Test(documentation, lists_every_result_code) {
    std::vector<std::string> expected;
    for (const result_code_entry& entry : result_code_table()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(entry.code) << " | `" << entry.name << "` | "
            << exit_code_of(entry.code) << " | " << entry.http_status << " | "
            << name_of(entry.state) << " | " << entry.meaning << " |";
        expected.push_back(row.str());
    }
    expect_rows("errors.md", expected);
}

// Guards against two codes with one exit code, and against those that shells use.
Test(documentation, exit_codes_are_distinct) {
    constexpr int first_of_shells = 126;
    std::set<int> seen = {2, 3};
    for (const result_code_entry& entry : result_code_table()) {
        const int code = exit_code_of(entry.code);
        cr_assert(code >= 0 && code < first_of_shells);
        cr_assert(seen.insert(code).second, "exit code %d is used twice", code);
    }
}

// Guards against a page of settings that differs from the program.
Test(documentation, lists_every_setting) {
    expect_rows("settings.md", setting_rows(setting_descriptions()));
    expect_rows("fleet_settings.md", setting_rows(fleet_setting_descriptions()));
}
