// A target's reports and its deregistration as tests and benchmarks send them to a node.

#pragma once

#include "tests/support/fleet.h"

#include <compare>
#include <cstdint>
#include <string>

namespace fescuepond::test
{

/// A target's report, which can be sent later. Default: the first report of a target of "yard" in zone "a".
struct TargetReport {
    std::string state = "ready";
    int sequence = 1;
    std::uint64_t born = 1'700'000'000'000; ///< Start of the target, in milliseconds since the epoch.
    std::string instance = "i-1";
    std::string zone = "a";

    friend auto operator<=>(const TargetReport &, const TargetReport &) = default;
};

/// The call that brings `report` to a node's listener for reports.
HttpCall reportCall(const TargetReport &report);

/// The call by which the target named `instance` deregisters.
HttpCall deregistrationCall(const std::string &instance = "i-1");

} // namespace fescuepond::test
