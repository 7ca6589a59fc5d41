#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/peer_link.h"
#include "citronford/table_service.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>

namespace citronford {

/// The rows of the configuration as last seen, and the table versions under which the latest
/// configuration versions were written. Makes updates that hold only what a peer lacks.
class configuration_log {
  public:
    /// A peer that is more versions behind gets all rows.
    static constexpr std::size_t kept_versions = 128;

    /// Keeps each row that is newer than the one with the same key.
    void note_rows(std::span<const table_row> rows);

    /// `version` was written at the table version `row`. Forgets the oldest versions, and deleted
    /// rows that no kept version lacks.
    void note_version(configuration_version version, table_version row);

    /// The rows that a peer with the version `known` lacks to reach `version`, written at the table
    /// version `row`; all rows, with base 0, when `known` is not kept.
    [[nodiscard]] configuration_update
    update(configuration_version known, configuration_version version, table_version row) const;

    /// Rows kept, deleted ones included.
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

  private:
    std::map<std::string, table_row> rows_;
    std::map<configuration_version, table_version> versions_;
};

} // namespace citronford
