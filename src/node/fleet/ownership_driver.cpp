#include "node/fleet/ownership_driver.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/workflow_codec.h"

#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(50);

/// The value that `decode` reads from a row; nothing if it cannot be read.
template <class Value>
std::optional<Value> decoded_row(const table_row& row,
                                 absl::StatusOr<Value> (*decode)(std::string_view)) {
    auto value = decode(*row.value);
    if (!value.ok()) {
        log_event(log_level::error, "row_unreadable",
                  {{"key", row.key}, {"reason", message_of(value.status())}});
        return std::nullopt;
    }
    return *std::move(value);
}

rows_observed observed(const table_scan& scan, duration read_time) {
    rows_observed rows;
    rows.read_time = read_time;
    for (const table_row& row : scan.rows) {
        if (row.key == renewal_row_key) {
            rows.renewal_version = row.version;
        } else if (row.key == owner_row_key && row.value) {
            rows.owner_version = row.version;
            rows.owner = decoded_row(row, decode_owner);
        } else if (row.key == offer_row_key && row.value) {
            rows.offer_version = row.version;
            rows.offer = decoded_row(row, decode_offer);
        }
    }
    return rows;
}

} // namespace

ownership_driver::ownership_driver(ownership decisions, ownership_options options,
                                   table_service& table, timer_service& timers, handlers on)
    : decisions_(std::move(decisions)), options_(std::move(options)), table_(table),
      timers_(timers), on_(std::move(on)) {}

void ownership_driver::start() {
    ticks_ = timers_.every(tick_period, [this](instant now) { tick(now); });
    read_rows();
}

void ownership_driver::request_stop() {
    handle(ownership_stop{});
}

void ownership_driver::fenced_out() {
    handle(renewal_conflict{});
}

void ownership_driver::tick(instant now) {
    handle(ownership_tick{});
    const auto interval = decisions_.poll_interval(now);
    if (interval && !reading_ && now >= read_at_ + *interval) {
        read_rows();
    }
}

void ownership_driver::read_rows() {
    reading_ = true;
    read_at_ = timers_.now();
    table_.scan(owner_rows_prefix, 0, [this](const absl::StatusOr<table_scan>& result) {
        reading_ = false;
        // While a claim or a transfer is under way, its result is newer than the rows that were
        // read.
        if (!claiming_ && !transferring_) {
            handle(result.ok() ? ownership_input(observed(*result, timers_.now() - read_at_))
                               : ownership_input(rows_unavailable{}));
        }
    });
}

void ownership_driver::handle(const ownership_input& input) {
    for (const ownership_effect& effect : decisions_.handle(input, timers_.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

table_write ownership_driver::owner_write(bool released) const {
    return {std::string(owner_row_key), encode_owner({options_.node, options_.incarnation, released,
                                                      options_.capacity_permille})};
}

void ownership_driver::perform(const write_claim& effect) {
    const std::array checks = {table_check{std::string(owner_row_key), effect.expected}};
    const std::array writes = {owner_write(false)};
    claiming_ = true;
    log_event(log_level::info, "ownership_claimed",
              {{"expected", static_cast<std::int64_t>(effect.expected)},
               {"capacity_permille", options_.capacity_permille},
               {"last_capacity_permille", effect.last_capacity_permille},
               {"rows_unchanged_ms", to_ms(effect.unchanged)}});
    table_.commit(checks, writes, [this](const absl::StatusOr<table_commit>& result) {
        claiming_ = false;
        if (result.ok() && result->committed) {
            handle(claim_committed{result->version});
        } else if (!result.ok() && code_of(result.status()) == result_code::commit_in_doubt) {
            handle(claim_in_doubt{});
        } else {
            handle(claim_rejected{});
        }
    });
}

void ownership_driver::perform(const write_renewal& effect) {
    const std::array checks = {table_check{std::string(owner_row_key), effect.token}};
    const std::array writes = {table_write{std::string(renewal_row_key), "renewed"}};
    table_.commit(checks, writes,
                  [this, sent_at = timers_.now()](const absl::StatusOr<table_commit>& result) {
                      if (!result.ok()) {
                          return;
                      }
                      if (result->committed) {
                          handle(renewal_committed{sent_at});
                      } else {
                          handle(renewal_conflict{});
                      }
                  });
}

void ownership_driver::perform(const write_offer& effect) {
    const std::array checks = {table_check{std::string(owner_row_key), effect.offer.token}};
    const std::array writes = {table_write{std::string(offer_row_key), encode_offer(effect.offer)}};
    log_event(log_level::info, "takeover_offered",
              {{"token", static_cast<std::int64_t>(effect.offer.token)},
               {"capacity_permille", effect.offer.capacity_permille}});
    // A lost offer is repeated.
    table_.commit(checks, writes, [](const absl::StatusOr<table_commit>&) {});
}

void ownership_driver::perform(const write_transfer& effect) {
    const std::array checks = {table_check{std::string(owner_row_key), effect.token}};
    const std::array writes = {table_write{
        std::string(owner_row_key),
        encode_owner({effect.to.node, effect.to.incarnation, false, effect.to.capacity_permille})}};
    transferring_ = true;
    table_.commit(checks, writes,
                  [this, to = effect.to.node](const absl::StatusOr<table_commit>& result) {
                      transferring_ = false;
                      log_event(log_level::info, "ownership_transferred",
                                {{"to", to.view()},
                                 {"written", result.ok() && result->committed ? "yes" : "no"}});
                      handle(transfer_ended{});
                  });
}

void ownership_driver::perform(const write_release& effect) {
    const std::array checks = {table_check{std::string(owner_row_key), effect.token}};
    const std::array writes = {owner_write(true)};
    table_.commit(checks, writes, [this](const absl::StatusOr<table_commit>& result) {
        log_event(log_level::info, "ownership_released",
                  {{"written", result.ok() && result->committed ? "yes" : "no"}});
        // Until the row is released, the other nodes wait for the lease.
        const bool failed = !result.ok() && code_of(result.status()) != result_code::write_rejected;
        handle(failed ? ownership_input(release_failed{}) : ownership_input(release_ended{}));
    });
}

void ownership_driver::perform(const ownership_begun& effect) {
    log_event(log_level::info, "ownership_begun",
              {{"token", static_cast<std::int64_t>(effect.token)},
               {"capacity_permille", options_.capacity_permille}});
    on_.begun(effect.token);
}

void ownership_driver::perform(const ownership_ended& /*effect*/) {
    log_event(log_level::warning, "ownership_over", {{"state", decisions_.state()}});
    on_.ended();
}

void ownership_driver::perform(const ownership_stopped& /*effect*/) {
    ticks_.cancel();
    on_.stopped();
}

} // namespace citronford
