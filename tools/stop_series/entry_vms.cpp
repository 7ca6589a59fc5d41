#include "stop_series/entry_vms.h"

#include "citronford/result_code.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

namespace citronford {
namespace {

/// Interval of the load balancer's readiness probes, and the failures in a row that take a VM out
/// of rotation.
constexpr duration probe_period = seconds(1);
constexpr int max_missed_probes = 2;

constexpr duration probe_timeout = milliseconds(900);

constexpr const char* platform_host = "127.0.0.1";

absl::Status file_error(const std::string& path) {
    return make_status(result_code::internal_error, "cannot use the file " + path);
}

/// A loopback address that no other process of this machine uses as its own.
std::string own_loopback_address() {
    constexpr unsigned loopback_network = 127U << 24U;
    constexpr unsigned process_mask = 0x3FFFFF;
    constexpr unsigned outside_first_block = 1U << 22U;
    in_addr address{};
    address.s_addr = htonl(loopback_network | outside_first_block |
                           (static_cast<unsigned>(getpid()) & process_mask));
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

std::string text_of(const endpoint& at) {
    return at.address + ":" + std::to_string(at.port);
}

std::string replaced(std::string text, const std::string& mark, const std::string& value) {
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size())) {
        text.replace(at, mark.size(), value);
    }
    return text;
}

} // namespace

/// The handle of a child process; freed by the loop.
struct entry_vms::process_handle {
    uv_process_t handle{};
    entry_vms* owner = nullptr;
    std::size_t vm = 0;
};

absl::StatusOr<std::unique_ptr<entry_vms>> entry_vms::create(uv_loop_t* loop, timer_service& timers,
                                                             entry_vm_options options,
                                                             std::size_t count) {
    std::unique_ptr<entry_vms> fleet(new entry_vms(loop, timers, std::move(options)));
    const std::string address = own_loopback_address();
    for (std::size_t number = 1; number <= count; ++number) {
        const absl::Status added = fleet->add(number, address);
        if (!added.ok()) {
            return added;
        }
    }
    fleet->probe_ticks_ =
        timers.every(probe_period, [owner = fleet.get()](instant) { owner->probe_all(); });
    return fleet;
}

entry_vms::entry_vms(uv_loop_t* loop, timer_service& timers, entry_vm_options options)
    : loop_(loop), timers_(timers), options_(std::move(options)), probes_(loop, timers) {}

entry_vms::~entry_vms() {
    kill_all();
}

absl::Status entry_vms::add(std::size_t number, const std::string& address) {
    constexpr std::uint16_t first_port = 9000;
    constexpr std::uint16_t ports_of_vm = 10;
    const auto port = static_cast<std::uint16_t>(first_port + number * ports_of_vm);
    auto vm = std::make_unique<entry_vm>();
    vm->name = "entry-" + std::to_string(number);
    vm->callers = {address, port};
    vm->health = {address, static_cast<std::uint16_t>(port + 1)};
    vm->metrics = {address, static_cast<std::uint16_t>(port + 2)};
    vm->settings = options_.directory + "/" + vm->name + ".ini";
    vm->log = options_.directory + "/" + vm->name + ".log";
    std::ifstream source(options_.template_path);
    if (!source) {
        return file_error(options_.template_path);
    }
    std::string text((std::istreambuf_iterator<char>(source)), std::istreambuf_iterator<char>());
    const std::pair<const char*, std::string> values[] = {
        {"Node", vm->name},
        {"Zone", "zone-" + std::to_string(number)},
        {"Limits.CpuShare", "0.25"},
        {"Limits.LinkMbps", "1000.0"},
        {"Limits.MemoryMb", "260"},
        {"Listen.Front", text_of(vm->callers)},
        {"Listen.Ready", text_of(vm->health)},
        {"Ip", address},
        {"PortRange.0", std::to_string(vm->metrics.port)},
        {"platform.Address", text_of({platform_host, options_.store_port})},
        {"platform.RowBytes", "65536"},
        {"Cloud.Address", text_of({platform_host, options_.vm_list_port})},
        {"Advice", ""},
        {"Bounds.HoldMaxMs", std::to_string(to_ms(options_.longest_lease))},
        {"Bounds.StopTimeoutMs", "900"},
        {"Bounds.LeaseMs", "3000"},
        {"Bounds.GraceS", std::to_string(to_ms(options_.stop_grace) / 1000)},
        {"Bounds.MoveS", "1.5"},
        {"Bounds.MaintenanceS", "2"}};
    for (const auto& [name, value] : values) {
        text = replaced(std::move(text), "{{" + std::string(name) + "}}", value);
    }
    text = replaced(std::move(text), "[node]\n", "[node]\ncharts = " + options_.charts + "\n");
    std::ofstream settings(vm->settings);
    settings << text;
    if (!settings.flush()) {
        return file_error(vm->settings);
    }
    vms_.push_back(std::move(vm));
    return absl::OkStatus();
}

