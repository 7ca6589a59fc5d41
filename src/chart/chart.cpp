#include "citronford/chart.h"

#include "citronford/result_code.h"

#include <pugixml.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace citronford {

/// Reads one SCXML document into a chart and checks its structure.
class chart_reader {
  public:
    chart_reader(std::string_view text, std::string_view file_name)
        : text_(text), file_name_(file_name) {}

    absl::StatusOr<chart> read() {
        pugi::xml_document document;
        const auto parsed = document.load_buffer(text_.data(), text_.size());
        if (!parsed) {
            return error(parsed.offset, parsed.description());
        }
        const auto root = document.document_element();
        if (std::string_view(root.name()) != "scxml") {
            return error(root, "the root element must be scxml");
        }
        result_.name_ = root.attribute("name").value();
        result_.file_name_ = file_name_;
        absl::Status status = read_states(root);
        if (status.ok()) {
            status = resolve_targets();
        }
        if (status.ok()) {
            status = resolve_initial(root);
        }
        if (status.ok()) {
            status = check_reachability();
        }
        if (!status.ok()) {
            return status;
        }
        return std::move(result_);
    }

  private:
    [[nodiscard]] int line_at(std::ptrdiff_t offset) const {
        const auto end = std::clamp<std::ptrdiff_t>(offset, 0, std::ssize(text_));
        return 1 + static_cast<int>(std::count(text_.begin(), text_.begin() + end, '\n'));
    }

    [[nodiscard]] absl::Status error_at_line(int line, std::string_view reason) const {
        std::ostringstream message;
        message << file_name_ << ':' << line << ": " << reason;
        return make_status(result_code::chart_invalid, message.str());
    }

    [[nodiscard]] absl::Status error(std::ptrdiff_t offset, std::string_view reason) const {
        return error_at_line(line_at(offset), reason);
    }

    [[nodiscard]] absl::Status error(const pugi::xml_node& node, std::string_view reason) const {
        return error(node.offset_debug(), reason);
    }

    absl::Status read_states(const pugi::xml_node& root) {
        for (const auto& node : root.children()) {
            if (node.type() == pugi::node_comment) {
                continue;
            }
            const std::string_view element = node.name();
            if (element != "state" && element != "final") {
                return error(node, "unsupported element '" + std::string(element) + "'");
            }
            absl::Status status = read_state(node, element == "final");
            if (!status.ok()) {
                return status;
            }
        }
        const bool has_final =
            std::ranges::any_of(result_.states_, [](const auto& state) { return state.is_final; });
        return has_final ? absl::OkStatus() : error(root, "the chart has no final state");
    }

    absl::Status read_state(const pugi::xml_node& node, bool is_final) {
        chart_state state;
        state.id = node.attribute("id").value();
        state.is_final = is_final;
        state.line = line_at(node.offset_debug());
        if (state.id.empty()) {
            return error(node, "a state has no id");
        }
        if (!indices_.emplace(state.id, result_.states_.size()).second) {
            return error(node, "duplicate state '" + state.id + "'");
        }
        targets_.emplace_back();
        for (const auto& child : node.children()) {
            absl::Status status = read_state_child(child, state);
            if (!status.ok()) {
                return status;
            }
        }
        result_.states_.push_back(std::move(state));
        return absl::OkStatus();
    }

    absl::Status read_state_child(const pugi::xml_node& node, chart_state& state) {
        if (node.type() == pugi::node_comment) {
            return absl::OkStatus();
        }
        const std::string_view element = node.name();
        if (element == "onentry") {
            return read_actions(node, state.entry_actions);
        }
        if (element == "onexit") {
            return read_actions(node, state.exit_actions);
        }
        if (element != "transition") {
            return error(node, "unsupported element '" + std::string(element) + "'");
        }
        if (state.is_final) {
            return error(node, "the final state '" + state.id + "' has a transition");
        }
        chart_transition transition;
        transition.event = node.attribute("event").value();
        transition.guard = node.attribute("cond").value();
        transition.line = line_at(node.offset_debug());
        if (transition.event.empty()) {
            return error(node, "a transition has no event");
        }
        targets_.back().emplace_back(node.attribute("target").value());
        absl::Status status = read_actions(node, transition.actions);
        state.transitions.push_back(std::move(transition));
        return status;
    }

    absl::Status read_actions(const pugi::xml_node& parent, std::vector<std::string>& actions) {
        for (const auto& node : parent.children()) {
            if (node.type() == pugi::node_comment) {
                continue;
            }
            if (std::string_view(node.name()) != "cf:action") {
                return error(node, "unsupported element '" + std::string(node.name()) + "'");
            }
            actions.emplace_back(node.attribute("name").value());
            if (actions.back().empty()) {
                return error(node, "an action has no name");
            }
        }
        return absl::OkStatus();
    }

    absl::Status resolve_targets() {
        for (std::size_t state = 0; state < result_.states_.size(); ++state) {
            auto& transitions = result_.states_[state].transitions;
            for (std::size_t index = 0; index < transitions.size(); ++index) {
                const std::string& target = targets_[state][index];
                if (target.empty()) {
                    continue;
                }
                const auto found = indices_.find(target);
                if (found == indices_.end()) {
                    return error_at_line(transitions[index].line,
                                         "unknown target state '" + target + "'");
                }
                transitions[index].target = found->second;
            }
        }
        return absl::OkStatus();
    }

    absl::Status resolve_initial(const pugi::xml_node& root) {
        const std::string initial = root.attribute("initial").value();
        const auto found = indices_.find(initial);
        if (found == indices_.end()) {
            return error(root, "unknown initial state '" + initial + "'");
        }
        result_.initial_ = found->second;
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status check_reachability() const {
        std::vector<bool> reached(result_.states_.size());
        std::vector<std::size_t> pending{result_.initial_};
        reached[result_.initial_] = true;
        while (!pending.empty()) {
            const auto& state = result_.states_[pending.back()];
            pending.pop_back();
            for (const auto& transition : state.transitions) {
                if (transition.target && !reached[*transition.target]) {
                    reached[*transition.target] = true;
                    pending.push_back(*transition.target);
                }
            }
        }
        for (std::size_t index = 0; index < reached.size(); ++index) {
            if (!reached[index]) {
                const auto& state = result_.states_[index];
                return error_at_line(state.line, "state '" + state.id + "' is unreachable");
            }
        }
        return absl::OkStatus();
    }

    std::string_view text_;
    std::string file_name_;
    chart result_;
    std::map<std::string, std::size_t> indices_;
    std::vector<std::vector<std::string>> targets_;
};

absl::StatusOr<chart> chart::parse(std::string_view text, std::string_view file_name) {
    return chart_reader(text, file_name).read();
}

absl::StatusOr<chart> chart::load(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return make_status(result_code::chart_invalid, path + ":0: the file cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

} // namespace citronford
