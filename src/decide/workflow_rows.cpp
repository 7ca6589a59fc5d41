#include "citronford/workflow_rows.h"

#include <xxhash.h>

namespace citronford {
namespace {

constexpr std::string_view cancel_suffix = "!cancel";

} // namespace

std::uint32_t work_part(const job_id& job) {
    return static_cast<std::uint32_t>(XXH64(job.view().data(), job.view().size(), 0) %
                                      work_part_count);
}

std::string work_part_prefix(std::uint32_t part) {
    return std::string(work_rows_prefix) + std::to_string(part) + '/';
}

std::string work_row_key(const job_id& job) {
    return work_part_prefix(work_part(job)) + job.str();
}

std::string cancel_row_key(const job_id& job) {
    return work_row_key(job) + std::string(cancel_suffix);
}

std::string progress_row_key(const job_id& job) {
    return std::string(progress_rows_prefix) + job.str();
}

job_row_key parse_job_row_key(std::string_view key) {
    job_row_key name;
    key.remove_prefix(key.rfind('/') + 1);
    if (key.ends_with(cancel_suffix)) {
        key.remove_suffix(cancel_suffix.size());
        name.is_cancel = true;
    }
    name.job = job_id(key);
    return name;
}

} // namespace citronford
