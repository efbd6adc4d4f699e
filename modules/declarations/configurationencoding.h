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

/// The version of a text that was published before publications carried a version.
constexpr ConfigurationVersion UnversionedPublication = 1;

/// Encodes the services, their version and their publication record, with a digest of the services.
std::string writeConfiguration(const Configuration &configuration, const Publication &publication = {});

/// Decodes a published text. A digest that doesn't match the services is a finding.
Result<PublishedConfiguration> readPublishedConfiguration(const std::string &text);

/// Decodes a published text without its publication record.
Result<Configuration> readConfiguration(const std::string &text);

} // namespace fescuepond
