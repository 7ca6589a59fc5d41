// Measures how the cost of each role grows with the size of the fleet: one line per role with the
// fitted slopes of processor time and heap, and their residuals. docs/CAPACITY.md uses the figures.
#include "capacity/slope.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::size_t heap_bytes = 0;

/// Size of the block in front of the caller's bytes, which keeps their alignment.
constexpr std::size_t header_bytes = alignof(std::max_align_t);

void* counted_allocation(std::size_t size) {
    void* block = std::malloc(size + header_bytes);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    *static_cast<std::size_t*>(block) = size;
    heap_bytes += size;
    return static_cast<char*>(block) + header_bytes;
}

void counted_release(void* memory) {
    if (memory == nullptr) {
        return;
    }
    void* block = static_cast<char*>(memory) - header_bytes;
    heap_bytes -= *static_cast<std::size_t*>(block);
    std::free(block);
}

} // namespace

void* operator new(std::size_t size) {
    return counted_allocation(size);
}
void* operator new[](std::size_t size) {
    return counted_allocation(size);
}
void operator delete(void* memory) noexcept {
    counted_release(memory);
}
void operator delete[](void* memory) noexcept {
    counted_release(memory);
}
void operator delete(void* memory, std::size_t /*size*/) noexcept {
    counted_release(memory);
}
void operator delete[](void* memory, std::size_t /*size*/) noexcept {
    counted_release(memory);
}

namespace citronford {

std::size_t heap_in_use() {
    return heap_bytes;
}

double cpu_time_us() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    constexpr double us_per_s = 1e6;
    constexpr double ns_per_us = 1e3;
    return static_cast<double>(time.tv_sec) * us_per_s +
           static_cast<double>(time.tv_nsec) / ns_per_us;
}

std::vector<capacity_probe>& capacity_probes() {
    static std::vector<capacity_probe> probes;
    return probes;
}

line_fit fit_line(std::span<const double> sizes, std::span<const double> values) {
    const auto count = static_cast<double>(sizes.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        sum_x += sizes[index];
        sum_y += values[index];
        sum_xx += sizes[index] * sizes[index];
        sum_xy += sizes[index] * values[index];
    }
    line_fit fit;
    fit.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    fit.intercept = (sum_y - fit.slope * sum_x) / count;
    double largest = 0;
    double deviation = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const double fitted = fit.intercept + fit.slope * sizes[index];
        largest = std::max(largest, std::abs(fitted));
        deviation = std::max(deviation, std::abs(values[index] - fitted));
    }
    fit.residual = largest > 0 ? deviation / largest : 0;
    return fit;
}

} // namespace citronford

int main() {
    using namespace citronford;
    auto& probes = capacity_probes();
    std::ranges::sort(probes, {}, &capacity_probe::role);
    for (const capacity_probe& probe : probes) {
        std::vector<double> sizes;
        std::vector<double> cpu;
        std::vector<double> heap;
        std::vector<double> bytes;
        for (const std::size_t size : probe.sizes) {
            const cost_sample sample = probe.sample(size);
            sizes.push_back(sample.size);
            cpu.push_back(sample.cpu_us);
            heap.push_back(sample.heap_bytes);
            bytes.push_back(sample.message_bytes);
            std::printf("sample role=%s %s=%zu cpu_us_per_%s=%.3f heap_bytes=%.0f "
                        "message_bytes=%.0f\n",
                        probe.role.c_str(), probe.variable.c_str(), size, probe.cost_unit.c_str(),
                        sample.cpu_us, sample.heap_bytes, sample.message_bytes);
        }
        const line_fit cpu_fit = fit_line(sizes, cpu);
        const line_fit heap_fit = fit_line(sizes, heap);
        const line_fit bytes_fit = fit_line(sizes, bytes);
        std::printf("fit role=%s variable=%s cpu_us_per_%s_slope=%.6f cpu_us_intercept=%.3f "
                    "cpu_residual=%.2f heap_bytes_slope=%.1f heap_intercept=%.0f "
                    "heap_residual=%.2f message_bytes_slope=%.1f message_bytes_intercept=%.0f "
                    "message_bytes_residual=%.2f\n",
                    probe.role.c_str(), probe.variable.c_str(), probe.cost_unit.c_str(),
                    cpu_fit.slope, cpu_fit.intercept, cpu_fit.residual, heap_fit.slope,
                    heap_fit.intercept, heap_fit.residual, bytes_fit.slope, bytes_fit.intercept,
                    bytes_fit.residual);
    }
    return EXIT_SUCCESS;
}
