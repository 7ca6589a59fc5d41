#include "test_support.h"

#include "citronford/configuration_log.h"

using namespace citronford;

namespace {

/// A log with one row a version; the odd ones are deleted again by the next version.
configuration_log log_of(configuration_version versions) {
    configuration_log log;
    for (configuration_version version = 1; version <= versions; ++version) {
        const auto key = [](configuration_version number) {
            return "config/keys/k" + std::to_string(number);
        };
        std::vector<table_row> rows{{key(version), "value", version * 10}};
        if (version % 2 == 0) {
            rows.push_back({key(version - 1), std::nullopt, version * 10});
        }
        log.note_rows(rows);
        log.note_version(version, version * 10);
    }
    return log;
}

} // namespace

// Guards against an update that carries the whole configuration to a peer one version behind.
Test(configuration_log, sends_only_what_a_peer_lacks) {
    const configuration_log log = log_of(6);
    const configuration_update update = log.update(5, 6, 60);
    cr_assert(update.base == 5 && update.version == 6 && update.version_row == 60);
    cr_assert(update.rows.size() == 2);
    cr_assert(log.update(6, 6, 60).rows.empty());
}

// Guards against memory that grows with every change, and against a peer far behind that gets a
// part of the configuration as if it were all of it.
Test(configuration_log, forgets_versions_and_deleted_rows) {
    constexpr configuration_version versions = 1000;
    const configuration_log log = log_of(versions);
    cr_assert(log.size() <= versions / 2 + configuration_log::kept_versions);
    const configuration_update update = log.update(1, versions, versions * 10);
    cr_assert(update.base == 0 && update.rows.size() == versions / 2);
    for (const table_row& row : update.rows) {
        cr_assert(row.value.has_value());
    }
    const configuration_version kept = versions - configuration_log::kept_versions + 1;
    cr_assert(log.update(kept, versions, versions * 10).base == kept);
}

// Guards against a row that goes back because a scan was answered late.
Test(configuration_log, keeps_the_newer_row) {
    configuration_log log;
    const table_row newer{"config/defaults", "new", 20};
    const table_row older{"config/defaults", "old", 10};
    log.note_rows(std::span(&newer, 1));
    log.note_rows(std::span(&older, 1));
    cr_assert(log.update(0, 2, 20).rows.at(0).value == "new");
}
