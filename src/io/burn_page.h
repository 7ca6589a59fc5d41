#pragma once

#include "citronford/service_levels.h"

#include <span>
#include <string>
#include <string_view>

namespace citronford {

/// The error budgets as JSON. `covered` tells how long the counts reach back.
std::string burn_json(std::string_view node, std::span<const burn_report> reports,
                      duration covered);

/// The error budgets as one HTML page with inline SVG, which loads nothing else.
std::string burn_html(std::string_view node, std::span<const burn_report> reports,
                      duration covered);

} // namespace citronford
