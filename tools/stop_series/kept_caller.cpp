#include "stop_series/kept_caller.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace citronford {
namespace {

/// Time that a caller waits for an answer: longer than the deadline that it gives, so that a pause
/// of a process on a busy machine is not taken for an answer that was never sent.
constexpr duration answer_timeout = 2 * caller_deadline;

/// Pause after an attempt to connect that failed.
constexpr duration reconnect_pause = milliseconds(50);

/// Attempts to hand in one job.
constexpr int max_attempts = 5;

constexpr int ok = 200;
constexpr int too_many = 429;
constexpr int unavailable = 503;

/// The value of the header `name` (lower case) in the head of a message; empty when absent.
std::string header_of(std::string_view head, const std::string& name) {
    std::string lower(head);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::string mark = "\r\n" + name + ": ";
    const std::size_t at = lower.find(mark);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + mark.size();
    return lower.substr(begin, lower.find("\r\n", begin) - begin);
}

/// Size of the whole answer at the start of `bytes`; 0 while its head is incomplete.
std::size_t answer_size(std::string_view bytes) {
    constexpr std::string_view head_end = "\r\n\r\n";
    const std::size_t end = bytes.find(head_end);
    if (end == std::string_view::npos) {
        return 0;
    }
    const std::string length = header_of(bytes.substr(0, end + 2), "content-length");
    return end + head_end.size() + std::strtoull(length.c_str(), nullptr, 10);
}

int status_of(std::string_view bytes) {
    constexpr std::size_t status_at = 9; // After "HTTP/1.1 ".
    constexpr std::size_t digits = 3;
    int status = 0;
    if (bytes.size() >= status_at + digits) {
        std::from_chars(bytes.data() + status_at, bytes.data() + status_at + digits, status);
    }
    return status;
}

/// A job of one task, or one of three tasks that always fail.
std::string job_body(std::string_view spec) {
    return R"({"Spec":")" + std::string(spec) + R"(","Steps":[{"Count":)" +
           (spec == failing_spec ? "3" : "1") + R"(,"Cpu":1000,"MemMb":64,"EstimateMs":400}]})";
}

} // namespace

std::string job_name(std::uint64_t number) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 16;
    std::string name(length, '0');
    for (std::size_t place = length; place > 0; --place) {
        name[place - 1] = digits[number % digits.size()];
        number /= digits.size();
    }
    return name;
}

/// A connection of a caller. The caller forgets it when it drops it; the loop frees it.
struct kept_caller::connection {
    uv_tcp_t socket{};
    uv_connect_t connecting{};
    uv_write_t writing{};
    kept_caller* owner = nullptr; ///< Null once the caller has dropped the connection.
    std::size_t vm = 0;
    bool ended = false;  ///< By the peer, while no request was open.
    std::string request; ///< Being written.
    std::array<char, 65536> input{};

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
    static connection* of(const uv_handle_t* handle) {
        return static_cast<connection*>(handle->data);
    }
};

kept_caller::kept_caller(uv_loop_t* loop, timer_service& timers, const entry_vms& fleet,
                         caller_target target, caller_options options, std::uint64_t number,
                         std::uint64_t seed, outcome_callback done)
    : loop_(loop), timers_(timers), fleet_(fleet), target_(std::move(target)), options_(options),
      number_(number), random_(seed * 100003 + number), done_(std::move(done)) {}

std::int64_t kept_caller::below(std::int64_t limit) {
    return std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(limit - 1, 0))(
        random_);
}

void kept_caller::start() {
    pause_ = timers_.after(milliseconds(below(to_ms(options_.max_pause) + 1)),
                           [this](instant) { send_next(); });
}

void kept_caller::send_next() {
    if (finishing_) {
        drop_connection();
        return;
    }
    if (!waiting_) {
        choose_request();
        waiting_ = true;
    }
    if (open_ != nullptr && open_->ended) {
        done_({request_.method, open_->vm, request_end::stale, 0, {}, 0});
        drop_connection();
    }
    if (open_ == nullptr) {
        connect();
    } else {
        write_request();
    }
}

