#include "node/configuration_driver.h"

#include "citronford/invariant.h"
#include "citronford/result_code.h"
#include "io/configuration_codec.h"
#include "io/log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace citronford {

configuration_driver::configuration_driver(const settings& node_settings, node_links links)
    : settings_(node_settings), links_(links) {}

void configuration_driver::start() {
    poll();
    poll_timer_ = links_.timers.every(settings_.configuration_poll, [this](instant) { poll(); });
}

configuration_view configuration_driver::view() const {
    return {fleet_, confirmed_at_, settings_.zone};
}

void configuration_driver::poll() {
    if (polling_) {
        return;
    }
    polling_ = true;
    const instant begun_at = links_.timers.now();
    links_.table.scan(configuration_prefix, scanned_,
                      [this, begun_at](const absl::StatusOr<table_scan>& scan) {
                          polling_ = false;
                          if (scan.ok()) {
                              take_scan(*scan, begun_at);
                          }
                      });
}

void configuration_driver::take_scan(const table_scan& scan, instant begun_at) {
    fleet_configuration updated = fleet_;
    for (const table_row& row : scan.rows) {
        const absl::Status status = apply_row(row, updated);
        if (!status.ok()) {
            log_event(log_level::error, "configuration_row_invalid",
                      {{"row", row.key}, {"reason", message_of(status)}});
        }
        if (row.key == configuration_version_key) {
            version_row_ = std::max(version_row_, row.version);
        }
    }
    if (!invariant_monitor::check(updated.version >= fleet_.version, "configuration",
                                  "a scan gave an older version")) {
        return;
    }
    const bool changed = updated.version > fleet_.version || !loaded_;
    fleet_ = std::move(updated);
    scanned_ = std::max(scanned_, scan.version);
    confirmed_at_ = begun_at;
    loaded_ = true;
    if (changed) {
        log_event(log_level::info, "configuration_applied",
                  {{"version", static_cast<std::int64_t>(fleet_.version)}});
        for (const listener& function : listeners_) {
            function(fleet_);
        }
    }
}

void configuration_driver::change(const configuration_change& change, change_callback done) {
    const absl::Status status = validated(change, fleet_);
    if (!status.ok()) {
        done(status);
        return;
    }
    const configuration_version version = fleet_.version + 1;
    std::vector<table_write> writes = rows_of(change);
    writes.push_back({std::string(configuration_version_key), std::to_string(version)});
    const table_check check{std::string(configuration_version_key), version_row_};
    links_.table.commit(
        std::span(&check, 1), writes,
        [this, version, done = std::move(done)](const absl::StatusOr<table_commit>& commit) {
            poll();
            if (!commit.ok()) {
                done(commit.status());
            } else if (!commit->committed) {
                done(make_status(result_code::conflict,
                                 "another change was committed first, at table version " +
                                     std::to_string(commit->conflict_version)));
            } else {
                done(version);
            }
        });
}

} // namespace citronford
