#pragma once

#include "citronford/ownership.h"
#include "citronford/table_service.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronford {

/// Writes one row for an owner. The value contains the token of the owner, and each write requires
/// the last known version of the row: a write without an answer may be carried out seconds later,
/// after the next owner has written the row.
class owner_row_writer {
  public:
    owner_row_writer(table_service& table, fencing_token token, std::string key);

    /// Starts to write `text`, unless the row has it already, another call is under way or a later
    /// owner has written the row. A failed write is not retried; the next call reads the row first.
    /// A value that the table rejects is not written again.
    void write(std::string_view text);

  private:
    void read();
    void handle_row(const absl::StatusOr<table_scan>& result);
    void send();
    void handle_commit(const absl::StatusOr<table_commit>& result, const std::string& sent);

    table_service& table_;
    fencing_token token_;
    std::string key_;
    std::string wanted_;
    std::string written_;  ///< Last known value of the row.
    std::string rejected_; ///< Value that the table rejected; not written again.
    table_version version_ = absent_row;
    bool known_ = false;      ///< Whether `version_` is the present version of the row.
    bool busy_ = false;       ///< Whether a read or write is under way.
    bool superseded_ = false; ///< Whether a later owner has written the row.
    /// Callbacks that arrive after the writer was destroyed find this expired.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
