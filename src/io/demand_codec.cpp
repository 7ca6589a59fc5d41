#include "io/demand_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace citronford {

using nlohmann::json;

std::string demand_key(const node_id& node) {
    return std::string(demand_prefix) + node.str();
}

table_write demand_row_write(const demand_record& record) {
    json pools = json::object();
    for (const pool_load& load : record.pools) {
        pools[load.pool.str()] = load.vms;
    }
    return {demand_key(record.node), pools.dump()};
}

absl::StatusOr<demand_rows_read::row> parse_demand_row(const table_row& row) {
    demand_rows_read::row result;
    result.version = row.version;
    result.deleted = !row.value;
    result.record.node = node_id(std::string_view(row.key).substr(demand_prefix.size()));
    if (!row.value) {
        return result;
    }
    const json pools = json::parse(*row.value, nullptr, false);
    if (!pools.is_object() || !std::ranges::all_of(pools, &json::is_number)) {
        return make_status(result_code::malformed_body,
                           "the demand row is not a JSON object of numbers");
    }
    for (const auto& [name, vms] : pools.items()) {
        result.record.pools.push_back({pool_id(name), std::max(0.0, vms.get<double>())});
    }
    return result;
}

} // namespace citronford
