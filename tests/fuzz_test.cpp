#include "test_support.h"

#include "citronford/chart.h"
#include "citronford/result_code.h"
#include "citronford/settings.h"
#include "io/configuration_codec.h"
#include "io/job_codec.h"
#include "io/url.h"

#include <fstream>
#include <random>
#include <sstream>

using namespace citronford;

namespace {

/// Fixed, so that a failure repeats; each run of a loop is one step of the same sequence.
constexpr std::uint32_t seed = 20261204;
constexpr int runs = 20000;

/// A random or mutated text. Mutations keep most of a valid text, which reaches deeper branches.
class text_source {
  public:
    text_source(std::string valid, std::string tokens)
        : valid_(std::move(valid)), tokens_(std::move(tokens)), random_(seed) {}

    std::string next() {
        std::string text = below(4) == 0 ? std::string(below(64), ' ') : valid_;
        if (text != valid_) {
            for (char& c : text) {
                c = static_cast<char>(below(256));
            }
        }
        for (std::size_t left = 1 + below(6); left > 0; --left) {
            mutate(text);
        }
        return text;
    }

  private:
    std::size_t below(std::size_t bound) { return random_() % bound; }

    void mutate(std::string& text) {
        const std::size_t at = below(text.size() + 1);
        switch (below(5)) {
        case 0:
            text.insert(at, 1, static_cast<char>(below(256)));
            break;
        case 1:
            text.insert(at, 1, tokens_[below(tokens_.size())]);
            break;
        case 2:
            text.erase(at, 1 + below(8));
            break;
        case 3:
            text.insert(at, text.substr(below(text.size() + 1), below(32)));
            break;
        default:
            if (at < text.size()) {
                text[at] = tokens_[below(tokens_.size())];
            }
        }
    }

    std::string valid_;
    std::string tokens_;
    std::mt19937 random_;
};

std::string content_of(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Parses many texts; each must be accepted or fail with exactly one of the codes and a message.
template <class Parse>
void expect_numbered(text_source source, std::initializer_list<result_code> codes, Parse parse) {
    int accepted = 0;
    for (int run = 0; run < runs; ++run) {
        const std::string text = source.next();
        const absl::Status status = parse(text);
        if (status.ok()) {
            ++accepted;
            continue;
        }
        cr_assert(std::ranges::find(codes, code_of(status)) != codes.end() &&
                      !message_of(status).empty(),
                  "run %d: code %d for: %s", run, static_cast<int>(code_of(status)), text.c_str());
    }
    cr_assert(accepted < runs, "no text was refused");
}

constexpr std::string_view json_tokens = "{}[]\",:0123456789.eE+-truefalsn\\u\0\x80";

} // namespace

// Guards against settings files that end the daemon without a clear message.
Test(fuzz, settings_give_a_numbered_error) {
    expect_numbered({"[node]\nid=a\nzone=b\n[listen]\ncallers=127.0.0.1:80\n[peers]\n"
                     "secret=0123456789abcdef\n[stop]\ndrain_delay_ms=5\n",
                     "[]=;#\n.:-0123456789"},
                    {result_code::setting_invalid},
                    [](const std::string& text) { return parse_settings(text).status(); });
}

// Guards against chart files that end the daemon without file, line and reason.
Test(fuzz, charts_give_a_numbered_error) {
    expect_numbered(
        {content_of(std::string(CITRONFORD_CHARTS) + "/request.scxml"), "<>/=\"'&;! -\nstate"},
        {result_code::chart_invalid},
        [](const std::string& text) { return chart::parse(text, "fuzz.scxml").status(); });
}

// Guards against bodies that end a daemon or get an answer without a number.
Test(fuzz, bodies_give_a_numbered_error) {
    const std::string tokens(json_tokens);
    expect_numbered({R"({"services":[{"name":"q","pool":"p","objective":0.9,"latency_ms":5}],)"
                     R"("teams":[{"name":"t","share":1,"limit":2}],"pools":[{"name":"p"}]})",
                     tokens},
                    {result_code::malformed_body, result_code::invalid_argument},
                    [](const std::string& text) { return parse_defaults(text).status(); });
    expect_numbered(
        {R"({"id":"e","scope":"zone/a","setting":"s","value":"1","reason":"r"})", tokens},
        {result_code::malformed_body, result_code::invalid_argument},
        [](const std::string& text) { return parse_exception(text).status(); });
    expect_numbered(
        {R"({"id":"j","processors":1.5,"memory_mb":64,"run_ms":10,"urgent":true})", tokens},
        {result_code::malformed_body, result_code::invalid_argument},
        [](const std::string& text) { return parse_job(text).status(); });
}

// Guards against rows of the table that end every daemon of the fleet at once.
Test(fuzz, configuration_rows_give_a_numbered_error) {
    for (const std::string key : {"config/defaults", "config/exception/e", "config/removal/a",
                                  "config/key/k", "config/other"}) {
        expect_numbered({R"({"id":"e","zone":"a","team":"t","digest":"d","reason":"r"})",
                         std::string(json_tokens)},
                        {result_code::malformed_body}, [&](const std::string& text) {
                            fleet_configuration fleet;
                            return apply_row({key, text, 1}, fleet);
                        });
    }
}

// Guards against paths that are read out of bounds or do not survive a round trip.
Test(fuzz, urls_are_decoded_within_bounds) {
    text_source source("/v1/zones/a%20b/out?reason=x%2Fy&dry_run=1", "%/?&=0aF\x80");
    for (int run = 0; run < runs; ++run) {
        const std::string text = source.next();
        for (const std::string& segment : path_segments(text)) {
            cr_assert(segment.size() <= text.size());
        }
        cr_assert(query_value(text, "reason").size() <= text.size());
        expect_equal(url_decoded(url_encoded(text)), text);
    }
}
