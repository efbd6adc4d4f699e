// The platform's object store, which holds all data that must outlive the nodes.
//
// Collections hold objects by name. Each object has a version, which increases with every change; a write names the
// version that it replaces (optimistic locking), so that concurrent writers can't overwrite each other unnoticed. The
// plug-in that registers a connector implements the store's protocol.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/declaration.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

/// An object in the store, at one version.
class StoredObject
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(ObjectVersion, version, withVersion);
    FESCUEPOND_FIELD(std::string, value, withValue);

public:
    friend auto operator<=>(const StoredObject &, const StoredObject &) = default;
};

enum class StoreStatus {
    Ok,
    NotFound,
    Conflict, ///< The object was not at the expected version; nothing was written.
    Unavailable, ///< No reply was received: a write may have taken effect.
};

class StoreReply
{
    FESCUEPOND_FIELD(StoreStatus, status, withStatus);
    FESCUEPOND_FIELD(std::vector<StoredObject>, objects, withObjects);

public:
    friend auto operator<=>(const StoreReply &, const StoreReply &) = default;
};

using StoreDone = std::function<void(const StoreReply &)>;

/// Asynchronous interface to the object store.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual void get(std::string collection, std::string name, StoreDone done) = 0;
    virtual void list(std::string collection, StoreDone done) = 0;
    /// Writes the object if its version is `expected`; 0: if it doesn't exist.
    virtual void
    put(std::string collection, std::string name, std::string value, ObjectVersion expected, StoreDone done) = 0;
    /// Deletes the object if its version is `expected`.
    virtual void remove(std::string collection, std::string name, ObjectVersion expected, StoreDone done) = 0;
    /// Waits for at most `wait` until the object's version is above `known`; NotFound if that doesn't happen.
    virtual void
    watch(std::string collection, std::string name, ObjectVersion known, Duration wait, StoreDone done) = 0;
    /// Number of calls since the start; a watch counts as one.
    virtual std::uint64_t callCount() const = 0;
};

/// A connection to the object store whose functions block until the reply is received. Thread-safe.
class StoreConnection
{
public:
    virtual ~StoreConnection() = default;
    virtual StoreReply get(const std::string &collection, const std::string &name) = 0;
    virtual StoreReply list(const std::string &collection) = 0;
    virtual StoreReply
    put(const std::string &collection, const std::string &name, const std::string &value, ObjectVersion expected) = 0;
    virtual StoreReply remove(const std::string &collection, const std::string &name, ObjectVersion expected) = 0;
    virtual StoreReply
    watch(const std::string &collection, const std::string &name, ObjectVersion known, Duration wait) = 0;
    /// Aborts the calls in flight of other threads; these and all later calls return Unavailable.
    virtual void abort() = 0;
};

/// Opens a connection to the store at `address`, an IP and a port. Calls time out after `timeout`; a watch adds its
/// wait to that.
using StoreConnector = std::function<std::unique_ptr<StoreConnection>(std::string address, Duration timeout)>;

/// Registers the connector, at namespace scope in the plug-in that implements the store's protocol. There is only one.
class StoreConnectorRegistration
{
public:
    explicit StoreConnectorRegistration(StoreConnector connector);
};

std::unique_ptr<StoreConnection> connectStore(const std::string &address, Duration timeout);

} // namespace fescuepond
