#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/settings.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Which decisions under load are in use; each is off by default.
struct load_switches {
    bool admission = false;      ///< Refuse work that cannot be done within its useful time.
    bool overload_order = false; ///< With too little room, delay the work that costs callers least.
    bool fair_shares = false;    ///< Divide a full fleet between the teams by their weights.
    bool burst_capacity = false; ///< Keep VMs for the bursts that a pool has had.
    bool slow_servers = false;   ///< Avoid slow servers, and start copies of tasks held up there.
};

/// Settings of a scheduler daemon on one entry VM, from an INI file.
struct fleet_settings {
    node_id node;
    zone_id zone;
    std::string charts = "charts"; ///< Directory of the state charts.
    std::string log_level = "info";
    endpoint callers{"127.0.0.1", 8340};          ///< Listens for callers.
    endpoint health{"127.0.0.1", 8343};           ///< Listens for readiness checks.
    endpoint metrics_endpoint{"127.0.0.1", 8345}; ///< Listens for metrics scrapes.
    endpoint table{"127.0.0.1", 8090};            ///< Of the platform's table service.
    std::size_t table_row_bytes = 65536;          ///< Largest value of a row of the table.
    endpoint vms;                                 ///< Of the VM service; port 0: there is none.
    endpoint advice;                              ///< Port 0: there is no advice service.
    std::int64_t processors_permille = 1000;      ///< Processors of this VM; 1000 is one processor.
    std::int64_t link_kbit = 1000000;             ///< Speed of the link of this VM in kbit/s.
    std::int64_t memory_limit_mb = 0;             ///< The process is killed beyond; 0: unknown.
    std::size_t body_limit = 262144;              ///< Largest accepted request body in bytes.
    milliseconds longest_backend_lease{6000}; ///< Backend servers shorten longer leases to this.
    milliseconds backend_stop_time{900};      ///< A backend server stops a task within this time.
    milliseconds stop_grace{6000};            ///< The process is killed this long after SIGTERM.
    milliseconds vm_order_interval{3000};     ///< Minimum between orders of two owners to one VM.
    milliseconds move_time{1500};             ///< From a move order to service in the new pool.
    milliseconds maintenance_time{2000};      ///< From a maintenance order to the VM's return.
    load_switches load;                       ///< Decisions under load that are in use.
    std::vector<replaced_setting> replaced;   ///< Values that were not allowed.
};

/// All keys, in the order of the documentation.
std::span<const setting_description> fleet_setting_descriptions();

/// Parses the text of a settings file like `parse_settings`. A key that describes the deployment
/// and has a value that is not allowed gets its default and is listed in `replaced`.
absl::StatusOr<fleet_settings> parse_fleet_settings(std::string_view text);

/// Reads and parses the file at `path`. Blocking; for start-up and reload only.
absl::StatusOr<fleet_settings> load_fleet_settings(const std::string& path);

} // namespace citronford
