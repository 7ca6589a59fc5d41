#pragma once

#include "citronford/result_code.h"

#include <string>
#include <string_view>

namespace citronford {

/// The JSON document that tells a caller or operator of an error:
/// {"code":N,"name":"...","message":"...","run_state":"..."}.
std::string error_body(result_code code, std::string_view message);

} // namespace citronford
