#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace citronford {
namespace {

using nlohmann::json;
using row = std::vector<std::string>;

std::string cell_of(const json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_null()) {
        return "-";
    }
    if (value.is_array() && std::ranges::none_of(value, &json::is_structured)) {
        std::string text;
        for (const json& item : value) {
            text += (text.empty() ? "" : ",") + cell_of(item);
        }
        return text.empty() ? "-" : text;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Pads every column to its widest cell.
std::string aligned(const std::vector<row>& rows) {
    std::vector<std::size_t> widths;
    for (const row& cells : rows) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    std::string text;
    for (const row& cells : rows) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            text += cells[column];
            if (column + 1 < cells.size()) {
                text.append(widths[column] - cells[column].size() + 2, ' ');
            }
        }
        text += '\n';
    }
    return text;
}

bool is_table(const json& value) {
    return value.is_array() && !value.empty() && std::ranges::all_of(value, &json::is_object);
}

/// Names of the columns: the identifying ones first, the rest in order of the alphabet.
std::vector<std::string> columns_of(const json& list) {
    std::vector<std::string> columns;
    for (const json& item : list) {
        for (const auto& [name, value] : item.items()) {
            if (std::ranges::find(columns, name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    const auto rank = [](const std::string& name) {
        constexpr std::string_view leading[] = {"id", "name", "service", "team"};
        return std::ranges::find(leading, name) - std::begin(leading);
    };
    std::ranges::stable_sort(columns, {}, rank);
    return columns;
}

std::string table_of(const json& list) {
    const std::vector<std::string> columns = columns_of(list);
    std::vector<row> rows = {columns};
    for (const json& item : list) {
        row cells;
        for (const std::string& column : columns) {
            cells.push_back(item.contains(column) ? cell_of(item[column]) : "-");
        }
        rows.push_back(std::move(cells));
    }
    return aligned(rows);
}

std::string object_text(const json& object) {
    std::vector<row> rows;
    std::string tables;
    for (const auto& [name, value] : object.items()) {
        if (is_table(value)) {
            tables += "\n" + name + "\n" + table_of(value);
        } else {
            rows.push_back({name, cell_of(value)});
        }
    }
    return aligned(rows) + tables;
}

} // namespace

std::string readable(std::string_view document) {
    const json parsed = json::parse(document, nullptr, false);
    if (is_table(parsed)) {
        return table_of(parsed);
    }
    if (parsed.is_array() && parsed.empty()) {
        return "none\n";
    }
    if (parsed.is_object()) {
        return object_text(parsed);
    }
    return std::string(document);
}

} // namespace citronford
