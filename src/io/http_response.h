#pragma once

#include "citronford/result_code.h"
#include "io/http_server.h"

#include <absl/status/status.h>

#include <string_view>

namespace citronford {

/// Answers with the error document of `code`.
void send_error(const http_responder& responder, result_code code, std::string_view message);

/// Answers with the error document of a failed status.
void send_error(const http_responder& responder, const absl::Status& status);

/// Answers 200 with a JSON document.
void send_json(const http_responder& responder, std::string_view document);

} // namespace citronford
