#pragma once

#include "citronford/instant.h"

#include <cstddef>

namespace citronford::dispatch {

/// Limits the starts that wait for an answer, so that an owner that is short of processor time or
/// of bandwidth keeps up with the leases of the tasks that run.
///
/// Servers answer a start within milliseconds. When most answers take longer, the VM of the owner
/// is behind: its loop or its link delays every call, renewals of leases among them. The limit then
/// falls by a part of the starts that wait, and rises by single starts while answers are prompt.
class start_window {
  public:
    /// Whether `count` more starts may be sent. A group that is larger than the limit may be sent
    /// when nothing else waits for an answer.
    [[nodiscard]] bool has_room(std::size_t count = 1) const {
        return waiting_ == 0 || waiting_ + count <= limit_;
    }

    void note_sent() { ++waiting_; }

    /// A start was answered `round_trip` after it was sent.
    void note_answered(duration round_trip, instant now);

    /// A start has ended without an answer. Servers that fail cause this as well, so it does not
    /// change the limit.
    void note_unanswered();

    /// A start has been held back.
    void note_held_back(instant now);

    /// Whether starts have been held back within the last second by a limit that late answers have
    /// lowered.
    [[nodiscard]] bool limits_work(instant now) const;

    [[nodiscard]] std::size_t limit() const { return limit_; }

  private:
    static constexpr std::size_t initial_limit = 1024;
    std::size_t limit_ = initial_limit;
    std::size_t waiting_ = 0;
    double late_share_ = 0; ///< Of the last answers.
    instant reduced_at_ = instant::min();
    instant held_back_at_ = instant::min();
};

} // namespace citronford::dispatch
