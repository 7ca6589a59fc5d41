#include "citronford/overload_order.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace citronford {

namespace {

/// Part of the cores that is counted on for selected work. Tasks of 3 to 13 cores on servers of 32
/// or 64 leave 3 to 19 in a hundred unused, and run times differ from the estimates.
constexpr double usable_share = 0.75;
/// Part of its value that work is worth between its objective and the end of its useful time.
constexpr double late_worth = 0.2;
/// Work is late when its slack is below minus this part of its critical path.
constexpr int late_tolerance_divisor = 10;

constexpr double default_core_s = 1;
constexpr double least_core_s = 0.01;
constexpr double most_core_s = 1e6;
constexpr double default_value = 1;
constexpr double highest_value = 4;

double seconds_of(duration span) {
    constexpr duration longest = std::chrono::hours(24);
    return std::chrono::duration<double>(std::clamp(span, -longest, longest)).count();
}

/// Zero instead of a value that is not a number or negative.
double amount_of(double value) {
    constexpr double most = 1e9;
    return value > 0 ? std::min(value, most) : 0;
}

double core_seconds_of(const waiting_work& work) {
    return work.core_s > 0 ? std::clamp(work.core_s, least_core_s, most_core_s) : default_core_s;
}

double value_of(const waiting_work& work) {
    return work.value > 0 ? std::min(work.value, highest_value) : default_value;
}

/// One item with its checked figures.
struct item_state {
    const waiting_work* work = nullptr;
    double core_s = 0;
    double cores = 0;
    double start_by_s = 0; ///< Latest start that meets the objective, from now.
    double end_by_s = 0;   ///< Objective, from now.
    double waited_s = 0;
    double cost_per_core_s = 0; ///< Of missing the objective.
    double value_per_core_s = 0;
    work_rank rank = work_rank::in_time;
    bool aged = false;
    bool too_late = false; ///< The pool cannot end it in its useful time.

    /// Distinguishes items whose order does not matter otherwise.
    [[nodiscard]] auto identity() const {
        return std::tuple(work->priority, -value_per_core_s, -waited_s, work->job,
                          work->occurrence);
    }
};

work_rank rank_by_time(const waiting_work& work, duration critical_path) {
    if (work.useful_slack < duration::zero()) {
        return work_rank::expired;
    }
    return work.slack < -critical_path / late_tolerance_divisor ? work_rank::late
                                                                : work_rank::in_time;
}

item_state state_of(const waiting_work& work) {
    item_state item;
    item.work = &work;
    item.core_s = core_seconds_of(work);
    item.cores = amount_of(work.cores);
    const duration critical_path = std::max(work.critical_path, duration::zero());
    item.start_by_s = std::max(seconds_of(work.slack), 0.0);
    item.end_by_s = item.start_by_s + seconds_of(critical_path);
    item.waited_s = std::max(seconds_of(work.waited), 0.0);
    const double value = value_of(work);
    const double later_value = work.useful_slack > work.slack ? late_worth * value : 0;
    item.cost_per_core_s = (value - later_value) / item.core_s;
    item.value_per_core_s = value / item.core_s;
    item.rank = rank_by_time(work, critical_path);
    return item;
}

/// What the pool can do from now on.
class capacity_forecast {
  public:
    /// Without the share of aging while there is work that it is for.
    capacity_forecast(const pool_room& room, bool has_old_work)
        : cores_(amount_of(room.cores)), free_(std::min(amount_of(room.free_cores), cores_)),
          usable_cores_(cores_ * usable_share * (has_old_work ? 1 - aging_share : 1)),
          committed_core_s_(amount_of(room.committed_core_s)) {}

    /// Core-seconds for waiting work until `time` seconds from now. Busy cores are not available
    /// before the work that is committed to them is done.
    [[nodiscard]] double core_seconds_until(double time) const {
        const double committed = std::min(committed_core_s_, (cores_ - free_) * time);
        return std::max(usable_cores_ * time - committed, 0.0);
    }
    /// The time, in seconds from now, at which `core_s` of waiting work are done.
    [[nodiscard]] double time_of(double core_s) const {
        constexpr double never = 1e9;
        return cores_ > 0 ? (core_s + committed_core_s_) / usable_cores_ : never;
    }
    [[nodiscard]] double cores() const { return cores_; }
    [[nodiscard]] double free_cores() const { return free_; }

