#pragma once

#include "citronford/fleet_configuration.h"

#include <absl/status/status.h>

#include <variant>

namespace citronford {

/// Replaces the fleet defaults.
struct set_defaults {
    fleet_defaults defaults;
};
/// Adds an exception, or replaces the one with the same id.
struct add_exception {
    exception_rule rule;
};
struct remove_exception {
    exception_id id;
};
/// Takes an availability zone out of service.
struct remove_zone {
    zone_removal removal;
};
/// Brings an availability zone back.
struct restore_zone {
    zone_id zone;
};
struct give_key {
    team_key key;
};
struct withdraw_key {
    key_id id;
};

/// One change by an operator; committed as one transaction that raises the version by one.
using configuration_change = std::variant<set_defaults, add_exception, remove_exception,
                                          remove_zone, restore_zone, give_key, withdraw_key>;

/// Checks a change against the present configuration: names and numbers in range, a reason given,
/// the object of a removal present. Fails with `invalid_argument` or `not_found`.
absl::Status validated(const configuration_change& change, const fleet_configuration& fleet);

/// The configuration after `change`, one version higher.
fleet_configuration changed_configuration(fleet_configuration fleet,
                                          const configuration_change& change);

} // namespace citronford
