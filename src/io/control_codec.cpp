#include "io/control_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace citronford {
namespace {

using nlohmann::json;

json json_of(const member_id& id) {
    return {id.node.str(), id.incarnation};
}

member_id member_of(const json& item) {
    return {node_id(item.at(0).get<std::string>()), item.at(1).get<std::uint64_t>()};
}

template <class Result, class Function>
absl::StatusOr<Result> parsed(std::string_view text, Function function) {
    try {
        return function(json::parse(text));
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
}

} // namespace

std::string registration_json(const node_registration& registration) {
    return json{{"member", json_of(registration.member)},
                {"zone", registration.zone.str()},
                {"address", registration.address.address},
                {"port", registration.address.port},
                {"lease_ms", to_ms(registration.lease)}}
        .dump();
}

absl::StatusOr<node_registration> parse_registration(std::string_view text) {
    return parsed<node_registration>(text, [](const json& item) {
        return node_registration{member_of(item.at("member")),
                                 zone_id(item.at("zone").get<std::string>()),
                                 {item.at("address"), item.at("port")},
                                 milliseconds(item.at("lease_ms").get<std::int64_t>())};
    });
}

std::string escrow_json(const escrow_row& row) {
    json units = json::array();
    for (const auto& [id, count] : row.units) {
        units.push_back({json_of(id), count});
    }
    json moved = json::array();
    for (const auto& [pair, total] : row.moved) {
        moved.push_back({json_of(pair.first), json_of(pair.second), total});
    }
    return json{{"limit", row.limit},
                {"configuration", row.configuration},
                {"units", std::move(units)},
                {"moved", std::move(moved)}}
        .dump();
}

absl::StatusOr<escrow_row> parse_escrow(std::string_view text) {
    return parsed<escrow_row>(text, [](const json& item) {
        escrow_row row;
        row.limit = item.at("limit");
        row.configuration = item.at("configuration");
        for (const json& part : item.at("units")) {
            row.units[member_of(part.at(0))] = part.at(1);
        }
        for (const json& pair : item.at("moved")) {
            row.moved[{member_of(pair.at(0)), member_of(pair.at(1))}] = pair.at(2);
        }
        return row;
    });
}

std::string version_text(std::uint64_t version, const member_id& author) {
    return std::to_string(version) + ' ' + author.node.str() + ' ' +
           std::to_string(author.incarnation);
}

member_id author_of(std::string_view text) {
    std::istringstream stream{std::string(text)};
    std::uint64_t version = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    stream >> version >> node >> incarnation;
    return {node_id(node), incarnation};
}

} // namespace citronford