  private:
    double cores_;
    double free_;
    double usable_cores_; ///< On average, for selected work.
    double committed_core_s_;
};

/// Selects the work that meets its objective so that the cost of the rest is small: the algorithm
/// of Moore and Hodgson, with the cost for each core-second in the place of the run time.
class selection {
  public:
    selection(const capacity_forecast& forecast, std::size_t items) : forecast_(forecast) {
        selected_.reserve(items);
    }

    /// Adds items that were given in the order of their latest starts. Work that is already
    /// selected by an earlier call is never left out in favour of `item`.
    void add(item_state& item) {
        selected_.push_back(&item);
        std::push_heap(selected_.begin(), selected_.end(), keeps_longer);
        core_s_ += item.core_s;
        cores_ += item.cores;
        while (!meets_objective(item)) {
            if (leave_out_cheapest() == &item) {
                return;
            }
        }
    }

    /// What is selected now stays selected.
    void commit() { selected_.clear(); }

  private:
    /// Whether `left` is left out after `right`.
    static bool keeps_longer(const item_state* left, const item_state* right) {
        const auto key = [](const item_state& item) {
            return std::tuple(item.work->priority, -item.cost_per_core_s, item.start_by_s);
        };
        const auto left_key = key(*left);
        const auto right_key = key(*right);
        return left_key != right_key ? left_key < right_key : left->identity() < right->identity();
    }

    [[nodiscard]] bool meets_objective(const item_state& last) const {
        if (last.core_s > forecast_.cores() * last.end_by_s) {
            return false;
        }
        // Work for which there are free cores starts now, whatever is ahead of it.
        return cores_ <= forecast_.free_cores() ||
               (core_s_ - last.core_s <= forecast_.core_seconds_until(last.start_by_s) &&
                core_s_ <= forecast_.core_seconds_until(last.end_by_s));
    }

    item_state* leave_out_cheapest() {
        std::pop_heap(selected_.begin(), selected_.end(), keeps_longer);
        item_state* cheapest = selected_.back();
        selected_.pop_back();
        cheapest->rank = work_rank::deferred;
        core_s_ -= cheapest->core_s;
        cores_ -= cheapest->cores;
        return cheapest;
    }

    const capacity_forecast& forecast_;
    std::vector<item_state*> selected_; ///< A heap; the first one is left out first.
    double core_s_ = 0;                 ///< Of all selected work.
    double cores_ = 0;
};

/// Where an item stands in one order. Compared without access to the item unless all else is
/// equal, which halves the time of a sort of 20,000 items.
struct sort_key {
    int group = 0;
    int priority = 0;
    double figure = 0;
    item_state* item = nullptr;

