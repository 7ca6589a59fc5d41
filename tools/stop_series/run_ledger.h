#pragma once

#include "citronford/instant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronford {

/// One run of a task on one process of a backend server.
struct run_record {
    std::string task;
    std::string backend;
    std::uint32_t run = 0;
    std::uint64_t token = 0; ///< Of the owner that started it.
    instant started;
    bool running = true;
    bool done = false;
    bool forfeited = false; ///< The lease lapsed before its end was acknowledged.
    bool doubled = false;   ///< Another run of the task began while this one ran.
};

/// What all backend servers have run, by task.
class run_ledger {
  public:
    /// The server keeps the record up to date.
    std::shared_ptr<run_record> note_start(run_record started);

    /// Whether a task of the job `id` was started.
    [[nodiscard]] bool has_run(const std::string& id) const;

    /// When the first task of the job `id` was started; none if nothing was.
    [[nodiscard]] std::optional<instant> first_start(const std::string& id) const;

    /// Starts of tasks that ran elsewhere at the same time, or that were done before. The end of a
    /// run does not count once a lapsed lease or a crash has kept the owner from learning of it.
    [[nodiscard]] std::size_t doubled() const;

  private:
    std::map<std::string, std::vector<std::shared_ptr<run_record>>> tasks_;
    std::size_t overlapping_ = 0;
    /// Ends before which their tasks were started again.
    std::vector<std::shared_ptr<run_record>> repeated_;
};

} // namespace citronford
