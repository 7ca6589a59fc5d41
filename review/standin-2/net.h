// A small HTTP/1.1 server and client on loopback, on one thread with poll().
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace standin {

/// Milliseconds of the steady clock since the program started.
inline std::int64_t now_ms() {
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 begin)
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/// Takes a complete message from the front of `input`; returns false while it is not complete.
inline bool take_message(std::string& input, message& result) {
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    message parsed;
    std::size_t at = input.find("\r\n");
    parsed.first_line = input.substr(0, at);
    while (at < head_end) {
        const std::size_t begin = at + 2;
        at = input.find("\r\n", begin);
        const std::string line = input.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        for (char& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        parsed.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::size_t length = std::strtoul(parsed.header("content-length").c_str(), nullptr, 10);
    if (input.size() < head_end + 4 + length) {
        return false;
    }
    parsed.body = input.substr(head_end + 4, length);
    input.erase(0, head_end + 4 + length);
    result = std::move(parsed);
    return true;
}

class loop {
  public:
    using action = std::function<void()>;
    using input_handler = std::function<void(short)>;

    void after(std::int64_t ms, action run) { timers_.emplace(now_ms() + ms, std::move(run)); }

    void watch(int fd, short events, input_handler handler) {
        watched_[fd] = {events, std::make_shared<input_handler>(std::move(handler))};
    }
    void forget(int fd) { watched_.erase(fd); }

    void run_until(std::int64_t end_ms) {
        while (now_ms() < end_ms) {
            turn(end_ms);
        }
    }
    void run_for(std::int64_t ms) { run_until(now_ms() + ms); }

    /// Runs until `done` or the time is over; returns whether it is done.
    bool run_while_not(const std::function<bool()>& done, std::int64_t longest_ms) {
        const std::int64_t end = now_ms() + longest_ms;
        while (!done() && now_ms() < end) {
            turn(std::min(end, now_ms() + 5));
        }
        return done();
    }

  private:
    void turn(std::int64_t end_ms) {
        while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
            const action run = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            run();
        }
        std::int64_t wait = end_ms - now_ms();
        if (!timers_.empty()) {
            wait = std::min(wait, timers_.begin()->first - now_ms());
        }
        std::vector<pollfd> fds;
        for (const auto& [fd, item] : watched_) {
            fds.push_back({fd, item.events, 0});
        }
        poll(fds.data(), fds.size(), static_cast<int>(std::max<std::int64_t>(0, wait)));
        for (const pollfd& item : fds) {
            const auto found = watched_.find(item.fd);
            if (item.revents != 0 && found != watched_.end()) {
                const auto handler = found->second.handler;
                (*handler)(item.revents);
            }
        }
    }

    struct watched {
        short events = 0;
        std::shared_ptr<input_handler> handler;
    };
    std::multimap<std::int64_t, action> timers_;
    std::map<int, watched> watched_;
};

inline void set_socket_options(int fd) {
    fcntl(fd, F_SETFL, O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Sends all of a small text on a socket of loopback.
inline void send_all(int fd, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size > 0) {
            sent += static_cast<std::size_t>(size);
        } else if (errno == EAGAIN) {
            pollfd item{fd, POLLOUT, 0};
            if (poll(&item, 1, 1000) <= 0) {
                return;
            }
        } else {
            return;
        }
    }
}

/// A port that is free at present, below the range from which the system takes ports of clients.
inline int free_port() {
    constexpr int first = 12000;
    constexpr int ports = 18000;
    static int next = static_cast<int>(getpid()) * 101 % ports;
    while (true) {
        const int port = first + next++ % ports;
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        const bool usable =
            bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (usable) {
            return port;
        }
    }
}

class server {
  public:
    using responder = std::function<void(int status, const std::string& body)>;
    using handler = std::function<void(const message&, const responder&)>;

    server(loop& on, handler handle) : loop_(on), handle_(std::move(handle)) {
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        set_socket_options(fd_);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        listen(fd_, 256);
        loop_.watch(fd_, POLLIN, [this](short) { accept_one(); });
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() { end(); }

    int port() const { return port_; }

    /// Closes the listening socket and all connections, like the end of a process.
    void end() {
        if (fd_ < 0) {
            return;
        }
        loop_.forget(fd_);
        close(fd_);
        fd_ = -1;
        for (const auto& [fd, state] : connections_) {
            loop_.forget(fd);
            close(fd);
            state->open = false;
        }
        connections_.clear();
    }

  private:
    struct connection {
        bool open = true;
        bool busy = false; ///< A request waits for its answer.
        std::string input;
    };

    void accept_one() {
        const int fd = accept(fd_, nullptr, nullptr);
        if (fd < 0) {
            return;
        }
        set_socket_options(fd);
        connections_[fd] = std::make_shared<connection>();
        loop_.watch(fd, POLLIN, [this, fd](short) { read_input(fd); });
    }

    void drop(int fd) {
        loop_.forget(fd);
        close(fd);
        connections_[fd]->open = false;
        connections_.erase(fd);
    }

    void read_input(int fd) {
        char bytes[65536];
        const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            if (size == 0 || errno != EAGAIN) {
                drop(fd);
            }
            return;
        }
        connections_[fd]->input.append(bytes, static_cast<std::size_t>(size));
        serve(fd);
    }

    void serve(int fd) {
        const std::shared_ptr<connection> state = connections_.at(fd);
        message request;
        if (state->busy || !take_message(state->input, request)) {
            return;
        }
        state->busy = true;
        handle_(request, [this, fd, state](int status, const std::string& body) {
            if (!state->open || !state->busy) {
                return;
            }
            send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
            state->busy = false;
            serve(fd);
        });
    }

    loop& loop_;
    handler handle_;
    int fd_ = -1;
    int port_ = 0;
    std::map<int, std::shared_ptr<connection>> connections_;
};

/// Sends one request on a connection of its own. The status is 0 without an answer.
inline void call(loop& on, int port, const std::string& text, std::int64_t timeout_ms,
                 std::function<void(int status, const std::string& body)> done) {
    struct state {
        int fd = -1;
        bool sent = false;
        bool ended = false;
        std::string input;
        std::function<void(int, const std::string&)> done;
    };
    auto call_state = std::make_shared<state>();
    call_state->done = std::move(done);
    call_state->fd = socket(AF_INET, SOCK_STREAM, 0);
    set_socket_options(call_state->fd);
    const sockaddr_in address = loopback(port);
    connect(call_state->fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const auto finish = [&on, call_state](int status, const std::string& body) {
        if (std::exchange(call_state->ended, true)) {
            return;
        }
        on.forget(call_state->fd);
        close(call_state->fd);
        call_state->done(status, body);
    };
    on.after(timeout_ms, [finish] { finish(0, ""); });
    on.watch(call_state->fd, POLLOUT, [&on, call_state, text, finish](short events) {
        if (!call_state->sent) {
            if ((events & (POLLERR | POLLHUP)) != 0) {
                finish(0, "");
                return;
            }
            call_state->sent = true;
            send_all(call_state->fd, text);
            const int fd = call_state->fd;
            on.watch(fd, POLLIN, [call_state, finish](short) {
                char bytes[65536];
                const ssize_t size = recv(call_state->fd, bytes, sizeof(bytes), 0);
                if (size <= 0) {
                    finish(0, "");
                    return;
                }
                call_state->input.append(bytes, static_cast<std::size_t>(size));
                message reply;
                if (take_message(call_state->input, reply)) {
                    finish(std::atoi(reply.first_line.c_str() + 9), reply.body);
                }
            });
        }
    });
}

} // namespace standin
