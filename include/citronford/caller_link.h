#pragma once

#include "citronford/identifier.h"
#include "citronford/result_code.h"

#include <cstdint>
#include <string_view>

namespace citronford {

/// Identifies the open request of one caller on this node.
enum class caller_id : std::uint64_t {};

/// The answer to a caller. The views are valid only during the call.
struct caller_answer {
    int status = 200;
    result_code code = result_code::ok;
    run_state state = run_state::run;
    request_id request;
    std::string_view body; ///< Response body of the backend server, or the reason of a refusal.
};

/// Sends answers to callers.
class caller_link {
  public:
    caller_link() = default;
    caller_link(const caller_link&) = delete;
    caller_link& operator=(const caller_link&) = delete;
    caller_link(caller_link&&) = delete;
    caller_link& operator=(caller_link&&) = delete;
    virtual ~caller_link() = default;

    /// Answers a caller. A second answer to the same caller violates the invariant `whole-answer`
    /// and is dropped. Ignored after the caller has disconnected.
    virtual void answer(caller_id caller, const caller_answer& content) = 0;
};

} // namespace citronford
