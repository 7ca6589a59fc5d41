#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/result_code.h"
#include "citronford/workflow.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <variant>

namespace citronford {

// What a caller of the scheduler is told.

struct workflow_accepted {
    job_id job;
};
/// Not stored, and it never will be.
struct workflow_refused {
    result_code code = result_code::table_unavailable;
    duration retry_after{}; ///< When another try makes sense; zero: never.
};
/// The order may have been carried out.
struct workflow_in_doubt {};
struct workflow_shown {
    workflow_state state = workflow_state::pending;
};
/// There is no such workflow.
struct workflow_unknown {};
struct workflow_cancel_stored {};
struct queue_shown {
    std::uint64_t waiting = 0;
};
/// The answer cannot be known now.
struct answer_unavailable {
    duration retry_after{};
};

using workflow_answer =
    std::variant<workflow_accepted, workflow_refused, workflow_in_doubt, workflow_shown,
                 workflow_unknown, workflow_cancel_stored, queue_shown, answer_unavailable>;

using workflow_reply = std::function<void(const workflow_answer&)>;

/// What a request of a caller is addressed to.
struct workflow_address {
    std::string_view host;
    std::string_view path;
    std::string_view key; ///< As presented; empty when there is none.
};

} // namespace citronford
