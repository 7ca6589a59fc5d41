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

/// Time that an answer needs to reach the caller before its deadline.
inline constexpr duration answer_margin = milliseconds(250);

// Answers to a caller of the scheduler.

/// The workflow is stored.
struct workflow_accepted {
    job_id job;
};
/// The workflow is not stored, and never will be.
struct workflow_refused {
    result_code code = result_code::table_unavailable;
    duration retry_after{}; ///< Delay before a retry is useful; zero: do not retry.
};
/// The workflow may be stored.
struct workflow_in_doubt {};
struct workflow_status {
    workflow_state state = workflow_state::pending;
};
/// There is no such workflow.
struct workflow_unknown {};
/// The order to cancel the workflow is stored, or the workflow has ended already.
struct workflow_cancel_stored {};
struct queue_status {
    std::uint64_t waiting = 0; ///< Workflows none of whose tasks has started.
};
/// The answer cannot be determined while the table is unavailable.
struct answer_unavailable {
    duration retry_after{};
};

using workflow_answer =
    std::variant<workflow_accepted, workflow_refused, workflow_in_doubt, workflow_status,
                 workflow_unknown, workflow_cancel_stored, queue_status, answer_unavailable>;

using workflow_reply = std::function<void(const workflow_answer&)>;

/// Address and API key of a caller's request.
struct workflow_address {
    std::string_view host;
    std::string_view path;
    std::string_view key; ///< As presented; empty when there is none.
};

} // namespace citronford
