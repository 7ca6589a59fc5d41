#include "test_support.h"

#include "io/fatal_log.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <stdexcept>

using namespace citronford;

namespace {

struct process_end {
    int signal = 0;
    std::string log;
};

/// Runs `function` in a process of its own, which must end by a signal.
process_end end_of(const std::function<void()>& function) {
    int ends[2];
    cr_assert(pipe(ends) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        log_fatal_ends();
        function();
        _exit(0);
    }
    close(ends[1]);
    process_end result;
    char buffer[1024];
    for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof(buffer))) > 0;) {
        result.log.append(buffer, static_cast<std::size_t>(size));
    }
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    cr_assert(WIFSIGNALED(status), "status %d", status);
    result.signal = WTERMSIG(status);
    return result;
}

/// Throws from another function, since the compiler warns of a throw in one that is `noexcept`.
[[noreturn]] void fail_with(const std::string& reason) {
    throw std::runtime_error(reason);
}

void expect_line(const process_end& end, std::string_view text) {
    cr_assert(end.log.find(text) != std::string::npos && end.log.ends_with("\n"), "log: %s",
              end.log.c_str());
}

} // namespace

// Guards against a process that ends by an exception and leaves no reason in its log.
Test(fatal_log, uncaught_exception_leaves_its_reason) {
    const process_end end = end_of([]() noexcept { fail_with("the \"row\"\nis odd"); });
    cr_assert(end.signal == SIGABRT);
    expect_line(end, "level=error event=fatal_exception reason=\"the  row  is odd\"");
}

Test(fatal_log, reason_that_is_too_long_is_cut) {
    const process_end end = end_of([]() noexcept { fail_with(std::string(10000, 'x')); });
    cr_assert(end.signal == SIGABRT && end.log.size() < 600);
    expect_line(end, "xxx\"\n");
}

// Guards against a process that a library aborts and that leaves no line in its log.
Test(fatal_log, fatal_signal_leaves_its_name) {
    const process_end aborted = end_of([] { std::abort(); });
    cr_assert(aborted.signal == SIGABRT);
    expect_line(aborted, "level=error event=fatal_signal signal=SIGABRT\n");
    const process_end faulted = end_of([] { raise(SIGSEGV); });
    cr_assert(faulted.signal == SIGSEGV);
    expect_line(faulted, "level=error event=fatal_signal signal=SIGSEGV\n");
}
