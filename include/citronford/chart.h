#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// One transition of a chart, as written in its file.
struct chart_transition {
    std::string event;                 ///< Name of the triggering event.
    std::string guard;                 ///< Name of the condition; empty when unconditional.
    std::optional<std::size_t> target; ///< Index of the target state; none keeps the state.
    std::vector<std::string> actions;  ///< Names of the actions, in order.
    int line = 0;
};

struct chart_state {
    std::string id;
    bool is_final = false;
    std::vector<std::string> entry_actions;
    std::vector<std::string> exit_actions;
    std::vector<chart_transition> transitions;
    int line = 0;
};

/// A state chart read from a file in a subset of W3C SCXML (https://www.w3.org/TR/scxml/): flat
/// states, `initial`, `final`, `onentry`, `onexit`, `transition` with `event`, `cond` and `target`,
/// and custom executable content `<cf:action name="..."/>`. `cond` names a guard of the program.
/// Transitions without an event are not part of the subset.
class chart {
  public:
    /// Parses `text`; `file_name` is used in messages only. Fails with `chart_invalid` and
    /// "file:line: reason" on malformed XML, an unsupported element, an unknown target, a duplicate
    /// or unreachable state, and a chart without a final state.
    static absl::StatusOr<chart> parse(std::string_view text, std::string_view file_name);

    /// Reads and parses the file at `path`. Blocking; for start-up only.
    static absl::StatusOr<chart> load(const std::string& path);

    [[nodiscard]] std::string_view name() const { return name_; }
    [[nodiscard]] std::string_view file_name() const { return file_name_; }
    [[nodiscard]] std::span<const chart_state> states() const { return states_; }
    [[nodiscard]] std::size_t initial() const { return initial_; }

  private:
    friend class chart_reader;
    chart() = default;

    std::string name_;
    std::string file_name_;
    std::vector<chart_state> states_;
    std::size_t initial_ = 0;
};

} // namespace citronford