    friend bool operator<(const sort_key& left, const sort_key& right) {
        if (left.group != right.group) {
            return left.group < right.group;
        }
        if (left.priority != right.priority) {
            return left.priority < right.priority;
        }
        return left.figure != right.figure ? left.figure < right.figure
                                           : left.item->identity() < right.item->identity();
    }
};

/// The items of a rank in the order of `key`.
template <class Key>
std::vector<sort_key> sorted_items(std::vector<item_state>& items, work_rank rank, Key key) {
    std::vector<sort_key> keys;
    keys.reserve(items.size());
    for (item_state& item : items) {
        if (item.rank == rank) {
            keys.push_back(key(item));
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

/// Leaves out the work that has no room. Returns the core-seconds of all work that was on time.
double select_in_time(std::vector<item_state>& items, const capacity_forecast& forecast) {
    const auto on_time = sorted_items(items, work_rank::in_time, [](item_state& item) {
        return sort_key{item.work->beyond_share ? 1 : 0, 0, item.start_by_s, &item};
    });
    selection chosen(forecast, on_time.size());
    bool beyond_share = false;
    double core_s = 0;
    for (const sort_key& key : on_time) {
        core_s += key.item->core_s;
        if (key.item->work->beyond_share && !beyond_share) {
            beyond_share = true;
            chosen.commit();
        }
        chosen.add(*key.item);
    }
    return core_s;
}

/// Marks late work that the pool cannot end in its useful time, when `ahead_core_s` are done first.
void mark_too_late(std::vector<item_state>& items, const capacity_forecast& forecast,
                   double ahead_core_s) {
    const auto late = sorted_items(items, work_rank::late, [](item_state& item) {
        return sort_key{item.work->beyond_share ? 1 : 0, item.work->priority,
                        -item.value_per_core_s, &item};
    });
    for (const sort_key& key : late) {
        item_state& item = *key.item;
        item.too_late = forecast.time_of(ahead_core_s) > seconds_of(item.work->useful_slack);
        ahead_core_s += item.too_late ? 0 : item.core_s;
    }
}

bool is_old(const item_state& item) {
    return item.work->may_start && item.work->waited >= least_aging_wait;
}

void mark_aged(std::vector<item_state>& items, double credit_core_s) {
    if (!(credit_core_s > 0)) {
        return;
    }
    std::vector<sort_key> waiting;
    waiting.reserve(items.size());
    for (item_state& item : items) {
        if (is_old(item)) {
            waiting.push_back({0, 0, -item.waited_s, &item});
        }
    }
    const auto waited_less = [](const sort_key& left, const sort_key& right) {
        return right < left;
    };
    std::make_heap(waiting.begin(), waiting.end(), waited_less);
    while (!waiting.empty() && credit_core_s > 0) {
        waiting.front().item->aged = true;
        credit_core_s -= waiting.front().item->core_s;
        std::pop_heap(waiting.begin(), waiting.end(), waited_less);
        waiting.pop_back();
    }
}

sort_key place_of(item_state& item) {
    const int beyond_share = item.work->beyond_share ? 1 : 0;
    if (item.aged) {
        return {0, 0, -item.waited_s, &item};
    }
    switch (item.rank) {
    case work_rank::in_time:
        return {1 + beyond_share, 0, item.start_by_s, &item};
    case work_rank::deferred:
        return {3 + beyond_share, item.work->priority, -item.value_per_core_s, &item};
    case work_rank::late:
        return {5 + (item.too_late ? 2 : 0) + beyond_share, item.work->priority,
                -item.value_per_core_s, &item};
    case work_rank::expired:
        break;
    }
    return {9, 0, -item.waited_s, &item};
}

} // namespace

std::string_view name_of(work_rank rank) {
    static constexpr std::array<std::string_view, work_ranks> names = {"in_time", "deferred",
                                                                       "late", "expired"};
    return names.at(static_cast<std::size_t>(rank));
}

std::vector<ordered_work> order_waiting_work(std::span<const waiting_work> work,
                                             const pool_room& room) {
    std::vector<item_state> items;
    items.reserve(work.size());
    for (const waiting_work& item : work) {
        items.push_back(state_of(item));
    }
    const capacity_forecast forecast(room, std::ranges::any_of(items, is_old));
    const double on_time_core_s = select_in_time(items, forecast);
    mark_too_late(items, forecast, on_time_core_s);
    mark_aged(items, room.aging_credit_core_s);

    std::vector<sort_key> order;
    order.reserve(items.size());
    for (item_state& item : items) {
        order.push_back(place_of(item));
    }
    std::sort(order.begin(), order.end());
    std::vector<ordered_work> ordered(items.size());
    for (std::uint32_t place = 0; place < order.size(); ++place) {
        const item_state& item = *order[place].item;
        ordered[static_cast<std::size_t>(&item - items.data())] = {item.rank, item.aged, place};
    }
    return ordered;
}

void aging_account::note_start(double core_s, bool aged, double pool_cores) {
    const double work = core_s > 0 ? std::clamp(core_s, least_core_s, most_core_s) : default_core_s;
    const double per_second = aging_share * amount_of(pool_cores);
    const double change = aged ? (aging_share - 1) * work : aging_share * work;
    credit_core_s_ = std::clamp(credit_core_s_ + change, -per_second * longest_debt.count(),
                                per_second * longest_credit.count());
}

} // namespace citronford
