#include "io/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <utility>

namespace citronford::http_detail {
namespace {

void free_connection(uv_handle_t* handle) {
    delete static_cast<connection*>(handle->data);
}

/// Ends the use of a connection that is about to be closed.
void forget(connection& closed) {
    closed.call = nullptr;
    if (closed.shared != nullptr) {
        std::erase(closed.shared->open, &closed);
    }
}

} // namespace

bool is_alive(const connection& idle) {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&idle.socket), &descriptor) != 0) {
        return false;
    }
    char byte = 0;
    const ssize_t size = recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void close_connection(connection* closed) {
    forget(*closed);
    uv_close(closed->handle(), free_connection);
}

void reset_connection(connection* closed) {
    forget(*closed);
    if (uv_tcp_close_reset(&closed->socket, free_connection) != 0) {
        uv_close(closed->handle(), free_connection);
    }
}

connection* take_idle(shared_endpoint& shared, peer_id peer) {
    while (!shared.idle.empty()) {
        const auto same_peer =
            std::ranges::find(shared.idle.rbegin(), shared.idle.rend(), peer, &connection::peer);
        const auto chosen = peer == unknown_peer || same_peer == shared.idle.rend()
                                ? std::prev(shared.idle.end())
                                : std::prev(same_peer.base());
        connection* taken = *chosen;
        shared.idle.erase(chosen);
        if (is_alive(*taken)) {
            return taken;
        }
        close_connection(taken);
    }
    return nullptr;
}

void close_idle(shared_endpoint& shared) {
    for (connection* idle : std::exchange(shared.idle, {})) {
        close_connection(idle);
    }
}

} // namespace citronford::http_detail
