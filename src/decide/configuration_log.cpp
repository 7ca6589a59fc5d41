#include "citronford/configuration_log.h"

namespace citronford {

void configuration_log::note_rows(std::span<const table_row> rows) {
    for (const table_row& row : rows) {
        table_row& known = rows_[row.key];
        if (row.version >= known.version) {
            known = row;
        }
    }
}

void configuration_log::note_version(configuration_version version, table_version row) {
    versions_[version] = row;
    if (versions_.size() <= kept_versions) {
        return;
    }
    while (versions_.size() > kept_versions) {
        versions_.erase(versions_.begin());
    }
    const table_version oldest = versions_.begin()->second;
    std::erase_if(rows_, [&](const auto& item) {
        return !item.second.value && item.second.version <= oldest;
    });
}

configuration_update configuration_log::update(configuration_version known,
                                               configuration_version version,
                                               table_version row) const {
    const auto base = versions_.find(known);
    configuration_update result;
    result.version = version;
    result.version_row = row;
    result.base = base == versions_.end() ? 0 : base->first;
    for (const auto& [key, item] : rows_) {
        const bool lacking =
            base == versions_.end() ? item.value.has_value() : item.version > base->second;
        if (lacking) {
            result.rows.push_back(item);
        }
    }
    return result;
}

} // namespace citronford