void kept_caller::choose_request() {
    constexpr std::int64_t shares = 100;
    constexpr std::int64_t submissions = 30;
    constexpr std::int64_t queue_reads = 15;
    constexpr std::int64_t cancels = 3;
    const std::int64_t drawn = below(shares);
    const bool none_accepted = jobs_.accepted.empty();
    if (!submission_.job.empty() || none_accepted || drawn < submissions) {
        choose_submission();
    } else if (drawn < submissions + queue_reads) {
        request_ = {"GET", "", "", {}};
    } else {
        const auto index =
            static_cast<std::size_t>(below(static_cast<std::int64_t>(jobs_.accepted.size())));
        request_ = {"GET", jobs_.accepted[index], "", {}};
        if (drawn >= shares - cancels) {
            request_.method = "DELETE";
            jobs_.cancelled.push_back(request_.job);
            jobs_.accepted.erase(jobs_.accepted.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    const std::string body = request_.method == "POST" ? job_body(submission_.spec) : "";
    request_.text = std::string(request_.method) + " " + target_.prefix + request_.job +
                    " HTTP/1.1\r\nhost: " + target_.host + "\r\nauthorization: Token " +
                    target_.key + "\r\ncontent-type: application/json\r\ndeadline-ms: " +
                    std::to_string(to_ms(caller_deadline)) +
                    "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void kept_caller::choose_submission() {
    if (submission_.job.empty()) {
        constexpr std::uint64_t jobs_of_caller = 1000000;
        constexpr std::int64_t percent = 100;
        // Nothing is drawn without such jobs, so that seeds keep their meaning.
        const auto drawn = [&](std::int64_t share) { return share > 0 && below(percent) < share; };
        submission_ = {job_name(number_ * jobs_of_caller + ++last_job_)};
        if (drawn(options_.failing_percent)) {
            submission_.spec = failing_spec;
        } else if (drawn(options_.long_percent)) {
            submission_.spec = long_spec;
        }
    }
    ++submission_.attempts;
    request_ = {"POST", submission_.job, "", {}};
}

void kept_caller::connect() {
    const std::vector<std::size_t> candidates = fleet_.rotation();
    const std::size_t vm =
        candidates[static_cast<std::size_t>(below(static_cast<std::int64_t>(candidates.size())))];
    open_ = new connection();
    open_->owner = this;
    open_->vm = vm;
    open_->socket.data = open_;
    open_->connecting.data = open_;
    open_->writing.data = open_;
    uv_tcp_init(loop_, &open_->socket);
    uv_tcp_nodelay(&open_->socket, 1);
    const endpoint& to = fleet_.callers(vm);
    sockaddr_in address{};
    uv_ip4_addr(to.address.c_str(), to.port, &address);
    const int error = uv_tcp_connect(&open_->connecting, &open_->socket,
                                     reinterpret_cast<const sockaddr*>(&address),
                                     [](uv_connect_t* connecting, int status) {
                                         auto* to = static_cast<connection*>(connecting->data);
                                         if (to->owner != nullptr) {
                                             to->owner->connected(to, status);
                                         }
                                     });
    if (error != 0) {
        connected(open_, error);
    }
}

void kept_caller::connected(connection* to, int status) {
    if (status != 0) {
        done_({request_.method, to->vm, request_end::unreachable, 0, {}, 0});
        drop_connection();
        pause_ = timers_.after(reconnect_pause, [this](instant) { send_next(); });
        return;
    }
    uv_read_start(
        to->stream(),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            connection* from = connection::of(handle);
            *buffer = uv_buf_init(from->input.data(), static_cast<unsigned>(from->input.size()));
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
            connection* from = connection::of(reinterpret_cast<uv_handle_t*>(stream));
            if (from->owner == nullptr || size == 0) {
                return;
            }
            if (size > 0) {
                from->owner->received(from, {buffer->base, static_cast<std::size_t>(size)});
            } else {
                from->owner->connection_ended(from);
            }
        });
    write_request();
}

void kept_caller::write_request() {
    open_->request = request_.text;
    answer_.clear();
    request_.sent_at = timers_.now();
    uv_buf_t buffer =
        uv_buf_init(open_->request.data(), static_cast<unsigned>(open_->request.size()));
    // A failed write shows as the end of the connection, too.
    uv_write(&open_->writing, open_->stream(), &buffer, 1, [](uv_write_t*, int) {});
    timeout_ =
        timers_.after(answer_timeout, [this](instant) { end_request(request_end::unanswered, 0); });
}

void kept_caller::received(connection* from, std::string_view bytes) {
    if (!waiting_) {
        drop_connection();
        return;
    }
    answer_ += bytes;
    const std::size_t size = answer_size(answer_);
    if (size == 0 || answer_.size() < size) {
        return;
    }
    const int status = status_of(answer_);
    const bool closing = header_of(answer_, "connection") == "close";
    end_request(request_end::answered, status);
    if (closing && open_ == from) {
        drop_connection();
    }
}

void kept_caller::connection_ended(connection* ended) {
    if (waiting_) {
        end_request(request_end::cut, 0);
    } else {
        ended->ended = true;
    }
}

void kept_caller::end_request(request_end end, int status) {
    waiting_ = false;
    timeout_.cancel();
    done_({request_.method, open_->vm, end, status, timers_.now() - request_.sent_at,
           answer_.size()});
    if (request_.method == "POST") {
        note_submission(end, status);
    }
    if (end != request_end::answered) {
        drop_connection();
    }
    pause_ = timers_.after(milliseconds(below(to_ms(options_.max_pause) + 1)),
                           [this](instant) { send_next(); });
}

void kept_caller::note_submission(request_end end, int status) {
    if (end == request_end::answered && status == ok) {
        (submission_.spec == failing_spec ? jobs_.failing : jobs_.accepted)
            .push_back(submission_.job);
        jobs_.accepted_at.emplace(submission_.job, timers_.now());
        submission_ = {};
        return;
    }
    const bool refused =
        end == request_end::answered && (status == unavailable || status == too_many);
    submission_.in_doubt = submission_.in_doubt || !refused;
    if (submission_.attempts < max_attempts) {
        return;
    }
    if (!submission_.in_doubt) {
        jobs_.refused.push_back(submission_.job);
    }
    submission_ = {};
}

void kept_caller::drop_connection() {
    if (open_ == nullptr) {
        return;
    }
    connection* dropped = std::exchange(open_, nullptr);
    dropped->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&dropped->socket),
             [](uv_handle_t* handle) { delete connection::of(handle); });
}

} // namespace citronford
