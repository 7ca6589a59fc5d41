#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Work that a team submits; it runs as one task on one worker.
struct job_definition {
    job_id id;
    team_id team;       ///< Empty on an open queue.
    service_id queue;   ///< Empty for the queue of the team.
    resources size;     ///< As declared; the measured usage may differ widely.
    milliseconds run{}; ///< Declared run time; zero if not known.
    bool urgent = false;
    bool restartable = false; ///< Whether the task may be started more than once.
};

/// State of a job as stored in its table row.
enum class job_state { queued, started, done, failed, cancelled, unknown, cannot_run };

/// Value of the table row `job/{id}`.
struct job_row {
    job_definition job;
    node_id owner;
    std::uint64_t epoch = 0;      ///< Incarnation of the owner.
    std::uint64_t generation = 0; ///< Incremented with every change of the owner.
    job_state state = job_state::queued;
    worker_id worker;          ///< Worker of the latest start; empty before the first.
    std::uint32_t attempt = 0; ///< Number of the latest start.
    bool cancel = false;       ///< Set when cancellation was requested; the owner carries it out.
    std::string reason;        ///< Why the job failed or cannot run.
    std::vector<node_id> visited; ///< Nodes that have no worker large enough for the job.
};

std::string_view name_of(job_state state);

/// The state named `name`; `unknown` for any other text.
job_state job_state_of(std::string_view name);

/// Whether `state` is final.
constexpr bool ended(job_state state) {
    return state != job_state::queued && state != job_state::started;
}

} // namespace citronford
