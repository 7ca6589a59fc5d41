#pragma once

#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronford {

/// Version of the transaction that wrote a row; versions rise across the whole table.
using table_version = std::uint64_t;

/// As a check, requires that the row does not exist.
inline constexpr table_version absent_row = 0;

struct table_row {
    std::string key;
    std::optional<std::string> value; ///< Empty for a row that was deleted.
    table_version version = 0;
};

/// Requires that the row `key` has exactly `version`.
struct table_check {
    std::string key;
    table_version version = absent_row;
};

struct table_write {
    std::string key;
    std::optional<std::string> value; ///< Empty deletes the row.
};

/// Result of a transaction whose reply arrived. Nothing was written when `committed` is false.
struct table_commit {
    bool committed = false;
    table_version version = 0;        ///< Version written, when committed.
    std::string conflict_key;         ///< First row whose check failed.
    table_version conflict_version{}; ///< Its present version.
    std::vector<table_row> conflicts; ///< Present rows of the checks, from a table that tells them.
};

struct table_scan {
    std::vector<table_row> rows;
    table_version version = 0; ///< Version of the table that the rows reflect.
};

/// Largest transactions that are sent: below the limits of the platform, 100 rows and 1 MB, with
/// room for checks and for the encoding of the values.
inline constexpr std::size_t max_transaction_rows = 90;
inline constexpr std::size_t max_transaction_bytes = 400000;

/// Largest value of a row where the deployment does not say.
inline constexpr std::size_t default_row_bytes = 65536;

/// The platform's transactional table service. An error status with `table_unavailable` says that
/// nothing was written, `write_rejected` that nothing was and the same rows would be rejected
/// again, and `commit_in_doubt` that the transaction may have been committed.
class table_service {
  public:
    using commit_callback = std::function<void(absl::StatusOr<table_commit>)>;
    using scan_callback = std::function<void(absl::StatusOr<table_scan>)>;

    table_service() = default;
    table_service(const table_service&) = delete;
    table_service& operator=(const table_service&) = delete;
    table_service(table_service&&) = delete;
    table_service& operator=(table_service&&) = delete;
    virtual ~table_service() = default;

    /// Writes all rows in one transaction if every check holds.
    virtual void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                        commit_callback done) = 0;

    /// Reads the rows whose key begins with `prefix` and that changed after `since`, in rising
    /// order of key; deleted rows are included when `since` is not zero.
    virtual void scan(std::string_view prefix, table_version since, scan_callback done) = 0;

    /// Like `scan`, but waits until a row has changed after `since`, at most for `wait`. Fails with
    /// `history_lost` when the changes since then are no longer known; the rows must then be
    /// scanned anew. A table that cannot wait answers at once.
    virtual void watch(std::string_view prefix, table_version since, duration /*wait*/,
                       scan_callback done) {
        scan(prefix, since, std::move(done));
    }
};

} // namespace citronford
