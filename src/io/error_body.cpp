#include "io/error_body.h"

#include <nlohmann/json.hpp>

namespace citronford {

std::string error_body(result_code code, std::string_view message) {
    const result_code_entry& entry = entry_of(code);
    const nlohmann::json document = {{"code", static_cast<int>(entry.code)},
                                     {"name", entry.name},
                                     {"message", message},
                                     {"run_state", name_of(entry.state)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace citronford
