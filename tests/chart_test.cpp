#include "test_support.h"

#include "citronford/chart_machine.h"

using namespace citronford;

namespace {

struct opened {
    static constexpr std::string_view event_name = "opened";
};
struct closed {
    static constexpr std::string_view event_name = "closed";
};
using door_event = std::variant<opened, closed>;

struct door {
    bool locked = false;
    std::string trace;
};
using door_machine = chart_machine<door, door_event>;

constexpr door_machine::guard guards[] = {
    {"unlocked", [](const door& context, const door_event&) { return !context.locked; }}};
constexpr door_machine::action actions[] = {
    {"leave", [](door& context, const door_event&) { context.trace += "x"; }},
    {"move", [](door& context, const door_event&) { context.trace += "m"; }},
    {"enter", [](door& context, const door_event&) { context.trace += "e"; }}};

std::string document(std::string_view body) {
    return "<scxml name='door' initial='shut'>\n" + std::string(body) + "\n</scxml>";
}

std::string parse_error(std::string_view body) {
    const auto parsed = chart::parse(document(body), "door.scxml");
    cr_assert(!parsed.ok());
    cr_assert(code_of(parsed.status()) == result_code::chart_invalid);
    return std::string(parsed.status().message());
}

std::string bind_error(std::string_view body) {
    const auto parsed = chart::parse(document(body), "door.scxml");
    cr_assert(parsed.ok());
    const auto machine = door_machine::create(*parsed, guards, actions);
    cr_assert(!machine.ok());
    return std::string(machine.status().message());
}

} // namespace

// Guards against actions that run out of the order that SCXML defines.
Test(chart, runs_exit_transition_and_entry_actions_in_order) {
    const auto parsed = chart::parse(
        document("<state id='shut'><onexit><cf:action name='leave'/></onexit>"
                 "<transition event='opened' cond='unlocked' target='open'>"
                 "<cf:action name='move'/></transition></state>"
                 "<final id='open'><onentry><cf:action name='enter'/></onentry></final>"),
        "door.scxml");
    cr_assert(parsed.ok(), "%s", parsed.status().ToString().c_str());
    const auto machine = door_machine::create(*parsed, guards, actions);
    cr_assert(machine.ok());

    door context{.locked = true, .trace = {}};
    chart_position position = machine->initial();
    cr_assert(!machine->step(position, context, opened{}), "a false guard must not be taken");
    cr_assert(machine->name_of(position) == "shut");
    context.locked = false;
    cr_assert(!machine->step(position, context, closed{}), "an event without transition");
    cr_assert(machine->step(position, context, opened{}));
    cr_assert(machine->is_final(position));
    cr_assert_str_eq(context.trace.c_str(), "xme");
}

// Guards against charts that start with a fault and fail only when the fault is reached.
Test(chart, reports_file_line_and_reason) {
    expect_equal(parse_error("<state id='shut'>\n<transition event='opened' target='gone'/>"
                             "</state><final id='open'/>"),
                 "door.scxml:3: unknown target state 'gone'");
    expect_equal(parse_error("<state id='shut'/>"), "door.scxml:1: the chart has no final state");
    expect_equal(parse_error("<state id='shut'/>\n<final id='open'/>"),
                 "door.scxml:3: state 'open' is unreachable");
    expect_equal(parse_error("<parallel/>"), "door.scxml:2: unsupported element 'parallel'");
    cr_assert(parse_error("<state id='shut'>").starts_with("door.scxml:"));
}

// Guards against names in a chart that the program does not provide.
Test(chart, rejects_unknown_names) {
    const std::string end = "</transition></state><final id='open'/>";
    expect_equal(bind_error("<state id='shut'><transition event='kicked' target='open'>" + end),
                 "door.scxml:2: unknown event 'kicked'");
    expect_equal(
        bind_error("<state id='shut'><transition event='opened' cond='c' target='open'>" + end),
        "door.scxml:2: unknown guard 'c'");
    expect_equal(bind_error("<state id='shut'><transition event='opened' target='open'>"
                            "<cf:action name='a'/>" +
                            end),
                 "door.scxml:2: unknown action 'a'");
}
