// The text of a published configuration: the record of its publication and the declarations of all services.

#pragma once

#include "core/kernel/finding.h"
#include "core/values/declaration.h"
#include "servers/configuration/publication.h"

#include <cstddef>
#include <string>

namespace fescuepond
{

/// The platform holds no longer values.
constexpr std::size_t MaxConfigurationBytes = 1'000'000;

/// The text that is published, with a digest of its services.
std::string writeConfiguration(const ServiceMap &services, const Publication &publication = {});

/// Reads a published text. One whose digest doesn't match its services is a finding.
Result<PublishedConfiguration> readPublishedConfiguration(const std::string &text, ObjectVersion version);

/// The configuration alone of a published text.
Result<Configuration> readConfiguration(const std::string &text, ObjectVersion version);

} // namespace fescuepond
