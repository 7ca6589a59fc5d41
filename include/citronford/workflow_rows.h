#pragma once

#include "citronford/identifier.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronford {

// Rows of the scheduler in the platform's table, "table/part/key":
//
//   control/owner/owner      the owner of the scheduler; its version is the fencing token
//   control/owner/renewal    written by the owner to renew its lease
//   control/owner/offer      offer of a VM with more capacity to take over from the owner
//   work/{part}/{job}        an accepted workflow; "ended" once its final state is saved
//   work/{part}/{job}!cancel order to cancel the workflow
//   progress/run/{job}       state and completed tasks of the workflow; written only by the owner
//   progress/run/!fence      changed by each write of progress, so that delayed writes conflict
//   shown/queues/waiting     waiting workflows of each queue, with the token of the owner
//   shown/pools/load         pools under pressure, with the token of the owner
//   waves/run/{number}       the VMs of a wave that have been maintained

inline constexpr std::string_view owner_row_key = "control/owner/owner";
inline constexpr std::string_view renewal_row_key = "control/owner/renewal";
inline constexpr std::string_view offer_row_key = "control/owner/offer";
inline constexpr std::string_view owner_rows_prefix = "control/owner/";
inline constexpr std::string_view work_rows_prefix = "work/";
inline constexpr std::string_view progress_rows_prefix = "progress/run/";
inline constexpr std::string_view progress_fence_key = "progress/run/!fence";
inline constexpr std::string_view waiting_row_key = "shown/queues/waiting";
inline constexpr std::string_view load_row_key = "shown/pools/load";
inline constexpr std::string_view wave_rows_prefix = "waves/run/";
inline constexpr std::string_view ended_work_value = "ended";

/// Number of parts of the work rows; the table writes different parts in parallel.
inline constexpr std::uint32_t work_part_count = 4;

/// The part that the row of a job belongs to.
std::uint32_t work_part(const job_id& job);

std::string work_part_prefix(std::uint32_t part);
std::string work_row_key(const job_id& job);
std::string cancel_row_key(const job_id& job);
std::string progress_row_key(const job_id& job);

/// The parsed key of a work, cancel or progress row.
struct job_row_key {
    job_id job;
    bool is_cancel = false;
};
job_row_key parse_job_row_key(std::string_view key);

} // namespace citronford
