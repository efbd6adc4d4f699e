// How the plug-ins of the configuration work together: one keeps the version in force and exchanges it with peers, the
// other decides when to ask whom.

#pragma once

#include "core/pipeline/configurationformat.h"
#include "core/pipeline/interfaces.h"

#include <functional>
#include <string>

namespace fescuepond
{

class ConfigurationExchange
{
public:
    virtual ~ConfigurationExchange() = default;
    /// Where the configuration stands in the object store.
    virtual const ConfigurationFormat &format() const = 0;
    /// The version in force here; 0: none.
    virtual ObjectVersion version() const = 0;
    /// Takes an object of the platform, if it is newer and valid.
    virtual void offer(const StoredObject &object) = 0;
    /// Tells the node at `address` which version is in force here, and takes its own if that one is newer. The node
    /// asked does the same the other way round.
    virtual void exchangeWith(const std::string &address) = 0;
    /// Called after each new version. Only while plug-ins start.
    virtual void setInstalledHandler(std::function<void()> handler) = 0;
};

} // namespace fescuepond
