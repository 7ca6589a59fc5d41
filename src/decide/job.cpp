#include "citronford/job.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr std::array<std::pair<job_state, std::string_view>, 7> names{{
    {job_state::queued, "queued"},
    {job_state::started, "started"},
    {job_state::done, "done"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
    {job_state::unknown, "unknown"},
    {job_state::cannot_run, "cannot_run"},
}};

} // namespace

std::string_view name_of(job_state state) {
    return names[static_cast<std::size_t>(state)].second;
}

job_state job_state_of(std::string_view name) {
    const auto* found =
        std::ranges::find(names, name, [](const auto& item) { return item.second; });
    return found == names.end() ? job_state::unknown : found->first;
}

} // namespace citronford
