// The platform's object store, which holds all data that must outlive the nodes.
//
// Collections hold objects by name. Each object has a revision; a write names the revision that it replaces (optimistic
// locking), so that concurrent writers can't overwrite each other unnoticed. The store may be restored from a copy that
// is some seconds old: what was written since is lost, and the revisions since the copy are given out again. Each
// restore begins a new era. A revision identifies contents only within its era, and orders nothing outside the store:
// what has to be ordered over a restore carries an order of its own. The plug-in that registers a connector implements
// the store's protocol.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Rises with each restore of the store; 0: the store has not named its era.
using StoreEra = std::uint64_t;

/// The revision of an object's last change, and the era in which the store gave it out.
class ObjectRevision
{
    FESCUEPOND_FIELD(StoreEra, era, withEra);
    FESCUEPOND_FIELD(std::uint64_t, number, withNumber);

public:
    friend auto operator<=>(const ObjectRevision &, const ObjectRevision &) = default;
};

/// An object in the store, at one revision.
class StoredObject
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(ObjectRevision, revision, withRevision);
    FESCUEPOND_FIELD(std::string, value, withValue);

public:
    friend auto operator<=>(const StoredObject &, const StoredObject &) = default;
};

enum class StoreStatus {
    Ok,
    NotFound,
    Conflict, ///< The object was not at the expected revision; nothing was written.
    Unavailable, ///< No reply was received, or one of an earlier era: a write may have taken effect.
};

class StoreReply
{
    FESCUEPOND_FIELD(StoreStatus, status, withStatus);
    FESCUEPOND_FIELD(std::vector<StoredObject>, objects, withObjects);

public:
    friend auto operator<=>(const StoreReply &, const StoreReply &) = default;
};

using StoreDone = std::function<void(const StoreReply &)>;

/// The revision that a write replaces; nothing: the object doesn't exist.
using ExpectedRevision = std::optional<ObjectRevision>;

/// The revision of the object that was read or written; nothing if the reply has none.
ExpectedRevision revisionIn(const StoreReply &reply);

/// Asynchronous interface to the object store.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual void get(std::string collection, std::string name, StoreDone done) = 0;
    virtual void list(std::string collection, StoreDone done) = 0;
    /// Writes the object if its revision is `expected`.
    virtual void
    put(std::string collection, std::string name, std::string value, ExpectedRevision expected, StoreDone done) = 0;
    /// Deletes the object if its revision is `expected`.
    virtual void remove(std::string collection, std::string name, ObjectRevision expected, StoreDone done) = 0;
    /// Waits for at most `wait` until the object has changed since the last watch of the collection; NotFound if it
    /// hasn't. If it isn't known what has changed since then, the object is returned as it is.
    virtual void watch(std::string collection, std::string name, Duration wait, StoreDone done) = 0;
    /// The latest era that this node knows of.
    virtual StoreEra era() const = 0;
    /// Another node has seen the store in `era`.
    virtual void eraSeen(StoreEra era) = 0;
    /// `handler` is called, on any thread, when the store is seen in a later era than before: before the callbacks of
    /// the call that saw it. Only while plug-ins start.
    virtual void onRestore(std::function<void()> handler) = 0;
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
    virtual StoreReply put(const std::string &collection,
                           const std::string &name,
                           const std::string &value,
                           const ExpectedRevision &expected) = 0;
    virtual StoreReply
    remove(const std::string &collection, const std::string &name, const ObjectRevision &expected) = 0;
    virtual StoreReply watch(const std::string &collection, const std::string &name, Duration wait) = 0;
    /// The latest era seen in a response or named by eraSeen().
    virtual StoreEra era() const = 0;
    virtual void eraSeen(StoreEra era) = 0;
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
