#pragma once

#include "citronford/identifier.h"
#include "citronford/result_code.h"

#include <cstdint>
#include <string_view>

namespace citronford {

/// Names one caller's open request on this node.
enum class caller_id : std::uint64_t {};

/// The answer to a caller. Views are valid during the call only.
struct caller_answer {
    int status = 200;
    result_code code = result_code::ok;
    run_state state = run_state::run;
    request_id request;
    std::string_view body; ///< The answer of the backend server, or a message for a refusal.
};

/// Answers to callers.
class caller_link {
  public:
    caller_link() = default;
    caller_link(const caller_link&) = delete;
    caller_link& operator=(const caller_link&) = delete;
    caller_link(caller_link&&) = delete;
    caller_link& operator=(caller_link&&) = delete;
    virtual ~caller_link() = default;

    /// Answers a caller; the second answer to one caller breaks the promise `whole-answer` and is
    /// dropped. Ignored when the caller has gone away.
    virtual void answer(caller_id caller, const caller_answer& content) = 0;
};

} // namespace citronford
