#pragma once

#include "citronford/backend.h"
#include "citronford/workflow.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// Number of an ownership; a backend server carries out nothing for a number lower than one that it
/// has seen.
using fencing_token = std::uint64_t;

/// Milliseconds on the steady clock of one backend server.
using backend_clock_ms = std::int64_t;

/// Where an order goes.
struct backend_address {
    backend_id id; ///< Another life of the VM at the same address refuses the order.
    endpoint at;
};

struct run_order {
    task_key task;
    std::uint32_t run = 0; ///< Number of the run; rises with each start of the task.
    std::string_view payload;
    backend_clock_ms lease_until = 0; ///< Everything on the server ends then unless it is renewed.
    fencing_token token = 0;
    std::string_view checkpoint; ///< Where an earlier run had got to; empty: from the start.
    std::string_view ticket;     ///< Permission of the advice service; empty: none needed.
};

struct stop_order {
    task_key task;
    std::uint32_t run = 0;
    fencing_token token = 0;
};

struct pace_order {
    task_key task;
    std::uint32_t run = 0;
    int percent = 100; ///< Share of its processors at which the task works.
    fencing_token token = 0;
};

/// Renews the lease of all runs of a server and asks for its lists.
struct look_order {
    fencing_token token = 0;
    std::optional<backend_clock_ms> lease_until; ///< Absent: renews nothing.
    std::uint64_t ends_seen = 0; ///< Ends up to this number are forgotten by the server.
    duration wait{};             ///< The answer waits for an end, at most this long.
};

struct running_task {
    task_key task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 100;     ///< Share at which it works; 100: at work.
    std::int64_t load = 0; ///< Tail in ms of a task that serves; millicores in use of any other.
};

enum class run_end { done, failed, stopped, lapsed, partner_ended, partners_missing };

struct ended_task {
    std::uint64_t number = 0; ///< Of the end; rises within a life of the server.
    task_key task;
    std::uint32_t run = 0;
    run_end how = run_end::done;
    std::string checkpoint;
};

// Results of orders.

enum class order_refusal {
    fenced,
    superseded_run,
    lease_over,
    no_room,
    no_ticket,
    unhealthy,
    malformed
};

/// The order was carried out.
struct order_done {
    backend_clock_ms clock = 0;
};
/// The order was not carried out and will not be.
struct order_refused {
    order_refusal why = order_refusal::malformed;
};
/// Another life of the VM answered; the intended one is gone.
struct backend_replaced {};
/// No byte was sent.
struct backend_unreachable {};
/// The order may be carried out, also seconds later.
struct order_in_doubt {};

using order_result =
    std::variant<order_done, order_refused, backend_replaced, backend_unreachable, order_in_doubt>;

/// The lists of a server.
struct backend_view {
    backend_clock_ms clock = 0;
    std::int64_t born_unix_ms = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended; ///< In rising order of numbers.
    bool all_ends = true;          ///< Whether no further end waits to be listed.
};

using look_result = std::variant<backend_view, order_refused, backend_replaced, backend_unreachable,
                                 order_in_doubt>;

/// Connections to the backend servers that run tasks. Each callback is called exactly once, within
/// the timeout, and never from inside the call.
class backend_link {
  public:
    using order_callback = std::function<void(order_result)>;
    using look_callback = std::function<void(look_result)>;

    backend_link() = default;
    backend_link(const backend_link&) = delete;
    backend_link& operator=(const backend_link&) = delete;
    backend_link(backend_link&&) = delete;
    backend_link& operator=(backend_link&&) = delete;
    virtual ~backend_link() = default;

    virtual void start(const backend_address& to, const run_order& order, duration timeout,
                       order_callback done) = 0;
    virtual void stop(const backend_address& to, const stop_order& order, duration timeout,
                      order_callback done) = 0;
    virtual void pace(const backend_address& to, const pace_order& order, duration timeout,
                      order_callback done) = 0;

    /// The timeout counts beside the wait of the order.
    virtual void look(const backend_address& to, const look_order& order, duration timeout,
                      look_callback done) = 0;
};

} // namespace citronford
