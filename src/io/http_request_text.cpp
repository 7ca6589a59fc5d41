#include "io/http_request_text.h"

namespace citronford {

std::string request_text(const endpoint& to, const http_call& call, std::string_view body,
                         bool keep_alive) {
    std::string text;
    text += call.method;
    text += ' ';
    text += call.path;
    text += " HTTP/1.1\r\nhost: " + to.address + ':' + std::to_string(to.port);
    if (!keep_alive) {
        text += "\r\nconnection: close";
    }
    text += "\r\ncontent-length: " + std::to_string(body.size());
    for (const auto& [name, value] : call.headers) {
        text += "\r\n";
        text += name;
        text += ": ";
        text += value;
    }
    text += "\r\n\r\n";
    text += body;
    return text;
}

} // namespace citronford
