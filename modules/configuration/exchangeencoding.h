// Messages of the peer topic Configuration, encoded as JSON.

#pragma once

#include "core/pipeline/objectstore.h"
#include "core/value.h"
#include "core/values/declaration.h"

#include <compare>
#include <optional>
#include <string>

namespace fescuepond
{

/// The version in force at the sender, and the address at which the sender can be asked for it.
class ExchangeRequest
{
    FESCUEPOND_FIELD(ConfigurationVersion, version, withVersion);
    FESCUEPOND_FIELD(std::string, address, withAddress);
    /// The sender can't reach the platform and asks the recipient to watch it.
    FESCUEPOND_FIELD(bool, asksForStandIn, withAsksForStandIn);
    FESCUEPOND_FIELD(StoreEra, storeEra, withStoreEra); ///< The latest that the sender knows of.

public:
    friend auto operator<=>(const ExchangeRequest &, const ExchangeRequest &) = default;
};

/// The version in force at the node that received the request, with its text if it is newer than the version in the
/// request.
class ExchangeReply
{
    FESCUEPOND_FIELD(ConfigurationVersion, version, withVersion);
    FESCUEPOND_FIELD(std::string, text, withText);
    FESCUEPOND_FIELD(StoreEra, storeEra, withStoreEra); ///< The latest that the replying node knows of.

public:
    friend auto operator<=>(const ExchangeReply &, const ExchangeReply &) = default;
};

std::string toJson(const ExchangeRequest &request);
std::string toJson(const ExchangeReply &reply);
std::optional<ExchangeRequest> exchangeRequestFromJson(const std::string &text);
std::optional<ExchangeReply> exchangeReplyFromJson(const std::string &text);

} // namespace fescuepond