void entry_vms::on_end(std::function<void(const ended_process&)> function) {
    ended_ = std::move(function);
}

void entry_vms::launch(std::size_t vm) {
    entry_vm& launched = *vms_[vm];
    auto* process = new process_handle{{}, this, vm};
    process->handle.data = process;
    const int log =
        open(launched.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    uv_stdio_container_t output{};
    output.flags = UV_INHERIT_FD;
    output.data.fd = log;
    std::array<uv_stdio_container_t, 3> files = {uv_stdio_container_t{UV_IGNORE, {}}, output,
                                                 output};
    std::array<char*, 4> arguments = {options_.program.data(), const_cast<char*>("--settings"),
                                      launched.settings.data(), nullptr};
    uv_process_options_t options{};
    options.file = options_.program.c_str();
    options.args = arguments.data();
    options.stdio = files.data();
    options.stdio_count = static_cast<int>(files.size());
    options.exit_cb = [](uv_process_t* handle, std::int64_t exit_code, int signal_number) {
        auto* ended = static_cast<process_handle*>(handle->data);
        ended->owner->process_ended(ended->vm, exit_code, signal_number);
        uv_close(reinterpret_cast<uv_handle_t*>(handle),
                 [](uv_handle_t* closed) { delete static_cast<process_handle*>(closed->data); });
    };
    const int error = uv_spawn(loop_, &process->handle, &options);
    close(log);
    if (launched.killed) {
        launched.last_stop_at.reset();
    }
    launched.killed = false;
    launched.started = false;
    launched.pid = error == 0 ? process->handle.pid : 0;
}

void entry_vms::request_stop(std::size_t vm) {
    entry_vm& stopped = *vms_[vm];
    send(vm, SIGTERM);
    if (stopped.stop_at) {
        return;
    }
    stopped.stop_at = timers_.now();
    stopped.last_stop_at = stopped.stop_at;
    stopped.kill_timer =
        timers_.after(options_.stop_grace, [this, vm](instant) { kill(vms_[vm]->pid, SIGKILL); });
}

void entry_vms::send(std::size_t vm, int signal_number) const {
    entry_vm& target = *vms_[vm];
    target.killed = target.killed || signal_number == SIGKILL;
    if (target.pid != 0) {
        kill(target.pid, signal_number);
    }
}

void entry_vms::kill_all() const {
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        send(vm, SIGKILL);
    }
}

std::optional<duration> entry_vms::since_stop(std::size_t vm) const {
    const auto& stop_at = vms_[vm]->last_stop_at;
    return stop_at ? std::optional(timers_.now() - *stop_at) : std::nullopt;
}

void entry_vms::process_ended(std::size_t vm, std::int64_t exit_code, int signal_number) {
    entry_vm& stopped = *vms_[vm];
    stopped.pid = 0;
    stopped.kill_timer.cancel();
    ended_process ended{vm, {}, exit_code, signal_number};
    if (stopped.stop_at) {
        ended.after_stop = timers_.now() - *stopped.stop_at;
    }
    stopped.stop_at.reset();
    if (ended_) {
        ended_(ended);
    }
}

std::vector<std::size_t> entry_vms::rotation() const {
    std::vector<std::size_t> in_rotation;
    std::vector<std::size_t> all;
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        all.push_back(vm);
        if (vms_[vm]->ready) {
            in_rotation.push_back(vm);
        }
    }
    return 2 * in_rotation.size() < all.size() ? all : in_rotation;
}

void entry_vms::probe_all() {
    for (const auto& item : vms_) {
        entry_vm* vm = item.get();
        probes_.call(vm->health, {"GET", "/ready", {}, {}, probe_timeout},
                     [vm](const http_result& result) {
                         constexpr int ok = 200;
                         const auto* reply = std::get_if<http_reply>(&result);
                         vm->started = vm->started || (reply != nullptr && vm->pid != 0);
                         if (reply != nullptr && reply->status == ok) {
                             vm->missed_probes = 0;
                             vm->ready = true;
                         } else if (++vm->missed_probes >= max_missed_probes) {
                             vm->ready = false;
                         }
                     });
    }
}

} // namespace citronford
