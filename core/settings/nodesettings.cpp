// The table of settings.

#include "core/settings/nodesettings.h"

#include <array>

namespace fescuepond
{

std::span<const SettingRow> settingRows()
{
    static const auto rows = std::to_array<SettingRow>({
        {"name", &NodeSettings::withName, "required", "", "Name of this node; unique in the fleet."},
        {"service", &NodeSettings::withService, "required", "", "Service that the backend server belongs to."},
        {"zone", &NodeSettings::withZone, "required", "", "Availability zone of this VM."},
        {"region", &NodeSettings::withRegion, "default", "", "Region of the availability zone."},
        {"environment",
         &NodeSettings::withEnvironment,
         "plain",
         "",
         "What the system is spoken to by: plain (its own interface) or fleet (the platform's)."},
        {"front_address", &NodeSettings::withFrontAddress, "''", "", "IP and port for callers; empty: none."},
        {"local_address",
         &NodeSettings::withLocalAddress,
         "''",
         "",
         "Loopback IP and port for the backend; empty: none."},
        {"entry_address",
         &NodeSettings::withEntryAddress,
         "''",
         "",
         "IP and port for callers and the backend in a fleet; empty: none."},
        {"readiness_address", &NodeSettings::withReadinessAddress, "''", "", "IP and port of the readiness check."},
        {"registration_address",
         &NodeSettings::withRegistrationAddress,
         "''",
         "",
         "IP and port for reports of the backend."},
        {"backend_reports",
         &NodeSettings::withBackendReports,
         "false",
         "",
         "The backend reports its state; it gets no call before."},
        {"peer_address", &NodeSettings::withPeerAddress, "required", "", "IP and port for other nodes."},
        {"peer_advertised_address",
         &NodeSettings::withPeerAdvertisedAddress,
         "''",
         "",
         "IP and port that other nodes are told; empty: peer_address."},
        {"operator_address", &NodeSettings::withOperatorAddress, "required", "", "IP and port for operators."},
        {"backend_address", &NodeSettings::withBackendAddress, "required", "", "IP and port of the backend server."},
        {"platform_address", &NodeSettings::withPlatformAddress, "required", "", "IP and port of the object API."},
        {"seed_peers", &NodeSettings::withSeedPeers, "[]", "", "Peer addresses tried when the platform is out."},
        {"backend_slots", &NodeSettings::withBackendSlots, "60", "calls", "Calls that the backend runs at once."},
        {"retry_ratio",
         &NodeSettings::withRetryRatio,
         "0.2",
         "",
         "Repeated calls to a service in ten seconds, over the whole fleet, as a part of the calls for it."},
        {"retry_slack",
         &NodeSettings::withRetrySlack,
         "48",
         "calls",
         "Repeated calls to a service in ten seconds, over the whole fleet, beyond that part."},
        {"http_threads", &NodeSettings::withHttpThreads, "32", "threads", "Most threads that read and write HTTP."},
        {"backend_threads",
         &NodeSettings::withBackendThreads,
         "128",
         "threads",
         "Most threads that wait for the backend server."},
        {"max_body_bytes", &NodeSettings::withMaxBodyBytes, "1048576", "bytes", "Longest body of a request or answer."},
        {"max_header_bytes", &NodeSettings::withMaxHeaderBytes, "16384", "bytes", "Longest header of a request."},
        {"request_read_timeout_ms",
         &NodeSettings::withRequestReadTimeout,
         "5000",
         "ms",
         "Longest time in which a caller may send one request."},
        {"drain_timeout_ms", &NodeSettings::withDrainTimeout, "30000", "ms", "Longest time of a planned stop."},
        {"leave_grace_ms",
         &NodeSettings::withLeaveGrace,
         "2000",
         "ms",
         "Time in which a node that leaves still takes new work."},
        {"platform_timeout_ms", &NodeSettings::withPlatformTimeout, "1000", "ms", "Longest wait for the platform."},
    });
    return rows;
}

} // namespace fescuepond
