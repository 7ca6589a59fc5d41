#include "test_support.h"

#include "citronford/memory_watch.h"
#include "io/process_memory.h"

#include <vector>

using namespace citronford;

// Guards against a process that is killed for its memory and has written nothing about it.
Test(memory_watch, reports_each_step_towards_the_limit_once) {
    memory_watch watch(1000);
    const std::pair<std::uint64_t, bool> samples[] = {
        {0, false},  {799, false}, {800, true},   {840, false}, {850, true}, {810, false},
        {990, true}, {1200, true}, {1200, false}, {500, false}, {820, true}};
    for (const auto& [bytes, reported] : samples) {
        cr_assert(watch.observe(bytes) == reported, "%llu bytes",
                  static_cast<unsigned long long>(bytes));
    }
}

Test(memory_watch, without_a_limit_reports_nothing) {
    memory_watch watch(0);
    cr_assert(!watch.observe(0) && !watch.observe(UINT64_MAX));
}

// Guards against a figure in pages or in kilobytes.
Test(memory_watch, reads_the_memory_of_this_process) {
    const auto before = resident_bytes();
    constexpr std::size_t size = 64 << 20;
    const std::vector<char> filled(size, 'x');
    const auto after = resident_bytes();
    cr_assert(before.ok() && after.ok());
    cr_assert(*after > *before + size / 2 && *after < *before + size * 2 && filled.back() == 'x');
}
