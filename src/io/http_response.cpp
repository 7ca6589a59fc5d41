#include "io/http_response.h"

#include "io/error_body.h"

#include <string>

namespace citronford {

void send_error(const http_responder& responder, result_code code, std::string_view message) {
    const result_code_entry& entry = entry_of(code);
    const std::string number = std::to_string(static_cast<int>(entry.code));
    const std::string body = error_body(code, message);
    const http_header headers[] = {{"result-code", number}, {"run-state", name_of(entry.state)}};
    responder.send({entry.http_status, headers, body});
}

void send_error(const http_responder& responder, const absl::Status& status) {
    send_error(responder, code_of(status), message_of(status));
}

void send_json(const http_responder& responder, std::string_view document) {
    responder.send({200, {}, document});
}

} // namespace citronford
