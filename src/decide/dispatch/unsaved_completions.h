#pragma once

#include <cstdint>
#include <deque>

namespace citronford::dispatch {

/// Numbers the changes of workflows in the order in which they are saved. A change with a lower
/// ticket is saved no later.
using save_ticket = std::uint64_t;

/// Completions of one server that were applied to workflows and must be saved before they are
/// acknowledged to the server.
class unsaved_completions {
  public:
    /// Notes that the completion `number` has been applied. It is stored once the change `ticket`
    /// is; zero for a completion that changed nothing.
    void add(std::uint64_t number, save_ticket ticket) {
        applied_ = number;
        pending_.push_back({number, ticket});
    }

    /// Takes note that all changes up to `saved` are stored.
    void advance(save_ticket saved) {
        while (!pending_.empty() && pending_.front().ticket <= saved) {
            saved_ = pending_.front().number;
            pending_.pop_front();
        }
    }

    /// Highest number that was applied.
    [[nodiscard]] std::uint64_t applied() const { return applied_; }

    /// Highest number up to which all completions are stored; the server may drop these.
    [[nodiscard]] std::uint64_t saved() const { return saved_; }

    [[nodiscard]] bool empty() const { return pending_.empty(); }

  private:
    struct completion {
        std::uint64_t number = 0;
        save_ticket ticket = 0;
    };
    std::uint64_t applied_ = 0;
    std::uint64_t saved_ = 0;
    std::deque<completion> pending_; ///< In the order of numbers.
};

} // namespace citronford::dispatch
