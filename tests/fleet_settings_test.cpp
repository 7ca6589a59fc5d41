#include "test_support.h"

#include "citronford/fleet_settings.h"

#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace citronford;

namespace {

using fields = std::map<std::string, std::string>;

/// What the platform fills into the template on an ordinary deployment.
const fields usual_fields = {{"Node", "edge-b-1"},
                             {"Zone", "b"},
                             {"Limits.CpuShare", "0.25"},
                             {"Limits.LinkMbps", "1000.0"},
                             {"Limits.MemoryMb", "260"},
                             {"Listen.Front", "10.0.0.1:8340"},
                             {"Listen.Ready", "10.0.0.1:8343"},
                             {"Ip", "10.0.0.1"},
                             {"PortRange.0", "7000"},
                             {"platform.Address", "10.0.0.7:8344"},
                             {"platform.RowBytes", "65536"},
                             {"Cloud.Address", "10.0.0.8:8344"},
                             {"Advice", "10.0.0.9:8344"},
                             {"Bounds.HoldMaxMs", "6000"},
                             {"Bounds.StopTimeoutMs", "900"},
                             {"Bounds.LeaseMs", "3000"},
                             {"Bounds.GraceS", "6"},
                             {"Bounds.MoveS", "1.5"},
                             {"Bounds.MaintenanceS", "2"}};

/// Fields without which a process has no name, nothing to listen on or no table.
const std::set<std::string> required_fields = {"Node", "Zone", "Listen.Front", "Listen.Ready",
                                               "platform.Address"};

std::string template_text() {
    std::ifstream file(std::string(CITRONFORD_CHARTS) + "/../deploy/settings.ini.template");
    cr_assert(file.good(), "the template is missing");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Fills the placeholders `{{NAME}}` of the template; a field that is absent gives nothing.
std::string filled(const fields& values) {
    std::string text = template_text();
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const std::size_t end = text.find("}}", begin);
        const std::string name = text.substr(begin + 2, end - begin - 2);
        cr_assert(usual_fields.contains(name), "unknown placeholder %s", name.c_str());
        const auto found = values.find(name);
        text.replace(begin, end + 2 - begin, found == values.end() ? "" : found->second);
    }
    return text;
}

fields with(const std::string& name, const std::string& value) {
    fields values = usual_fields;
    values[name] = value;
    return values;
}

fleet_settings parsed(const fields& values) {
    auto result = parse_fleet_settings(filled(values));
    cr_assert(result.ok(), "%s", std::string(result.status().message()).c_str());
    return *std::move(result);
}

} // namespace

Test(fleet_settings, ordinary_deployment_replaces_nothing) {
    const fleet_settings read = parsed(usual_fields);
    cr_assert(read.replaced.empty());
    cr_assert(read.processors_permille == 250 && read.link_kbit == 1000000 &&
              read.memory_limit_mb == 260);
    cr_assert((read.vms == endpoint{"10.0.0.8", 8344}));
}

// Guards against a fleet that never starts because its deployment leaves a field out.
Test(fleet_settings, deployment_that_leaves_out_a_field_starts) {
    const fleet_settings defaults;
    for (const auto& [name, value] : usual_fields) {
        if (required_fields.contains(name)) {
            continue;
        }
        fields values = usual_fields;
        values.erase(name);
        const fleet_settings read = parsed(values);
        const bool may_be_nothing = name == "Advice" || name == "Cloud.Address";
        cr_assert(read.replaced.size() == (may_be_nothing ? 0U : 1U), "%s", name.c_str());
    }
    fields only_required = usual_fields;
    std::erase_if(only_required,
                  [](const auto& item) { return !required_fields.contains(item.first); });
    const fleet_settings read = parsed(only_required);
    cr_assert(read.longest_backend_lease == defaults.longest_backend_lease);
    cr_assert(read.stop_grace == defaults.stop_grace && read.vms.port == 0);
    cr_assert(read.replaced.size() == 11, "%zu", read.replaced.size());
}

// Guards against a fleet that never starts because a bound is a fraction, a large or a small
// number.
Test(fleet_settings, bounds_in_any_documented_form_are_read) {
    cr_assert(parsed(with("Bounds.HoldMaxMs", "6000.5")).longest_backend_lease.count() == 6001);
    cr_assert(parsed(with("Bounds.StopTimeoutMs", "2.5")).backend_stop_time.count() == 3);
    cr_assert(parsed(with("Bounds.StopTimeoutMs", "0")).backend_stop_time.count() == 0);
    cr_assert(parsed(with("Bounds.LeaseMs", "3e3")).vm_order_interval.count() == 3000);
    cr_assert(parsed(with("Bounds.GraceS", "900")).stop_grace == seconds(900));
    cr_assert(parsed(with("Bounds.MoveS", "0")).move_time.count() == 0);
    cr_assert(parsed(with("Limits.LinkMbps", "0.5")).link_kbit == 500);
    cr_assert(parsed(with("Limits.CpuShare", "2")).processors_permille == 2000);
    cr_assert(parsed(with("Zone", "j\u00e4rvi/1")).zone == zone_id("j\u00e4rvi/1"));
    cr_assert(parsed(with("Limits.MemoryMb", "0.5")).memory_limit_mb == 0);
}

// Guards against a value that switches a bound off and stops the whole fleet.
Test(fleet_settings, values_that_are_no_figures_are_replaced) {
    const fleet_settings defaults;
    for (const char* value : {"false", "true", "-1", "nan", "inf", "1e999", "1e300", "6000 ms"}) {
        const fleet_settings read = parsed(with("Bounds.HoldMaxMs", value));
        cr_assert(read.longest_backend_lease == defaults.longest_backend_lease, "%s", value);
        cr_assert(read.replaced.size() == 1 && read.replaced[0].key == "longest_backend_lease_ms" &&
                      read.replaced[0].value == value,
                  "%s", value);
    }
    cr_assert(parsed(with("Bounds.HoldMaxMs", "0")).replaced.size() == 1);
}

// Guards against a process that starts without a name, a port or a table.
Test(fleet_settings, fields_that_a_process_needs_are_required) {
    for (const std::string& name : required_fields) {
        for (const char* value : {"", "a b", "a\tb"}) {
            cr_assert(!parse_fleet_settings(filled(with(name, value))).ok(), "%s", name.c_str());
        }
    }
}
