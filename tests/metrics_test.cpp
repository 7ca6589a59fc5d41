#include "test_support.h"

#include "io/burn_page.h"
#include "io/log.h"
#include "io/metrics.h"

#include <cstdio>
#include <unistd.h>

using namespace citronford;

// Guards against quantiles that hide slow answers.
Test(latency_histogram, gives_quantiles_to_one_percent) {
    latency_histogram counts;
    cr_assert(counts.quantile(0.5) == duration::zero());
    for (int index = 1; index <= 1000; ++index) {
        counts.record(milliseconds(index));
    }
    const auto near = [&](double share, double expected_ms) {
        const double actual_ms = static_cast<double>(counts.quantile(share).count()) / 1000;
        return actual_ms >= expected_ms * 0.99 && actual_ms <= expected_ms * 1.01;
    };
    cr_assert(near(0.5, 500) && near(0.95, 950) && near(0.999, 999));
    cr_assert(counts.longest() == milliseconds(1000) && counts.quantile(1) == milliseconds(1000));
    const std::uint64_t half = counts.count_up_to(milliseconds(500));
    cr_assert(half >= 495 && half <= 505);
}

// Guards against text that a scraper cannot parse.
Test(metrics, writes_the_exposition_format) {
    metrics registry;
    const metric_label labels[] = {{"service", "a\"b"}, {"code", "0"}};
    registry.add("x_total", labels);
    registry.add("x_total", labels, 2);
    registry.set("y", {}, 1.5);
    registry.observe("z_seconds", {}, milliseconds(30));
    const std::string text = registry.text();
    const auto has = [&](const char* line) { return text.find(line) != std::string::npos; };
    cr_assert(has("# TYPE x_total counter\nx_total{service=\"a\\\"b\",code=\"0\"} 3\n"));
    cr_assert(has("# TYPE y gauge\ny 1.5\n"));
    cr_assert(has("z_seconds_bucket{le=\"0.02\"} 0\nz_seconds_bucket{le=\"0.05\"} 1\n"));
    cr_assert(has("z_seconds_bucket{le=\"+Inf\"} 1\nz_seconds_sum 0.03\nz_seconds_count 1\n"));
}

// Guards against memory that grows with names that callers choose.
Test(metrics, bounds_the_label_sets) {
    metrics registry;
    for (std::size_t index = 0; index < metrics::most_series + 5; ++index) {
        const std::string name = std::to_string(index);
        const metric_label labels[] = {{"n", name}};
        registry.add("x_total", labels);
    }
    cr_assert(registry.text().find("x_total{n=\"1003\"}") == std::string::npos);
    cr_assert(registry.text().find("citronford_metrics_dropped_total 5\n") != std::string::npos);
}

// Guards against a failure that fills the log, and against one whose extent the log hides.
Test(log, limits_repeated_events_with_a_count) {
    log_limiter limiter;
    instant now{};
    int written = 0;
    for (int index = 0; index < 100; ++index) {
        written += limiter.log_repeated(log_level::error, "e", "1", now, {}) ? 1 : 0;
    }
    cr_assert(written == log_limiter::burst);
    cr_assert(limiter.log_repeated(log_level::error, "e", "2", now, {}), "kinds are independent");
    now += log_limiter::period;
    cr_assert(limiter.log_repeated(log_level::error, "e", "1", now, {}));
}

// Guards against a count of suppressed lines that is lost, and against a level that does not change
// while the process runs.
Test(log, writes_the_count_of_suppressed_lines_at_the_level_in_force) {
    std::FILE* const file = std::tmpfile();
    cr_assert(file != nullptr && dup2(fileno(file), STDERR_FILENO) >= 0);
    log_limiter limiter;
    const instant now{};
    for (int index = 0; index < 12; ++index) {
        limiter.log_repeated(log_level::warning, "e", "1", now, {});
    }
    limiter.log_repeated(log_level::warning, "e", "1", now + log_limiter::period, {});
    set_log_level(log_level::error);
    log_event(log_level::warning, "hidden", {});
    set_log_level(log_level::warning);
    log_event(log_level::warning, "shown", {});
    std::rewind(file);
    std::string text(4096, ' ');
    text.resize(std::fread(text.data(), 1, text.size(), file));
    std::fclose(file);
    std::size_t lines = 0;
    for (std::size_t at = text.find("event=e"); at != std::string::npos;
         at = text.find("event=e", at + 1)) {
        ++lines;
    }
    cr_assert_eq(lines, log_limiter::burst + 1);
    cr_assert(text.find("event=e suppressed=7\n") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("hidden") == std::string::npos && text.find("shown") != std::string::npos);
}

// Guards against a page that executes a name as markup.
Test(burn_page, escapes_names) {
    burn_report report;
    report.service = service_id("<script>");
    report.objective = 0.99;
    report.windows = {{std::chrono::hours(1), {100, 50}, 50}};
    const std::string page = burn_html("n&1", std::span(&report, 1), seconds(60));
    cr_assert(page.find("<script>") == std::string::npos);
    cr_assert(page.find("&lt;script&gt;") != std::string::npos);
    cr_assert(page.find("n&amp;1") != std::string::npos && page.find("<svg") != std::string::npos);
}
