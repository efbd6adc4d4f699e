// Interface between the two configuration plug-ins: the "configuration" plug-in keeps the version in force and
// exchanges it with peers; the "configurationfollower" plug-in decides when to ask which peer.

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
    /// Names the object in the object store that holds the configuration, and parses it.
    virtual const ConfigurationFormat &format() const = 0;
    /// The version in force here; 0: none.
    virtual ConfigurationVersion version() const = 0;
    /// Installs the configuration read from the platform if it is newer than the one in force and valid.
    virtual void offer(const StoredObject &object) = 0;
    /// Sends the version in force here to the node at `address` and installs that node's version if it is newer. The
    /// other node does the same with this node's version.
    virtual void exchangeWith(const std::string &address) = 0;
    /// Asks the node at `address` to watch the platform for some time.
    virtual void requestStandIn(const std::string &address) = 0;
    /// Sets the function called if another node asks for that. Only while plug-ins start.
    virtual void setStandInHandler(std::function<void()> handler) = 0;
    /// Sets the function called after each installed version. Only while plug-ins start.
    virtual void setInstalledHandler(std::function<void()> handler) = 0;
};

} // namespace fescuepond
