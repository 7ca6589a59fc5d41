#include "io/fatal_log.h"

#include "io/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

namespace citronford {
namespace {

/// A line of the log that is built without memory from the heap and without locks, since a signal
/// can interrupt both.
class fatal_line {
  public:
    explicit fatal_line(std::string_view event) {
        timespec time{};
        clock_gettime(CLOCK_REALTIME, &time);
        append("unix_s=");
        append(static_cast<long>(time.tv_sec));
        append(" level=error event=");
        append(event);
    }

    void append(std::string_view text) {
        for (const char character : text.substr(0, free_bytes())) {
            const bool plain = character >= ' ' && character != '"' && character != '\\';
            text_[size_++] = plain ? character : ' ';
        }
    }

    void append(long number) {
        std::array<char, 24> digits{};
        const auto [end, error] = std::to_chars(digits.begin(), digits.end(), number);
        append(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
    }

    void append_quoted(std::string_view text) {
        put('"');
        append(text);
        put('"');
    }

    void write() {
        text_[size_++] = '\n';
        // The process ends; there is nothing to do about a log that cannot be written.
        [[maybe_unused]] const ssize_t written = ::write(log_descriptor(), text_.data(), size_);
    }

  private:
    /// Room that leaves space for a closing quote and the end of the line.
    [[nodiscard]] std::size_t free_bytes() const { return text_.size() - 2 - size_; }

    void put(char character) {
        if (size_ < text_.size() - 1) {
            text_[size_++] = character;
        }
    }

    std::array<char, 512> text_{};
    std::size_t size_ = 0;
};

constexpr std::array<std::pair<int, std::string_view>, 5> fatal_signals = {{{SIGSEGV, "SIGSEGV"},
                                                                            {SIGBUS, "SIGBUS"},
                                                                            {SIGFPE, "SIGFPE"},
                                                                            {SIGILL, "SIGILL"},
                                                                            {SIGABRT, "SIGABRT"}}};

void write_signal(int number) {
    const auto* found =
        std::ranges::find(fatal_signals, number, &std::pair<int, std::string_view>::first);
    fatal_line line("fatal_signal");
    line.append(" signal=");
    line.append(found == fatal_signals.end() ? "unknown" : found->second);
    line.write();
    // The handler is reset, so the signal ends the process when it is raised again.
    raise(number);
}

[[noreturn]] void write_exception() {
    std::signal(SIGABRT, SIG_DFL);
    fatal_line line("fatal_exception");
    line.append(" reason=");
    try {
        const std::exception_ptr current = std::current_exception();
        if (current) {
            std::rethrow_exception(current);
        }
        line.append_quoted("terminate was called without an exception");
    } catch (const std::exception& error) {
        line.append_quoted(error.what());
    } catch (...) {
        line.append_quoted("an exception of an unknown type");
    }
    line.write();
    std::abort();
}

/// A stack for the handlers, so that an overflow of the ordinary stack is reported too.
void use_signal_stack() {
    static std::array<std::byte, 65536> memory;
    stack_t stack{};
    stack.ss_sp = memory.data();
    stack.ss_size = memory.size();
    sigaltstack(&stack, nullptr);
}

} // namespace

void log_fatal_ends() {
    use_signal_stack();
    for (const auto& [number, name] : fatal_signals) {
        struct sigaction action {};
        action.sa_handler = write_signal;
        action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
        sigaction(number, &action, nullptr);
    }
    std::set_terminate(write_exception);
}

} // namespace citronford
