#include "io/load_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

/// More core-seconds, or cores, than any fleet has.
constexpr double max_figure = 1e9;

constexpr double max_priority = 1e6;

/// Sources of arriving cores in one report of an owner, with some reserve.
constexpr std::size_t max_arrivals = 8;

/// A value that is no finite number becomes zero: it must not make the report unreadable.
double rounded(double value) {
    constexpr double steps = 100;
    return std::isfinite(value) ? std::round(std::clamp(value, 0.0, max_figure) * steps) / steps
                                : 0;
}

json encode_pool(const reported_pool& load) {
    json document = {{"pool", load.pool.view()},         {"cores", rounded(load.cores)},
                     {"pace", rounded(load.pace_cores)}, {"running", rounded(load.running_core_s)},
                     {"arriving", json::array()},        {"waiting", json::array()}};
    for (const arriving_cores& more : load.arriving) {
        document["arriving"].push_back({rounded(more.cores), more.in.count()});
    }
    for (const priority_backlog& work : load.waiting) {
        document["waiting"].push_back({work.priority, rounded(work.on_time_core_s),
                                       rounded(work.beyond_share_core_s),
                                       rounded(work.late_core_s)});
    }
    return document;
}

/// The number at `document`, if it is between `lowest` and `highest`.
std::optional<double> number_within(const json& document, double lowest, double highest) {
    if (!document.is_number()) {
        return std::nullopt;
    }
    const auto value = document.get<double>();
    return value >= lowest && value <= highest ? std::optional(value) : std::nullopt;
}

/// Collects the figures of a report and whether one of them was out of range.
class figure_reader {
  public:
    double figure(const json& document) { return read(document, 0, max_figure); }
    int priority(const json& document) {
        return static_cast<int>(read(document, -max_priority, max_priority));
    }
    milliseconds delay(const json& document) {
        const auto longest = static_cast<double>(to_ms(longest_wait));
        return milliseconds(static_cast<std::int64_t>(read(document, 0, longest)));
    }
    const json& list(const json& document, std::size_t max_size) {
        valid_ = valid_ && document.is_array() && document.size() <= max_size;
        static const json empty = json::array();
        return valid_ ? document : empty;
    }
    [[nodiscard]] bool valid() const { return valid_; }

  private:
    double read(const json& document, double lowest, double highest) {
        const auto value = number_within(document, lowest, highest);
        valid_ = valid_ && value.has_value();
        return value.value_or(0);
    }

    bool valid_ = true;
};

reported_pool decode_pool(const json& document, figure_reader& read) {
    reported_pool load;
    load.pool = pool_id(document.at("pool").get_ref<const std::string&>());
    load.cores = read.figure(document.at("cores"));
    load.pace_cores = read.figure(document.at("pace"));
    load.running_core_s = read.figure(document.at("running"));
    for (const json& item : read.list(document.at("arriving"), max_arrivals)) {
        load.arriving.push_back({read.figure(item.at(0)), read.delay(item.at(1))});
    }
    for (const json& item : read.list(document.at("waiting"), max_reported_priorities)) {
        load.waiting.push_back({read.priority(item.at(0)), read.figure(item.at(1)),
                                read.figure(item.at(2)), read.figure(item.at(3))});
    }
    std::ranges::sort(load.arriving, {}, &arriving_cores::in);
    return load;
}

} // namespace

std::string encode_load_report(const load_report& report) {
    json document = {
        {"sequence", report.sequence}, {"pools", json::array()}, {"beyond_share", json::array()}};
    if (report.owner_backlog > milliseconds::zero()) {
        document["owner_backlog"] = report.owner_backlog.count();
    }
    for (const reported_pool& load : report.pools) {
        document["pools"].push_back(encode_pool(load));
    }
    for (const team_id& team : report.teams_beyond_share) {
        document["beyond_share"].push_back(team.view());
    }
    // Names of the operators may hold bytes that are no UTF-8.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<load_report> decode_load_report(std::string_view text) {
    try {
        const json document = json::parse(text);
        figure_reader read;
        load_report report;
        if (!document.at("sequence").is_number_unsigned()) {
            return make_status(result_code::malformed_body, "the sequence is no number");
        }
        report.sequence = document.at("sequence");
        for (const json& item : read.list(document.at("pools"), max_reported_pools)) {
            report.pools.push_back(decode_pool(item, read));
        }
        for (const json& item : read.list(document.at("beyond_share"), max_reported_teams)) {
            report.teams_beyond_share.emplace_back(item.get_ref<const std::string&>());
        }
        if (document.contains("owner_backlog")) {
            report.owner_backlog = read.delay(document.at("owner_backlog"));
        }
        if (!read.valid()) {
            return make_status(result_code::malformed_body, "a figure or a list is out of range");
        }
        return report;
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
}

} // namespace citronford
