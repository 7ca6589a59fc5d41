#include "node/fleet/owner_row_writer.h"

#include "citronford/result_code.h"
#include "io/log.h"
#include "io/workflow_codec.h"

#include <array>
#include <cstdint>
#include <utility>

namespace citronford {

owner_row_writer::owner_row_writer(table_service& table, fencing_token token, std::string key)
    : table_(table), token_(token), key_(std::move(key)) {}

void owner_row_writer::write(std::string_view text) {
    wanted_ = encode_fenced_value({token_, std::string(text)});
    if (busy_ || superseded_ || wanted_ == rejected_ || (known_ && wanted_ == written_)) {
        return;
    }
    busy_ = true;
    if (known_) {
        send();
    } else {
        read();
    }
}

void owner_row_writer::read() {
    table_.scan(key_, 0,
                [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
                    if (!alive.expired()) {
                        handle_row(result);
                    }
                });
}

void owner_row_writer::handle_row(const absl::StatusOr<table_scan>& result) {
    busy_ = false;
    if (!result.ok()) {
        return;
    }
    version_ = absent_row;
    if (!result->rows.empty() && result->rows.front().value) {
        const table_row& row = result->rows.front();
        const auto present = decode_fenced_value(*row.value);
        if (present.ok() && present->token > token_) {
            superseded_ = true;
            log_event(log_level::info, "row_superseded",
                      {{"key", key_}, {"token", static_cast<std::int64_t>(present->token)}});
            return;
        }
        version_ = row.version;
        written_ = *row.value;
    }
    known_ = true;
    if (wanted_ != written_) {
        busy_ = true;
        send();
    }
}

void owner_row_writer::send() {
    const std::array checks = {table_check{key_, version_}};
    const std::array writes = {table_write{key_, wanted_}};
    table_.commit(checks, writes,
                  [this, sent = wanted_,
                   alive = std::weak_ptr(alive_)](const absl::StatusOr<table_commit>& result) {
                      if (!alive.expired()) {
                          handle_commit(result, sent);
                      }
                  });
}

void owner_row_writer::handle_commit(const absl::StatusOr<table_commit>& result,
                                     const std::string& sent) {
    busy_ = false;
    if (code_of(result.status()) == result_code::write_rejected) {
        log_event(log_level::error, "row_rejected",
                  {{"key", key_},
                   {"bytes", static_cast<std::int64_t>(sent.size())},
                   {"reason", message_of(result.status())}});
        rejected_ = sent;
        return;
    }
    known_ = result.ok() && result->committed;
    if (known_) {
        version_ = result->version;
        written_ = sent;
    }
}

} // namespace citronford
