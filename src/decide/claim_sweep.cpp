#include "citronford/claim_sweep.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace citronford {
namespace {

constexpr std::string_view clock_key = "claim-clock";

/// Marks in one retention: a row is deleted at most this part of the retention later than possible.
constexpr int marks_per_retention = 24;

/// Reads a number from the start of `text` and removes it with the character after it.
std::uint64_t take_number(std::string_view& text) {
    std::uint64_t number = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number).ptr;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    text.remove_prefix(text.empty() ? 0 : 1);
    return number;
}

duration clock_period(const claim_sweep_options& options) {
    return std::min(options.clock_period, options.retention / marks_per_retention);
}

duration bucket_pause(const claim_sweep_options& options) {
    return std::max(options.bucket_pause,
                    options.retention / options.rounds / std::int64_t{options.buckets});
}

} // namespace

sweep_clock sweep_clock::parse(std::string_view text) {
    sweep_clock clock;
    clock.elapsed = duration(take_number(text));
    while (!text.empty()) {
        const duration elapsed(take_number(text));
        clock.marks.push_back({elapsed, take_number(text)});
    }
    return clock;
}

std::string sweep_clock::text() const {
    std::string text = std::to_string(elapsed.count());
    for (const mark& item : marks) {
        text += ' ' + std::to_string(item.elapsed.count()) + ':' + std::to_string(item.version);
    }
    return text;
}

table_version sweep_clock::horizon(duration time, duration retention) const {
    const auto newer = std::ranges::find_if(
        marks, [&](const mark& item) { return time - item.elapsed < retention; });
    return newer == marks.begin() ? absent_row : std::prev(newer)->version;
}

table_version claim_sweep::step_context::horizon() const {
    const duration kept =
        fault_planted("claim-retention") ? options.retention / 2 : options.retention;
    return clock.horizon(time(), kept);
}

absl::StatusOr<claim_sweep> claim_sweep::create(const chart& life_cycle,
                                                claim_sweep_options options) {
    static constexpr machine::guard guards[] = {
        {"clock_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.known_at >= clock_period(context.options) ||
                    context.version == absent_row;
         }},
        {"bucket_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.horizon() != absent_row &&
                    context.now - context.bucket_at >= bucket_pause(context.options);
         }},
        {"nothing_expired", [](const step_context& context,
                               const claim_sweep_input&) { return context.expired.empty(); }},
        {"deletion_due",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.deleted_at >= context.options.deletion_pause;
         }},
        {"pause_over",
         [](const step_context& context, const claim_sweep_input&) {
             return context.now - context.paused_at >= context.options.retry_pause;
         }},
    };
    static constexpr machine::action actions[] = {
        {"read_clock",
         [](step_context& context, const claim_sweep_input&) {
             context.effects.emplace_back(sweep_scan{++context.last_call, std::string(clock_key)});
         }},
        {"take_clock",
         [](step_context& context, const claim_sweep_input& input) {
             context.clock = {};
             context.version = absent_row;
             context.known_at = context.now;
             for (const table_row& row : std::get<sweep_read>(input).rows) {
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
             const duration last = clock.marks.empty() ? -retention : clock.marks.back().elapsed;
             if (context.version != absent_row &&
                 clock.elapsed - last >= retention / marks_per_retention) {
                 clock.marks.push_back({clock.elapsed, context.version});
             }
             clock.elapsed = context.time();
             // Of the marks before the horizon only the newest is needed.
             while (clock.marks.size() > 1 && clock.elapsed - clock.marks[1].elapsed >= retention) {
                 clock.marks.erase(clock.marks.begin());
             }
             context.effects.emplace_back(
                 sweep_transaction{++context.last_call,
                                   {{std::string(clock_key), context.version}},
                                   {{std::string(clock_key), clock.text()}}});
         }},
        {"note_clock",
         [](step_context& context, const claim_sweep_input& input) {
             context.version = std::get<sweep_committed>(input).version;
             // Rows written before the commit can be as young as this reply, not as old as the
             // call.
             context.known_at = context.now;
         }},
        {"read_rows",
         [](step_context& context, const claim_sweep_input&) {
             context.bucket_at = context.now;
             context.effects.emplace_back(
                 sweep_scan{++context.last_call, claim_bucket_prefix(context.bucket)});
             context.bucket = (context.bucket + 1) % context.options.buckets;
         }},
        {"take_rows",
         [](step_context& context, const claim_sweep_input& input) {
             context.expired.clear();
             for (const table_row& row : std::get<sweep_read>(input).rows) {
                 if (row.value && row.version <= context.horizon()) {
                     context.expired.push_back({row.key, row.version});
                 }
             }
         }},
        {"delete_rows",
         [](step_context& context, const claim_sweep_input&) {
             context.deleted_at = context.now;
             sweep_transaction transaction{++context.last_call, {}, {}};
             while (!context.expired.empty() &&
                    transaction.checks.size() < context.options.batch_limit) {
                 const table_check& row = context.expired.back();
                 invariant_monitor::check(
                     row.version <=
                         context.clock.horizon(context.time(), context.options.retention),
                     "at-most-once", "a claim row is deleted before its retention");
                 transaction.writes.push_back({row.key, std::nullopt});
                 transaction.checks.push_back(row);
                 context.expired.pop_back();
             }
             context.effects.emplace_back(std::move(transaction));
         }},
        {"note_time",
         [](step_context& context, const claim_sweep_input&) { context.paused_at = context.now; }},
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
    // The answer to a call of an earlier state says nothing about the present one.
    const bool outdated = std::visit(
        [&](const auto& event) {
            if constexpr (requires { event.call; }) {
                return event.call != context_.last_call;
            }
            return false;
        },
        input);
    if (!outdated) {
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
