// Metadata of a published configuration: its publication history and who last changed each service.

#pragma once

#include "core/value.h"
#include "core/values/declaration.h"
#include "core/values/id.h"

#include <compare>
#include <string>
#include <vector>

namespace fescuepond
{

/// Identifies one publish operation, so that the writer can find out whether its write took effect.
using PublicationNonce = Id<struct PublicationTag>;

/// Entry in the publication history: who published a configuration, when, and which version it replaced.
class PublicationEntry
{
    FESCUEPOND_FIELD(PublicationNonce, nonce, withNonce);
    FESCUEPOND_FIELD(std::string, operatorName, withOperatorName);
    FESCUEPOND_FIELD(std::string, time, withTime); ///< ISO 8601, UTC, by the publisher's clock.
    FESCUEPOND_FIELD(ConfigurationVersion, baseVersion, withBaseVersion); ///< Version that was replaced; 0: none.

public:
    friend auto operator<=>(const PublicationEntry &, const PublicationEntry &) = default;
};

/// Who last changed the declarations of a service.
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

/// Metadata stored together with the services of a published configuration.
class Publication
{
    FESCUEPOND_FIELD(PublicationHistory, history, withHistory); ///< Newest first, including this publication.
    FESCUEPOND_FIELD(ServiceChanges, changes, withChanges); ///< One per service.

public:
    /// The last change of a service; null if none is recorded.
    const ServiceChange *lastChangeOf(const std::string &service) const;
    friend auto operator<=>(const Publication &, const Publication &) = default;
};

/// The configuration as stored at the platform. Version 0: none is published.
class PublishedConfiguration
{
    FESCUEPOND_FIELD(Configuration, configuration, withConfiguration);
    FESCUEPOND_FIELD(Publication, publication, withPublication);

public:
    friend auto operator<=>(const PublishedConfiguration &, const PublishedConfiguration &) = default;
};

} // namespace fescuepond
