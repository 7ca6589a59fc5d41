#include "io/process_memory.h"

#include "citronford/result_code.h"

#include <unistd.h>

#include <fstream>

namespace citronford {

absl::StatusOr<std::uint64_t> resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    if (!(file >> total_pages >> resident_pages)) {
        return make_status(result_code::internal_error, "/proc/self/statm cannot be read");
    }
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace citronford
