#pragma once

#include "citronford/identifier.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronford {

// Rows of the scheduler in the platform's table, "table/part/key":
//
//   control/owner/owner      who owns the scheduler; its version is the fencing token
//   control/owner/renewal    written by the owner while it lives
//   work/{part}/{job}        a workflow as accepted; "ended" once its end is saved
//   work/{part}/{job}!cancel order to cancel it
//   progress/run/{job}       its state and the tasks that are done; written by the owner only
//   progress/run/!fence      changed by each write of progress, which bars late ones
//   shown/queues/waiting     waiting workflows of each queue; names the owner that wrote it
//   waves/run/{number}       which VMs of a wave have been maintained

inline constexpr std::string_view owner_row_key = "control/owner/owner";
inline constexpr std::string_view renewal_row_key = "control/owner/renewal";
inline constexpr std::string_view owner_rows_prefix = "control/owner/";
inline constexpr std::string_view work_rows_prefix = "work/";
inline constexpr std::string_view progress_rows_prefix = "progress/run/";
inline constexpr std::string_view progress_fence_key = "progress/run/!fence";
inline constexpr std::string_view waiting_row_key = "shown/queues/waiting";
inline constexpr std::string_view wave_rows_prefix = "waves/run/";
inline constexpr std::string_view ended_work_value = "ended";

/// Parts of the work rows, which the table writes side by side.
inline constexpr std::uint32_t work_part_count = 4;

/// The part of a job.
std::uint32_t work_part(const job_id& job);

std::string work_part_prefix(std::uint32_t part);
std::string work_row_key(const job_id& job);
std::string cancel_row_key(const job_id& job);
std::string progress_row_key(const job_id& job);

/// The job that the key of a work, cancel or progress row names.
struct job_row_key {
    job_id job;
    bool is_cancel = false;
};
job_row_key parse_job_row_key(std::string_view key);

} // namespace citronford
