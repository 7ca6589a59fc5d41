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
    resources size;     ///< As declared; may be far from the usage.
    milliseconds run{}; ///< Run time as declared; zero when not known.
    bool urgent = false;
    bool restartable = false; ///< Whether the task may be started more than once.
};

/// What the table tells of a job.
enum class job_state { queued, started, done, failed, cancelled, unknown, cannot_run };

/// The row `job/{id}`.
struct job_row {
    job_definition job;
    node_id owner;
    std::uint64_t epoch = 0;      ///< Incarnation of the owner.
    std::uint64_t generation = 0; ///< Rises with every change of the owner.
    job_state state = job_state::queued;
    worker_id worker;             ///< Worker of the latest start; empty before the first.
    std::uint32_t attempt = 0;    ///< Number of the latest start.
    bool cancel = false;          ///< Whether the job is to be cancelled by its owner.
    std::string reason;           ///< Why the job failed or cannot run.
    std::vector<node_id> visited; ///< Nodes none of whose workers is large enough.
};

std::string_view name_of(job_state state);

/// The state named `name`; `unknown` for any other text.
job_state job_state_of(std::string_view name);

/// Whether a job in `state` will not run any more.
constexpr bool ended(job_state state) {
    return state != job_state::queued && state != job_state::started;
}

} // namespace citronford
