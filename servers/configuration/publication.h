// What a published configuration records of its own making: who published it, when, and on top of which version.

#pragma once

#include "core/value.h"
#include "core/values/declaration.h"
#include "core/values/id.h"

#include <compare>
#include <string>
#include <vector>

namespace fescuepond
{

/// Names one attempt to publish, so that its writer can tell whether the write took effect.
using PublicationNonce = Id<struct PublicationTag>;

/// One write of the configuration.
class PublicationEntry
{
    FESCUEPOND_FIELD(PublicationNonce, nonce, withNonce);
    FESCUEPOND_FIELD(std::string, operatorName, withOperatorName);
    FESCUEPOND_FIELD(std::string, time, withTime); ///< ISO 8601, UTC, by the publisher's clock.
    FESCUEPOND_FIELD(ObjectVersion, baseVersion, withBaseVersion); ///< Version that it replaced; 0: none.

public:
    friend auto operator<=>(const PublicationEntry &, const PublicationEntry &) = default;
};

/// Who changed the declarations of one service last.
class ServiceChange
{
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(std::string, operatorName, withOperatorName);
    FESCUEPOND_FIELD(std::string, time, withTime);

public:
    friend auto operator<=>(const ServiceChange &, const ServiceChange &) = default;
};

using PublicationHistory = std::vector<PublicationEntry>;
using ServiceChanges = std::vector<ServiceChange>;

/// The record beside the services of a published configuration.
class Publication
{
    FESCUEPOND_FIELD(PublicationHistory, history, withHistory); ///< Newest first, the record's own entry included.
    FESCUEPOND_FIELD(ServiceChanges, changes, withChanges); ///< One for each service.

public:
    /// The change that a service got last, or null.
    const ServiceChange *lastChangeOf(const std::string &service) const;
    friend auto operator<=>(const Publication &, const Publication &) = default;
};

/// The configuration as the platform holds it. Version 0: there is none.
class PublishedConfiguration
{
    FESCUEPOND_FIELD(Configuration, configuration, withConfiguration);
    FESCUEPOND_FIELD(Publication, publication, withPublication);

public:
    friend auto operator<=>(const PublishedConfiguration &, const PublishedConfiguration &) = default;
};

} // namespace fescuepond
