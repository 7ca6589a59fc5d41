#include "node/fleet/table_follower.h"

#include "citronford/result_code.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// Delay before a failed read is repeated.
constexpr duration retry_delay = milliseconds(200);

} // namespace

table_follower::table_follower(table_service& table, timer_service& timers, follow_options options,
                               row_handler on_snapshot, row_handler on_change)
    : table_(table), timers_(timers), options_(std::move(options)),
      on_snapshot_(std::move(on_snapshot)), on_change_(std::move(on_change)) {}

void table_follower::start() {
    snapshot_.clear();
    read_part(0);
}

void table_follower::schedule(duration delay, void (table_follower::*next)()) {
    pending_ = timers_.after(delay, [this, next](instant) { (this->*next)(); });
}

void table_follower::read_part(std::size_t part) {
    // The watch begins at the version of the oldest read.
    asked_at_ = part == 0 ? timers_.now() : asked_at_;
    table_.scan(options_.snapshot_prefixes[part], 0,
                [this, part, alive = std::weak_ptr(alive_)](absl::StatusOr<table_scan> result) {
                    if (!alive.expired()) {
                        handle_part(part, std::move(result));
                    }
                });
}

void table_follower::handle_part(std::size_t part, absl::StatusOr<table_scan> result) {
    if (!result.ok()) {
        schedule(retry_delay, &table_follower::start);
        return;
    }
    // The watch starts from the oldest read, so it also delivers changes of a part after its read.
    since_ = part == 0 ? result->version : std::min(since_, result->version);
    std::ranges::move(result->rows, std::back_inserter(snapshot_));
    if (part + 1 < options_.snapshot_prefixes.size()) {
        read_part(part + 1);
        return;
    }
    const std::vector<table_row> rows = std::exchange(snapshot_, {});
    unchanged_until_ = asked_at_;
    on_snapshot_(rows);
    watch();
}

void table_follower::watch() {
    asked_at_ = timers_.now();
    table_.watch(options_.watch_prefix, since_, options_.wait,
                 [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
                     if (!alive.expired()) {
                         handle_changes(result);
                     }
                 });
}

void table_follower::handle_changes(const absl::StatusOr<table_scan>& result) {
    if (!result.ok()) {
        const bool lost = code_of(result.status()) == result_code::history_lost;
        schedule(lost ? duration::zero() : retry_delay,
                 lost ? &table_follower::start : &table_follower::watch);
        return;
    }
    since_ = std::max(since_, result->version);
    const std::weak_ptr alive(alive_);
    if (!result->rows.empty()) {
        on_change_(result->rows);
    }
    if (!alive.expired()) {
        // The table answers a watch without changes at the end of its wait.
        unchanged_until_ =
            result->rows.empty() ? std::min(timers_.now(), asked_at_ + options_.wait) : asked_at_;
    }
    if (!alive.expired()) {
        schedule(result->rows.empty() ? duration::zero() : options_.pause, &table_follower::watch);
    }
}

} // namespace citronford
