// The settings of a node, and the table that lists each with its key, default, unit and description.

#pragma once

#include "core/value.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fescuepond
{

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using StringList = std::vector<std::string>;

/// All settings of one node. docs/OPERATORS.md describes them; a test compares the keys, defaults and units of its
/// table with settingRows().
class NodeSettings
{
    FESCUEPOND_LISTED_FIELD(std::string, name, withName);
    FESCUEPOND_LISTED_FIELD(std::string, service, withService);
    FESCUEPOND_LISTED_FIELD(std::string, zone, withZone);
    FESCUEPOND_LISTED_FIELD(std::string, region, withRegion);
    FESCUEPOND_LISTED_FIELD(std::string, frontAddress, withFrontAddress);
    FESCUEPOND_LISTED_FIELD(std::string, localAddress, withLocalAddress);
    FESCUEPOND_LISTED_FIELD(std::string, peerAddress, withPeerAddress);
    FESCUEPOND_LISTED_FIELD(std::string, peerAdvertisedAddress, withPeerAdvertisedAddress);
    FESCUEPOND_LISTED_FIELD(std::string, operatorAddress, withOperatorAddress);
    FESCUEPOND_LISTED_FIELD(std::string, backendAddress, withBackendAddress);
    FESCUEPOND_LISTED_FIELD(std::string, platformAddress, withPlatformAddress);
    FESCUEPOND_LISTED_FIELD(StringList, seedPeers, withSeedPeers);
    FESCUEPOND_LISTED_FIELD(std::size_t, backendSlots, withBackendSlots);
    FESCUEPOND_LISTED_FIELD(std::string, environment, withEnvironment);
    FESCUEPOND_LISTED_FIELD(bool, backendReports, withBackendReports);
    FESCUEPOND_LISTED_FIELD(std::string, entryAddress, withEntryAddress);
    FESCUEPOND_LISTED_FIELD(std::string, readinessAddress, withReadinessAddress);
    FESCUEPOND_LISTED_FIELD(std::string, registrationAddress, withRegistrationAddress);
    FESCUEPOND_LISTED_FIELD(double, retryRatio, withRetryRatio);
    FESCUEPOND_LISTED_FIELD(double, retrySlack, withRetrySlack);
    FESCUEPOND_LISTED_FIELD(Seconds, retryWindow, withRetryWindow);
    FESCUEPOND_LISTED_FIELD(Seconds, backendDrain, withBackendDrain);
    FESCUEPOND_LISTED_FIELD(Seconds, backendReportInterval, withBackendReportInterval);
    FESCUEPOND_LISTED_FIELD(Seconds, stopLimit, withStopLimit); ///< 0: none.
    FESCUEPOND_LISTED_FIELD(Seconds, changeBound, withChangeBound);
    FESCUEPOND_LISTED_FIELD(Seconds, recoveryTime, withRecoveryTime);
    FESCUEPOND_LISTED_FIELD(std::size_t, logLinesPerSecond, withLogLinesPerSecond);
    FESCUEPOND_LISTED_FIELD(std::size_t, httpThreads, withHttpThreads);
    FESCUEPOND_LISTED_FIELD(std::size_t, backendThreads, withBackendThreads);
    FESCUEPOND_LISTED_FIELD(std::size_t, maxBodyBytes, withMaxBodyBytes);
    FESCUEPOND_LISTED_FIELD(std::size_t, maxHeaderBytes, withMaxHeaderBytes);
    FESCUEPOND_LISTED_FIELD(std::size_t, maxConnections, withMaxConnections);
    FESCUEPOND_LISTED_FIELD(std::size_t, memoryLimitMb, withMemoryLimitMb); ///< 0: none.
    FESCUEPOND_LISTED_FIELD(Milliseconds, requestReadTimeout, withRequestReadTimeout);
    FESCUEPOND_LISTED_FIELD(Milliseconds, drainTimeout, withDrainTimeout);
    FESCUEPOND_LISTED_FIELD(Milliseconds, leaveGrace, withLeaveGrace);
    FESCUEPOND_LISTED_FIELD(Milliseconds, platformTimeout, withPlatformTimeout);

public:
    friend auto operator<=>(const NodeSettings &, const NodeSettings &) = default;
};

/// A part of the memory that the process may use, one by `divisor`, in bytes; the greatest number if it may use any.
std::size_t memoryPart(const NodeSettings &settings, std::size_t divisor);

/// The function of NodeSettings that returns a copy with the setting changed.
using SettingSetter = std::variant<NodeSettings (NodeSettings::*)(std::string) const,
                                   NodeSettings (NodeSettings::*)(StringList) const,
                                   NodeSettings (NodeSettings::*)(std::size_t) const,
                                   NodeSettings (NodeSettings::*)(bool) const,
                                   NodeSettings (NodeSettings::*)(double) const,
                                   NodeSettings (NodeSettings::*)(Milliseconds) const,
                                   NodeSettings (NodeSettings::*)(Seconds) const>;

/// One row of the table of settings.
struct SettingRow {
    std::string_view key;
    SettingSetter setter;
    std::string_view defaultValue; ///< In YAML; "required" if there is none.
    std::string_view unit;
    std::string_view description;

    bool isRequired() const
    {
        return defaultValue == "required";
    }
};

/// All settings, in the order of the operators' page.
std::span<const SettingRow> settingRows();

} // namespace fescuepond
