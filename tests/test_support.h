#pragma once

#include <criterion/criterion.h>

#include "citronford/chart.h"

#include <string>
#include <trompeloeil.hpp>

/// Turns an unmet expectation of a mock into a failure of the Criterion test that runs.
template <>
inline void trompeloeil::reporter<trompeloeil::specialized>::send(trompeloeil::severity /*level*/,
                                                                  const char* file,
                                                                  unsigned long line,
                                                                  const char* message) {
    cr_assert_fail("%s:%lu: %s", file, line, message);
}

namespace citronford {

/// Fails the test, showing both texts, unless they are equal.
inline void expect_equal(const std::string& actual, const std::string& expected) {
    cr_assert(actual == expected, "actual: %s, expected: %s", actual.c_str(), expected.c_str());
}

/// The chart `name` as installed; fails the test when it cannot be read.
inline chart installed_chart(const std::string& name) {
    auto loaded = chart::load(std::string(CITRONFORD_CHARTS) + "/" + name + ".scxml");
    cr_assert(loaded.ok(), "%s", loaded.status().ToString().c_str());
    return *std::move(loaded);
}

} // namespace citronford
