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

/// Number of an ownership of the scheduler. A backend server refuses requests with a token lower
/// than the highest that it has seen.
using fencing_token = std::uint64_t;

/// Milliseconds on the steady clock of one backend server.
using backend_clock_ms = std::int64_t;

/// Start of a process of a backend server, by its time of day. A server that restarts keeps its
/// identifier, so this tells its processes apart.
using process_start_ms = std::int64_t;
inline constexpr process_start_ms unknown_process = 0;

/// Destination of a request to a backend server.
struct backend_address {
    backend_id id; ///< Another incarnation of the VM at the same address refuses the request.
    endpoint address;
};

struct start_command {
    task_key task;
    std::uint32_t run = 0; ///< Number of the run; increases with each start of the task.
    std::string_view payload;
    backend_clock_ms lease_until =
        0; ///< All runs on the server end then unless the lease is renewed.
    fencing_token token = 0;
    std::string_view checkpoint; ///< Last checkpoint of the earlier runs; empty when there is none.
    std::string_view ticket;     ///< Permit from the advice service; empty when none is needed.
    /// Process for whose clock the lease is computed. The command is not sent to another one, which
    /// would turn the lease into the longest one, and might not know the fencing token of a next
    /// owner. With `unknown_process`, it is sent to any.
    process_start_ms process = unknown_process;
};

struct stop_command {
    task_key task;
    std::uint32_t run = 0;
    fencing_token token = 0;
};

struct throttle_command {
    task_key task;
    std::uint32_t run = 0;
    int percent = 100; ///< Share of its processors that the task may use.
    fencing_token token = 0;
};

/// Renews the lease of all runs on a server and asks for its running tasks and completions.
///
/// Only the process that the sender has polled may get the lease and the acknowledgement: a new one
/// has another clock and numbers its completions anew. On a connection that is not known to lead to
/// `process`, the poll is sent without lease, acknowledgement and delay.
struct poll_request {
    fencing_token token = 0;
    std::optional<backend_clock_ms> lease_until{}; ///< Absent: the lease is not renewed.
    /// The server drops completions up to this number.
    std::uint64_t acknowledged_completion = 0;
    /// The server delays its reply until a task ends, at most for this time.
    duration max_wait{};
    /// Process to which the lease and the acknowledgement apply.
    process_start_ms process = unknown_process;
};

struct running_task {
    task_key task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 100;     ///< Rate at which the task works; 100: full rate.
    std::int64_t load = 0; ///< Tail latency in ms of a serving task; otherwise millicores in use.
};

/// How a run ended. `lapsed`: the lease expired.
enum class completion_kind { done, failed, stopped, lapsed, gang_member_ended, gang_incomplete };

/// The end of a run, kept by the server until it is acknowledged.
struct run_completion {
    std::uint64_t number = 0; ///< Increases within an incarnation of the server.
    task_key task;
    std::uint32_t run = 0;
    completion_kind kind = completion_kind::done;
    std::string checkpoint;
};

// Results of requests.

enum class command_refusal {
    fenced,
    superseded_run,
    lease_expired,
    insufficient_capacity,
    no_ticket,
    unhealthy,
    malformed
};

/// The command was executed.
struct command_accepted {
    backend_clock_ms clock = 0;
};
/// The request was not executed and will not be.
struct command_refused {
    command_refusal reason = command_refusal::malformed;
};
/// Another incarnation of the VM answered; the intended one is gone.
struct backend_replaced {};
/// The command or poll was not sent.
struct backend_unreachable {};
/// The request may have been executed, or may still be executed seconds later.
struct command_in_doubt {
    /// The connection is known to lead to the process that the command names, so no later process
    /// of the server has received it.
    bool process_known = false;
};

using command_result = std::variant<command_accepted, command_refused, backend_replaced,
                                    backend_unreachable, command_in_doubt>;

/// Running tasks and completions of a server.
struct poll_reply {
    backend_clock_ms clock = 0;
    std::int64_t process_start_unix_ms = 0;
    std::vector<running_task> running;
    std::vector<run_completion> completions; ///< Not acknowledged yet, in order of their numbers.
    bool has_all_completions = true;         ///< False: the server has more than fit in a reply.
};

using poll_result = std::variant<poll_reply, command_refused, backend_replaced, backend_unreachable,
                                 command_in_doubt>;

/// Sends requests to the backend servers that run tasks. Each callback is called exactly once,
/// within the timeout, and never from inside the call.
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

    /// The timeout is added to `request.max_wait`.
    virtual void poll(const backend_address& to, const poll_request& request, duration timeout,
                      poll_callback done) = 0;
};

} // namespace citronford
