#include "io/burn_page.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace citronford {
namespace {

using nlohmann::json;

std::string_view name_of(alert_urgency urgency) {
    return urgency == alert_urgency::page ? "page" : "ticket";
}

std::string window_name(duration window) {
    const std::int64_t minutes = window / std::chrono::minutes(1);
    return minutes % 60 == 0 ? std::to_string(minutes / 60) + "h" : std::to_string(minutes) + "m";
}

std::string escaped(std::string_view text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

/// A horizontal bar of `value` on a scale that ends at `most`, with a mark at `threshold`.
std::string bar(double value, double threshold, double most) {
    constexpr double width = 300;
    const double shown = std::clamp(value / most, 0.0, 1.0) * width;
    const double mark = std::clamp(threshold / most, 0.0, 1.0) * width;
    return fmt::format(
        "<svg width=\"300\" height=\"14\" role=\"img\" aria-label=\"{:.3g} of {:.3g}\">"
        "<rect width=\"300\" height=\"14\" fill=\"#eee\"/>"
        "<rect width=\"{:.1f}\" height=\"14\" fill=\"{}\"/>"
        "<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"0\" y2=\"14\" stroke=\"#000\"/></svg>",
        value, threshold, shown, value >= threshold ? "#c0392b" : "#2e7d32", mark, mark);
}

/// The lowest burn rate at which a rule with this long or short window raises an alert.
double threshold_of(duration window) {
    double lowest = 0;
    for (const alert_rule& rule : alert_rules()) {
        if ((rule.long_window == window || rule.short_window == window) &&
            (lowest == 0 || rule.burn_rate < lowest)) {
            lowest = rule.burn_rate;
        }
    }
    return lowest;
}

std::string section_of(const burn_report& report) {
    // A burn rate of 20 spends the budget of a month in a day and a half; bars end there.
    constexpr double longest_bar = 20;
    const bool of_jobs = report.service.empty();
    std::string html = fmt::format(
        "<h2>{}{}{}</h2><p>objective {:.4g}% within {} ms; {} {}, {} bad; budget {:.2f}, "
        "spent {:.1f}%</p>",
        of_jobs ? "jobs" : escaped(report.service.view()), report.team.empty() ? "" : " / ",
        escaped(report.team.view()), report.objective * 100, report.latency.count(),
        report.answers.total, of_jobs ? "jobs" : "answers", report.answers.bad, report.budget,
        report.spent_share * 100);
    html += "<table><tr><th>window</th><th>burn rate</th><th></th><th>count</th></tr>";
    for (const window_burn& window : report.windows) {
        html += fmt::format("<tr><td>{}</td><td>{:.2f}</td><td>{}</td><td>{}</td></tr>",
                            window_name(window.window), window.burn_rate,
                            bar(window.burn_rate, threshold_of(window.window), longest_bar),
                            window.answers.total);
    }
    html += fmt::format("<tr><td>budget</td><td>{:.1f}%</td><td>{}</td><td></td></tr></table>",
                        report.spent_share * 100, bar(report.spent_share, 1, 1.25));
    for (const alert_raised& alert : report.alerts) {
        html += fmt::format("<p class=\"alert\">{}: burn rate {:.2f} over {}</p>",
                            name_of(alert.urgency), alert.burn_rate, window_name(alert.window));
    }
    return html;
}

json json_of(const burn_report& report) {
    json document = {{"kind", report.service.empty() ? "jobs" : "requests"},
                     {"service", report.service.str()},
                     {"team", report.team.str()},
                     {"objective", report.objective},
                     {"latency_ms", report.latency.count()},
                     {"answers", report.answers.total},
                     {"bad", report.answers.bad},
                     {"budget", report.budget},
                     {"spent_share", report.spent_share},
                     {"alerts", json::array()}};
    for (const window_burn& window : report.windows) {
        document["burn_" + window_name(window.window)] = window.burn_rate;
    }
    for (const alert_raised& alert : report.alerts) {
        document["alerts"].push_back(std::string(name_of(alert.urgency)) + ":" +
                                     window_name(alert.window));
    }
    return document;
}

} // namespace

std::string burn_json(std::string_view node, std::span<const burn_report> reports,
                      duration covered) {
    json list = json::array();
    for (const burn_report& report : reports) {
        list.push_back(json_of(report));
    }
    return json{{"node", node}, {"covered_ms", to_ms(covered)}, {"burn", list}}.dump();
}

std::string burn_html(std::string_view node, std::span<const burn_report> reports,
                      duration covered) {
    std::string html = fmt::format(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Error budgets of "
        "{0}</title><style>body{{font-family:sans-serif}}td,th{{padding:2px 8px;text-align:left}}"
        ".alert{{color:#c0392b;font-weight:bold}}</style></head><body><h1>Error budgets of "
        "{0}</h1><p>Counts of this entry VM since {1} s; a line marks the burn rate that raises an "
        "alert.</p>",
        escaped(node), to_ms(covered) / 1000);
    for (const burn_report& report : reports) {
        html += section_of(report);
    }
    return html + "</body></html>\n";
}

} // namespace citronford
