// Encodes and decodes the YAML text of a published configuration: the record of its publication and the declarations of
// all services.

#pragma once

#include "core/kernel/finding.h"
#include "core/values/declaration.h"
#include "servers/configuration/publication.h"

#include <cstddef>
#include <string>

namespace fescuepond
{

/// The platform's object store accepts no larger values.
constexpr std::size_t MaxConfigurationBytes = 1'000'000;

/// Encodes the services and their publication record, with a digest of the services.
std::string writeConfiguration(const ServiceMap &services, const Publication &publication = {});

/// Decodes a published text. A digest that doesn't match the services is a finding.
Result<PublishedConfiguration> readPublishedConfiguration(const std::string &text, ObjectVersion version);

/// Decodes a published text without its publication record.
Result<Configuration> readConfiguration(const std::string &text, ObjectVersion version);

} // namespace fescuepond
