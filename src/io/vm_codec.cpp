#include "io/vm_codec.h"

#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

std::string row_key(std::string_view prefix, std::string_view name) {
    return std::string(prefix) + std::string(name);
}

template <class Identifier> Identifier identifier_member(const json& object, const char* member) {
    return Identifier(object.value(member, std::string()));
}

vm_record parse_vm(const json& object, std::string_view id) {
    vm_record row;
    row.id = vm_id(id);
    row.pool = identifier_member<pool_id>(object, "pool");
    row.zone = identifier_member<zone_id>(object, "zone");
    row.rack = identifier_member<rack_id>(object, "rack");
    row.state = object.value("state", row.state);
    row.step = vm_step_of(object.value("step", std::string()));
    row.target = identifier_member<pool_id>(object, "target");
    row.home = identifier_member<pool_id>(object, "home");
    row.reason = object.value("reason", "");
    row.maintained = object.value("maintained", row.maintained);
    row.order = object.value("order", row.order);
    row.epoch = object.value("epoch", row.epoch);
    return row;
}

/// The part of the key after `prefix`.
std::string_view name_in_key(const table_row& row, std::string_view prefix) {
    return std::string_view(row.key).substr(prefix.size());
}

void add_vm(const table_row& row, pool_rows_read& rows) {
    const std::string_view id = name_in_key(row, vm_prefix);
    pool_rows_read::vm_row item;
    item.version = row.version;
    item.deleted = !row.value;
    item.row = row.value ? parse_vm(json::parse(*row.value), id) : vm_record();
    item.row.id = vm_id(id);
    rows.vms.push_back(std::move(item));
}

void add_pool(const table_row& row, pool_rows_read& rows) {
    if (row.value) {
        const json object = json::parse(*row.value);
        rows.pools.push_back(
            {{pool_id(name_in_key(row, pool_prefix)), object.value("reason", "")}, row.version});
    }
}

void add_lease(const table_row& row, pool_rows_read& rows) {
    lease_record lease;
    lease.pool = pool_id(name_in_key(row, pool_lease_prefix));
    if (row.value) {
        const json object = json::parse(*row.value);
        lease.owner = identifier_member<node_id>(object, "owner");
        lease.epoch = object.value("epoch", lease.epoch);
    }
    rows.leases.push_back({std::move(lease), row.version});
}

} // namespace

table_write vm_row_write(const vm_record& row) {
    table_write write{row_key(vm_prefix, row.id.view()), std::nullopt};
    if (row.state != vm_states::removed) {
        write.value = json{{"pool", row.pool.str()},
                           {"zone", row.zone.str()},
                           {"rack", row.rack.str()},
                           {"state", row.state},
                           {"step", name_of(row.step)},
                           {"target", row.target.str()},
                           {"home", row.home.str()},
                           {"reason", row.reason},
                           {"maintained", row.maintained},
                           {"order", row.order},
                           {"epoch", row.epoch}}
                          .dump();
    }
    return write;
}

table_write pool_row_write(const pool_record& row) {
    return {row_key(pool_prefix, row.name.view()), json{{"reason", row.reason}}.dump()};
}

table_write lease_row_write(const lease_record& row) {
    return {row_key(pool_lease_prefix, row.pool.view()),
            json{{"owner", row.owner.str()}, {"epoch", row.epoch}}.dump()};
}

absl::Status add_row(const table_row& row, pool_rows_read& rows) {
    try {
        if (row.key.starts_with(vm_prefix)) {
            add_vm(row, rows);
        } else if (row.key.starts_with(pool_prefix)) {
            add_pool(row, rows);
        } else if (row.key.starts_with(pool_lease_prefix)) {
            add_lease(row, rows);
        } else {
            return make_status(result_code::malformed_body, "unknown prefix of row key " + row.key);
        }
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
    return absl::OkStatus();
}

} // namespace citronford
