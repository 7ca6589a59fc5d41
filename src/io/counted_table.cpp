#include "io/counted_table.h"

#include <utility>

namespace citronford {
namespace {

constexpr std::string_view calls = "citronford_table_calls_total";
constexpr std::string_view failures = "citronford_table_failures_total";

} // namespace

void counted_table::count(std::string_view name, std::string_view operation) {
    const metric_label label{"operation", operation};
    registry_.add(name, std::span(&label, 1));
}

void counted_table::commit(std::span<const table_check> checks, std::span<const table_write> writes,
                           commit_callback done) {
    count(calls, "commit");
    target_.commit(checks, writes,
                   [this, done = std::move(done)](absl::StatusOr<table_commit> result) {
                       if (!result.ok()) {
                           count(failures, "commit");
                       }
                       done(std::move(result));
                   });
}

void counted_table::scan(std::string_view prefix, table_version since, scan_callback done) {
    count(calls, "scan");
    target_.scan(prefix, since, [this, done = std::move(done)](absl::StatusOr<table_scan> result) {
        if (!result.ok()) {
            count(failures, "scan");
        }
        done(std::move(result));
    });
}

} // namespace citronford
