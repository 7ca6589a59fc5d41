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
    endpoint address;
};

struct start_command {
    task_key task;
    std::uint32_t run = 0; ///< Number of the run; rises with each start of the task.
    std::string_view payload;
    backend_clock_ms lease_until = 0; ///< Everything on the server ends then unless it is renewed.
    fencing_token token = 0;
    std::string_view checkpoint; ///< Where an earlier run had got to; empty: from the start.
    std::string_view ticket;     ///< Permission of the advice service; empty: none needed.
};

struct stop_command {
    task_key task;
    std::uint32_t run = 0;
    fencing_token token = 0;
};

struct throttle_command {
    task_key task;
    std::uint32_t run = 0;
    int percent = 100; ///< Share of its processors at which the task works.
    fencing_token token = 0;
};

/// Renews the lease of all runs of a server and asks for its lists.
struct poll_request {
    fencing_token token = 0;
    std::optional<backend_clock_ms> lease_until; ///< Absent: renews nothing.
    std::uint64_t acknowledged_completion =
        0;               ///< Ends up to this number are forgotten by the server.
    duration max_wait{}; ///< The answer waits for an end, at most this long.
};

struct running_task {
    task_key task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 100;     ///< Share at which it works; 100: at work.
    std::int64_t load = 0; ///< Tail in ms of a task that serves; millicores in use of any other.
};

enum class completion_kind { done, failed, stopped, lapsed, gang_member_ended, gang_incomplete };

struct run_completion {
    std::uint64_t number = 0; ///< Of the end; rises within a life of the server.
    task_key task;
    std::uint32_t run = 0;
    completion_kind kind = completion_kind::done;
    std::string checkpoint;
};

// Results of orders.

enum class command_refusal {
    fenced,
    superseded_run,
    lease_expired,
    insufficient_capacity,
    no_ticket,
    unhealthy,
    malformed
};

/// The order was carried out.
struct command_accepted {
    backend_clock_ms clock = 0;
};
/// The order was not carried out and will not be.
struct command_refused {
    command_refusal reason = command_refusal::malformed;
};
/// Another life of the VM answered; the intended one is gone.
struct backend_replaced {};
/// No byte was sent.
struct backend_unreachable {};
/// The order may be carried out, also seconds later.
struct command_in_doubt {};

using command_result = std::variant<command_accepted, command_refused, backend_replaced,
                                    backend_unreachable, command_in_doubt>;

/// The lists of a server.
struct poll_reply {
    backend_clock_ms clock = 0;
    std::int64_t process_start_unix_ms = 0;
    std::vector<running_task> running;
    std::vector<run_completion> completions; ///< In rising order of numbers.
    bool has_all_completions = true;         ///< Whether no further end waits to be listed.
};

using poll_result = std::variant<poll_reply, command_refused, backend_replaced, backend_unreachable,
                                 command_in_doubt>;

/// Connections to the backend servers that run tasks. Each callback is called exactly once, within
/// the timeout, and never from inside the call.
class backend_link {
  public:
    using command_callback = std::function<void(command_result)>;
    using poll_callback = std::function<void(poll_result)>;

    backend_link() = default;
    backend_link(const backend_link&) = delete;
    backend_link& operator=(const backend_link&) = delete;
    backend_link(backend_link&&) = delete;
    backend_link& operator=(backend_link&&) = delete;
    virtual ~backend_link() = default;

    virtual void start(const backend_address& to, const start_command& command, duration timeout,
                       command_callback done) = 0;
    virtual void stop(const backend_address& to, const stop_command& command, duration timeout,
                      command_callback done) = 0;
    virtual void throttle(const backend_address& to, const throttle_command& command,
                          duration timeout, command_callback done) = 0;

    /// The timeout counts beside the wait of the order.
    virtual void poll(const backend_address& to, const poll_request& request, duration timeout,
                      poll_callback done) = 0;
};

} // namespace citronford
