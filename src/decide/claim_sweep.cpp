#include "citronford/claim_sweep.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace citronford {
namespace {

constexpr std::string_view clock_key = "claim-clock";

/// Watermarks recorded per retention. Their spacing, 1/24 of the retention, is the longest time
/// that they delay the deletion of an expired row.
constexpr int watermarks_per_retention = 24;

/// Parses a number at the start of `text` and removes it and the following separator.
std::uint64_t consume_number(std::string_view& text) {
    std::uint64_t number = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number).ptr;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    text.remove_prefix(text.empty() ? 0 : 1);
    return number;
}

duration clock_write_interval(const claim_sweep_options& options) {
    return std::min(options.clock_write_interval, options.retention / watermarks_per_retention);
}

duration scan_interval(const claim_sweep_options& options) {
    return std::max(options.scan_interval, options.retention / options.passes_per_retention /
                                               std::int64_t{options.buckets});
}

} // namespace

sweep_clock sweep_clock::parse(std::string_view text) {
    sweep_clock clock;
    clock.elapsed = duration(consume_number(text));
    while (!text.empty()) {
        const duration elapsed(consume_number(text));
        clock.watermarks.push_back({elapsed, consume_number(text)});
    }
    return clock;
}

std::string sweep_clock::text() const {
    std::string text = std::to_string(elapsed.count());
    for (const watermark& item : watermarks) {
        text += ' ' + std::to_string(item.elapsed.count()) + ':' + std::to_string(item.version);
    }
    return text;
}

table_version sweep_clock::horizon(duration time, duration retention) const {
    const auto first_newer = std::ranges::find_if(
        watermarks, [&](const watermark& item) { return time - item.elapsed < retention; });
    return first_newer == watermarks.begin() ? absent_row : std::prev(first_newer)->version;
}

table_version claim_sweep::step_context::horizon() const {
    const duration effective_retention =
        fault_planted("claim-retention") ? options.retention / 2 : options.retention;
    return clock.horizon(current_elapsed(), effective_retention);
}

absl::StatusOr<claim_sweep> claim_sweep::create(const chart& life_cycle,
                                                claim_sweep_options options) {
    static constexpr machine::guard guards[] = {
        {"clock_write_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.version_known_at >=
                        clock_write_interval(context.options) ||
                    context.version == absent_row;
         }},
        {"scan_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.horizon() != absent_row &&
                    context.now - context.last_scan_at >= scan_interval(context.options);
         }},
        {"nothing_expired", [](const step_context& context,
                               const claim_sweep_input&) { return context.expired.empty(); }},
        {"deletion_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.last_deletion_at >= context.options.deletion_interval;
         }},
        {"pause_elapsed",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.pause_started_at >= context.options.retry_delay;
         }},
    };
    static constexpr machine::action actions[] = {
        {"read_clock",
         [](step_context& context, const claim_sweep_input&) {
             context.effects.emplace_back(sweep_scan{++context.last_call, std::string(clock_key)});
         }},
        {"load_clock",
         [](step_context& context, const claim_sweep_input& input) {
             context.clock = {};
             context.version = absent_row;
             context.version_known_at = context.now;
             for (const table_row& row : std::get<sweep_rows_read>(input).rows) {
                 if (row.key == clock_key && row.value) {
                     context.clock = sweep_clock::parse(*row.value);
                     context.version = row.version;
                 }
             }
         }},
        {"write_clock",
         [](step_context& context, const claim_sweep_input&) {
             sweep_clock& clock = context.clock;
             const duration retention = context.options.retention;
             const duration last =
                 clock.watermarks.empty() ? -retention : clock.watermarks.back().elapsed;
             if (context.version != absent_row &&
                 clock.elapsed - last >= retention / watermarks_per_retention) {
                 clock.watermarks.push_back({clock.elapsed, context.version});
             }
             clock.elapsed = context.current_elapsed();
             // Of the watermarks older than the retention, only the newest is needed.
             while (clock.watermarks.size() > 1 &&
                    clock.elapsed - clock.watermarks[1].elapsed >= retention) {
                 clock.watermarks.erase(clock.watermarks.begin());
             }
             context.effects.emplace_back(
                 sweep_transaction{++context.last_call,
                                   {{std::string(clock_key), context.version}},
                                   {{std::string(clock_key), clock.text()}}});
         }},
        {"confirm_clock",
         [](step_context& context, const claim_sweep_input& input) {
             context.version = std::get<sweep_committed>(input).version;
             // Rows up to this version may have been written as late as this reply, so their age
             // counts from the reply, not from the call.
             context.version_known_at = context.now;
         }},
        {"read_rows",
         [](step_context& context, const claim_sweep_input&) {
             context.last_scan_at = context.now;
             context.effects.emplace_back(
                 sweep_scan{++context.last_call, claim_bucket_prefix(context.next_bucket)});
             context.next_bucket = (context.next_bucket + 1) % context.options.buckets;
         }},
        {"collect_expired_rows",
         [](step_context& context, const claim_sweep_input& input) {
             context.expired.clear();
             for (const table_row& row : std::get<sweep_rows_read>(input).rows) {
                 if (row.value && row.version <= context.horizon()) {
                     context.expired.push_back({row.key, row.version});
                 }
             }
         }},
        {"delete_rows",
         [](step_context& context, const claim_sweep_input&) {
             context.last_deletion_at = context.now;
             sweep_transaction transaction{++context.last_call, {}, {}};
             while (!context.expired.empty() &&
                    transaction.checks.size() < context.options.batch_limit) {
                 const table_check& row = context.expired.back();
                 invariant_monitor::check(
                     row.version <= context.clock.horizon(context.current_elapsed(),
                                                          context.options.retention),
                     "at-most-once", "a claim row is deleted before its retention has elapsed");
                 transaction.writes.push_back({row.key, std::nullopt});
                 transaction.checks.push_back(row);
                 context.expired.pop_back();
             }
             context.effects.emplace_back(std::move(transaction));
         }},
        {"start_pause", [](step_context& context,
                           const claim_sweep_input&) { context.pause_started_at = context.now; }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return claim_sweep(*std::move(bound), options);
}

claim_sweep::claim_sweep(machine life_cycle, claim_sweep_options options)
    : machine_(std::move(life_cycle)), position_(machine_.initial()) {
    context_.options = options;
}

std::vector<claim_sweep_effect> claim_sweep::handle(const claim_sweep_input& input, instant now) {
    context_.now = now;
    // Replies to calls of an earlier state are ignored.
    const bool stale = std::visit(
        [&](const auto& event) {
            if constexpr (requires { event.call; }) {
                return event.call != context_.last_call;
            }
            return false;
        },
        input);
    if (!stale) {
        machine_.step(position_, context_, input);
    }
    return std::exchange(context_.effects, {});
}

void claim_sweep::set_retention(duration retention) {
    if (retention > context_.options.retention) {
        context_.expired.clear();
    }
    context_.options.retention = retention;
}

std::string claim_bucket_prefix(std::uint32_t bucket) {
    constexpr int hex_digits = 4;
    constexpr std::uint32_t hex_bits = 4;
    std::string prefix = "claim/";
    for (int digit = hex_digits - 1; digit >= 0; --digit) {
        const std::uint32_t value = bucket >> (hex_bits * static_cast<std::uint32_t>(digit));
        prefix += "0123456789abcdef"[value % 16];
    }
    return prefix + '/';
}

} // namespace citronford
