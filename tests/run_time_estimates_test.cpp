#include "test_support.h"

#include "citronford/run_time_estimates.h"

#include <random>

using namespace citronford;

namespace {

step_kind image_kind(const std::string& image, milliseconds estimate) {
    workflow_step step;
    step.image = image;
    step.estimate = estimate;
    return kind_of(step, queue_id("queue"), 0);
}

} // namespace

// Guards against decisions about servers from a guess: too few ends give no estimate.
Test(run_time_estimates, needs_five_ends) {
    run_time_estimates estimates;
    const step_kind kind = image_kind("a", milliseconds(100));
    for (int end = 0; end < 4; ++end) {
        estimates.add(kind, milliseconds(200));
        cr_assert(!estimates.expected(kind));
    }
    estimates.add(kind, milliseconds(200));
    cr_assert(estimates.expected(kind) == milliseconds(200));
}

// Load: workflows of one kind whose sizes differ ten times. Guards against taking a large workflow
// for a slow server.
Test(run_time_estimates, learns_the_ratio_to_the_estimate) {
    run_time_estimates estimates;
    for (int size = 1; size <= 10; ++size) {
        estimates.add(image_kind("a", milliseconds(100 * size)), milliseconds(150 * size));
    }
    const auto expected = estimates.expected(image_kind("a", milliseconds(3000)));
    cr_assert(expected.has_value());
    cr_assert(*expected > milliseconds(4490) && *expected < milliseconds(4510));
}

// Load: 10% of the servers eight times as slow, three tasks in a hundred seven times as long.
// Guards against an estimate that the slow servers raise.
Test(run_time_estimates, is_little_changed_by_slow_servers_and_heavy_tasks) {
    run_time_estimates estimates;
    const step_kind kind = image_kind("a", milliseconds(500));
    std::mt19937 random(7);
    int outliers = 0;
    for (int end = 0; end < 5000; ++end) {
        double time = 500 * (0.8 + 0.4 * std::uniform_real_distribution<>()(random));
        time *= random() % 100 < 3 ? 7 : 1;
        time *= random() % 10 == 0 ? 8 : 1;
        estimates.add(kind, milliseconds(static_cast<int>(time)));
        const auto expected = estimates.expected(kind);
        outliers += expected && *expected > milliseconds(700) ? 1 : 0;
    }
    cr_assert(outliers < 50, "%d of 5000 estimates are off", outliers);
}

// Guards against memory that grows with the names that callers choose.
Test(run_time_estimates, evicts_the_kind_whose_last_use_is_the_oldest) {
    run_time_estimates estimates(2);
    const auto learn = [&](const std::string& image) {
        for (int end = 0; end < 5; ++end) {
            estimates.add(image_kind(image, milliseconds(100)), milliseconds(100));
        }
    };
    learn("a");
    learn("b");
    cr_assert(estimates.expected(image_kind("a", milliseconds(100))));
    learn("c");
    cr_assert_eq(estimates.kinds(), 2);
    cr_assert(estimates.expected(image_kind("a", milliseconds(100))));
    cr_assert(!estimates.expected(image_kind("b", milliseconds(100))));
    cr_assert(estimates.expected(image_kind("c", milliseconds(100))));
}

// Guards against one key for steps of different work, and against a division by an estimate of 0.
Test(run_time_estimates, tells_steps_without_image_by_queue_and_number) {
    run_time_estimates estimates;
    workflow_step step;
    const step_kind first = kind_of(step, queue_id("queue"), 0);
    for (int end = 0; end < 5; ++end) {
        estimates.add(first, milliseconds(300));
        estimates.add(first, duration::zero());
    }
    cr_assert(estimates.expected(first) == milliseconds(300));
    cr_assert(!estimates.expected(kind_of(step, queue_id("queue"), 1)));
    cr_assert(!estimates.expected(kind_of(step, queue_id("other"), 0)));
    step.estimate = milliseconds(300);
    cr_assert(!estimates.expected(kind_of(step, queue_id("queue"), 0)));
}
