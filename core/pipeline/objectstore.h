// The platform's object store, in which everything stands that must outlast the nodes.
//
// Collections hold objects by name. Each object has a version, which grows with every change; a write names the version
// that it replaces, so that two writers never overwrite each other unseen. How the store is spoken to is up to the
// plug-in that registers a connector.

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

/// An object of the platform's service.
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
    Conflict, ///< The condition of a conditional update did not hold; nothing was written.
    Unavailable, ///< No answer: a write may have taken effect.
};

class StoreReply
{
    FESCUEPOND_FIELD(StoreStatus, status, withStatus);
    FESCUEPOND_FIELD(std::vector<StoredObject>, objects, withObjects);

public:
    friend auto operator<=>(const StoreReply &, const StoreReply &) = default;
};

using StoreDone = std::function<void(const StoreReply &)>;

/// The platform's object store, without blocking. Collections hold objects by name.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual void get(std::string collection, std::string name, StoreDone done) = 0;
    virtual void list(std::string collection, StoreDone done) = 0;
    /// Writes if the object is at `expected`; 0: if there is none.
    virtual void
    put(std::string collection, std::string name, std::string value, ObjectVersion expected, StoreDone done) = 0;
    /// Deletes if the object is at `expected`.
    virtual void remove(std::string collection, std::string name, ObjectVersion expected, StoreDone done) = 0;
    /// Waits until the object's version is above `known`, for at most `wait`; NotFound when that passes.
    virtual void
    watch(std::string collection, std::string name, ObjectVersion known, Duration wait, StoreDone done) = 0;
    /// Calls made since the start; a watch counts as one.
    virtual std::uint64_t callCount() const = 0;
};

/// A connection to the object store that blocks until a call has its reply. May be used by several threads at once.
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
    /// Ends the calls in flight, from another thread; they and later ones are unavailable.
    virtual void abort() = 0;
};

/// Opens a connection to the store at `address`, an IP and a port; no call takes longer than `timeout`, but for the
/// wait of a watch.
using StoreConnector = std::function<std::unique_ptr<StoreConnection>(std::string address, Duration timeout)>;

/// Registers the one way to speak to the store, from a static object of the plug-in that has it.
class StoreConnectorRegistration
{
public:
    explicit StoreConnectorRegistration(StoreConnector connector);
};

std::unique_ptr<StoreConnection> connectStore(const std::string &address, Duration timeout);

} // namespace fescuepond
