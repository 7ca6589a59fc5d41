#include "citronford/vm_table.h"

#include <algorithm>

namespace citronford {

void vm_table::apply(const vm_record& row, table_version version) {
    vm_entry& entry = entries_[row.id];
    if (version <= entry.version) {
        return;
    }
    const bool known = entry.version != absent_row;
    if (known && entry.row.pool != row.pool) {
        members_[entry.row.pool].erase(row.id);
    }
    members_[row.pool].emplace(row.id, &entry);
    entry.row = row;
    entry.version = version;
    if (!known) {
        const auto listed = list_.find(row.id);
        entry.listed = listed != list_.end();
        entry.leaving = entry.listed && listed->second.leaving;
        if (entry.listed) {
            std::erase_if(without_row_[listed->second.pool],
                          [&](const vm_listing& vm) { return vm.id == row.id; });
        }
    }
}

void vm_table::apply(const pool_record& row, table_version version) {
    pool_entry& entry = pools_[row.name];
    if (version > entry.version) {
        entry = {row, version};
    }
}

void vm_table::erase(const vm_id& vm, table_version version) {
    const auto found = entries_.find(vm);
    if (found == entries_.end() || version <= found->second.version) {
        return;
    }
    members_[found->second.row.pool].erase(vm);
    entries_.erase(found);
    const auto listed = list_.find(vm);
    if (listed != list_.end()) {
        without_row_[listed->second.pool].push_back(listed->second);
    }
}

bool vm_table::apply_list(std::span<const vm_listing> vms, instant requested_at) {
    const bool first = listed_at_ == instant::min();
    listed_at_ = requested_at;
    // The list rarely changes, and indexing it costs more than the rest of a planning round.
    if (!first && std::ranges::equal(vms, last_list_)) {
        return false;
    }
    last_list_.assign(vms.begin(), vms.end());
    list_.clear();
    without_row_.clear();
    for (auto& [id, entry] : entries_) {
        entry.listed = false;
        entry.leaving = false;
    }
    for (const vm_listing& vm : vms) {
        list_.emplace(vm.id, vm);
        const auto found = entries_.find(vm.id);
        if (found == entries_.end()) {
            without_row_[vm.pool].push_back(vm);
        } else {
            found->second.listed = true;
            found->second.leaving = vm.leaving;
        }
    }
    return true;
}

const vm_entry* vm_table::find(const vm_id& vm) const {
    const auto found = entries_.find(vm);
    return found == entries_.end() ? nullptr : &found->second;
}

const std::map<vm_id, const vm_entry*>& vm_table::members(const pool_id& pool) const {
    static const std::map<vm_id, const vm_entry*> none;
    const auto found = members_.find(pool);
    return found == members_.end() ? none : found->second;
}

std::span<const vm_listing> vm_table::without_row(const pool_id& pool) const {
    const auto found = without_row_.find(pool);
    return found == without_row_.end() ? std::span<const vm_listing>() : found->second;
}

table_version vm_table::roll_out_number(const pool_id& pool) const {
    const pool_entry* entry = find_pool(pool);
    return entry == nullptr ? 0 : entry->version;
}

const pool_entry* vm_table::find_pool(const pool_id& pool) const {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : &found->second;
}

std::set<pool_id> vm_table::pools() const {
    std::set<pool_id> names;
    for (const auto& [pool, vms] : members_) {
        names.insert(pool);
    }
    for (const auto& [pool, vms] : without_row_) {
        names.insert(pool);
    }
    for (const auto& [pool, entry] : pools_) {
        names.insert(pool);
    }
    return names;
}

} // namespace citronford
