#pragma once

#include "citronford/ownership.h"
#include "citronford/table_service.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronford {

/// Writes one row of an ownership. The row names the token of its owner, and each write requires
/// the row as it was last seen: a call without an answer may be carried out seconds later, when the
/// next owner has written the row.
class owner_row_writer {
  public:
    owner_row_writer(table_service& table, fencing_token token, std::string key);

    /// Begins to write `text` unless the row has it, a call is under way or a later owner has
    /// written the row. A write that failed is not repeated; the next call reads the row first.
    void write(std::string_view text);

  private:
    void read();
    void take_row(const absl::StatusOr<table_scan>& result);
    void send();
    void take_result(const absl::StatusOr<table_commit>& result, const std::string& sent);

    table_service& table_;
    fencing_token token_;
    std::string key_;
    std::string wanted_;
    std::string written_; ///< Value of the row, if it is of this owner.
    table_version version_ = absent_row;
    bool known_ = false; ///< `version_` is that of the row.
    bool busy_ = false;
    bool superseded_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
