// Conversion between the values of the gossip protocol and the bodies of peer messages.

#pragma once

#include "servers/membership/broadcast.h"
#include "servers/membership/gossip.h"

#include <optional>
#include <string>

namespace fescuepond
{

std::string encode(const GossipRequest &request);
std::string encode(const GossipReply &reply);
std::string encode(const BroadcastMessage &message);

/// Empty if the body is not a valid message of this kind.
std::optional<GossipRequest> decodeRequest(const std::string &body);
std::optional<GossipReply> decodeReply(const std::string &body);
std::optional<BroadcastMessage> decodeBroadcast(const std::string &body);

} // namespace fescuepond
