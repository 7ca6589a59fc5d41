// A small blocking HTTP/1.1 server and client on loopback, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct response {
    int status = 200;
    std::string body = "{}";
};

using handler = std::function<response(const request&)>;

inline std::string url_decoded(const std::string& text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at] == '+' ? ' ' : text[at];
        }
    }
    return decoded;
}

/// Reads one message head and its body. Returns false at the end of the connection.
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body) {
    char chunk[65536];
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t size = recv(socket, chunk, sizeof(chunk), 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    head = buffer.substr(0, end + 2);
    std::string lower = head;
    for (char& character : lower) {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    std::size_t length = 0;
    const std::size_t at = lower.find("\r\ncontent-length:");
    if (at != std::string::npos) {
        length = std::strtoull(lower.c_str() + at + 17, nullptr, 10);
    }
    while (buffer.size() < end + 4 + length) {
        const ssize_t size = recv(socket, chunk, sizeof(chunk), 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline request parse_request(const std::string& head, std::string body) {
    request parsed;
    parsed.body = std::move(body);
    std::size_t line_end = head.find("\r\n");
    const std::string line = head.substr(0, line_end);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    parsed.method = line.substr(0, first);
    std::string target = line.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    parsed.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t amp = rest.find('&');
        const std::string item = rest.substr(0, amp);
        const std::size_t equal = item.find('=');
        parsed.query[item.substr(0, equal)] =
            equal == std::string::npos ? "" : url_decoded(item.substr(equal + 1));
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
    }
    while (line_end + 2 < head.size()) {
        const std::size_t begin = line_end + 2;
        line_end = head.find("\r\n", begin);
        const std::string header = head.substr(begin, line_end - begin);
        const std::size_t colon = header.find(':');
        std::string name = header.substr(0, colon);
        for (char& character : name) {
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        }
        std::size_t value = colon + 1;
        while (value < header.size() && header[value] == ' ') {
            ++value;
        }
        parsed.headers[name] = header.substr(value);
    }
    return parsed;
}

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Serves `handle` on a free port of 127.0.0.1, with a thread for each connection.
inline std::uint16_t serve(handler handle) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener, 256) != 0) {
        throw std::runtime_error("cannot listen");
    }
    socklen_t size = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([socket, handle] {
                std::string buffer;
                std::string head;
                std::string body;
                while (read_message(socket, buffer, head, body)) {
                    const response reply = handle(parse_request(head, std::move(body)));
                    const std::string text =
                        "HTTP/1.1 " + std::to_string(reply.status) +
                        " Status\r\ncontent-type: application/json\r\ncontent-length: " +
                        std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
                    if (!send_all(socket, text)) {
                        break;
                    }
                }
                close(socket);
            }).detach();
        }
    }).detach();
    return ntohs(address.sin_port);
}

/// A port that is free now.
inline std::uint16_t free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    close(socket);
    return ntohs(address.sin_port);
}

/// One request on a connection of its own; the status is 0 if there is no complete answer.
inline response call(std::uint16_t port, const std::string& method, const std::string& path,
                     const std::string& headers, const std::string& body, int timeout_s = 3) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_s, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in address = loopback(port);
    response reply{0, ""};
    std::string buffer;
    std::string head;
    if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
        send_all(socket, method + " " + path + " HTTP/1.1\r\n" + headers +
                             "connection: close\r\ncontent-length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body) &&
        read_message(socket, buffer, head, reply.body) && head.size() > 12) {
        reply.status = std::atoi(head.c_str() + 9);
    }
    close(socket);
    return reply;
}

} // namespace review
