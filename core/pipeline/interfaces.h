// The interfaces between plug-ins. Each is provided by one plug-in and required by others.
//
// Asynchronous functions call their callback exactly once, on a thread of the worker pool or on the one that received
// what the callback is about, unless the node stops first. Callbacks must not wait.

#pragma once

#include "core/pipeline/callpipeline.h"
#include "core/pipeline/objectstore.h"
#include "core/values/backendreport.h"
#include "core/values/departure.h"
#include "core/values/member.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Provides the configuration that is in force.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;
    /// Null until a configuration has been received.
    virtual std::shared_ptr<const Configuration> configuration() const = 0;
    /// The published text of the configuration if `version` is the one in force here, otherwise empty.
    virtual std::string configurationText(ConfigurationVersion version) const = 0;
    /// `member` reported that it has `version`, which can be fetched from it.
    virtual void versionSeen(const Member &member, ConfigurationVersion version) = 0;
};

/// Provides the members of the fleet.
class Membership
{
public:
    virtual ~Membership() = default;
    /// This node's own record.
    virtual Member self() const = 0;
    /// Members of a service that may be sent new calls.
    virtual std::shared_ptr<const Members> targetsOf(const std::string &service) const = 0;
    virtual Members all() const = 0;
    /// The number of members in all(), without the cost of copying them.
    virtual std::size_t size() const = 0;
    /// Marks this node as leaving and broadcasts its record to the other members.
    virtual void leave() = 0;
};

/// Publishes in this node's member record whether its backend server accepts calls.
class ServingAdvertiser
{
public:
    virtual ~ServingAdvertiser() = default;
    /// `slots` is the maximum number of concurrent calls of the backend server; 0: not reported.
    virtual void setServing(bool isServing, std::uint32_t slots) = 0;
};

/// Keeps the departures that this node has acknowledged beyond the end of the process, so that its successors keep to
/// them.
class DepartureStore
{
public:
    /// `isStored`: each process of this node that starts from now on finds the departures in the store. If not, they
    /// may or may not be stored later.
    using Stored = std::function<void(bool isStored)>;
    /// Gets the departures that earlier processes of this node have stored.
    using Recovered = std::function<void(const Departures &earlier)>;

    virtual ~DepartureStore() = default;
    /// Stores `departures` beside those given before, of which the oldest give way if there are too many. `stored`,
    /// which may be null, is called within DepartureStoreTimeout.
    virtual void keep(Departures departures, Stored stored) = 0;
    /// `handler` is called once what earlier processes stored is known, and again whenever it is read anew. Only while
    /// plug-ins start.
    virtual void onRecovered(Recovered handler) = 0;
};

/// A backend server waits for one second for an acknowledgement.
constexpr Duration DepartureStoreTimeout = std::chrono::milliseconds(800);

/// The known state of the backend server beside this node.
class BackendStatus
{
public:
    virtual ~BackendStatus() = default;
    /// Whether a call that arrives now is accepted.
    virtual bool acceptsCalls() const = 0;
    /// Whether a call may be sent to the backend server now.
    virtual bool canStart() const = 0;
    /// The instance (start) of the backend server that calls are meant for; empty: any that listens at its address.
    virtual std::string instance() const = 0;
    /// Maximum number of concurrent calls.
    virtual std::uint32_t slots() const = 0;
    virtual BackendState state() const = 0;
    virtual BackendNotice notice() const = 0;
};

/// Receives the reports of the backend server beside this node.
class BackendReports
{
public:
    /// `isAcknowledged`: the node keeps to what it was told, also after a restart. If not, the backend server may try
    /// again.
    using Acknowledge = std::function<void(bool isAcknowledged)>;

    virtual ~BackendReports() = default;
    virtual void report(const BackendReport &report, Acknowledge acknowledge) = 0;
    /// This instance of the backend server is about to stop.
    virtual void deregister(const std::string &instance, Acknowledge acknowledge) = 0;
    /// An instance of the backend server has answered a call that was sent to it at `sentAt`.
    virtual void answered(const std::string &instance, const BackendNotice &notice, TimePoint sentAt) = 0;
    /// Another node knows this notice, perhaps from before this node started.
    virtual void noticeReceived(const BackendNotice &notice) = 0;
};

/// Infers which running call a received call was made for, if the calls of the backend server don't name their parent.
class ParentResolver
{
public:
    virtual ~ParentResolver() = default;
    /// The running call that `call` was made for; nothing if it was sent by a client or the parent can't be determined.
    /// `deadline` is the time until which the sender waits; default-constructed if the sender gave none.
    virtual std::optional<CallContext> parentOf(const CallRequest &call, TimePoint deadline) = 0;
    /// Whether calls of this kind are made by the backend server rather than by clients.
    virtual bool isFromBackend(const std::string &kind) const = 0;
    /// Whether calls of this kind without a parent certainly come from clients. Both are false while neither is known.
    virtual bool isFromClients(const std::string &kind) const = 0;
};

/// Sends calls to targets, including the local one.
class CallSender
{
public:
    virtual ~CallSender() = default;
    virtual void send(const Member &target, const CallRequest &call, Done done) = 0;
};

/// Runs tasks on the thread that receives calls from other nodes, behind what has arrived there.
class CallReceiver
{
public:
    virtual ~CallReceiver() = default;
    virtual void post(std::function<void()> task) = 0;
};

/// Issues tickets: keys, owned by this node, for requests that may run at most once.
class TicketIssuer
{
public:
    virtual ~TicketIssuer() = default;
    /// Up to `count` tickets; none while this node transfers its keys to a successor.
    virtual std::vector<std::string> issueTickets(std::size_t count) = 0;
};

/// The state of an attempt at the node that it was sent to.
enum class AttemptStatus {
    Fenced, ///< It has not run here and never will.
    Running,
    Finished, ///< The outcome is known.
    Forgotten, ///< Its record has been discarded; it may have run.
};

class AttemptReport
{
    FESCUEPOND_FIELD(AttemptStatus, status, withStatus);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set if finished.

public:
    friend auto operator<=>(const AttemptReport &, const AttemptReport &) = default;
};

/// The records of the attempts that were sent to this node.
class AttemptSettlement
{
public:
    using Settled = std::function<void(const AttemptReport &)>;

    virtual ~AttemptSettlement() = default;
    /// Reports the state of an attempt; while it is running, waits for at most `wait`. An attempt that has not arrived
    /// is fenced, so that it is rejected if it arrives later.
    virtual void settle(const AttemptId &id, TimePoint deadline, Duration wait, Settled settled) = 0;
    /// The sender no longer needs the outcome: an attempt not yet sent to the backend server is never run.
    virtual void cancel(const AttemptId &id, TimePoint deadline) = 0;
    /// Whether the attempt may be sent to the backend server; checked immediately before that.
    virtual bool canStart(const AttemptId &id) = 0;
    /// Sets the function that is called with a running attempt when its sender no longer needs the outcome. May be
    /// called only while plug-ins start.
    virtual void setAbortHandler(std::function<void(const AttemptId &id)> handler) = 0;
    /// Whether the sender of an attempt has cancelled it.
    virtual bool isCancelled(const AttemptId &id) const = 0;
};

/// Cancels calls whose outcome is no longer needed.
class CallCancellation
{
public:
    virtual ~CallCancellation() = default;
    /// Cancels the idempotent calls that this node made on behalf of an attempt or a caller's request. Other calls go
    /// on: their outcome can be requested again by key.
    virtual void cancelCallsOf(const AttemptId &parent) = 0;
};

/// Requests between nodes other than calls.
enum class PeerTopic {
    Gossip,
    Leaving,
    Configuration,
    KeyRecords,
    KeyedCall,
    Quarantine,
};

using PeerReply = std::function<void(std::optional<std::string> reply)>;
/// Handles the body of a request of one topic; `reply` sends the response to the requesting node.
using PeerHandler = std::function<void(const std::string &request, PeerReply reply)>;

/// Messages between nodes. The plug-in that owns a topic encodes the bodies.
class PeerMessages
{
public:
    virtual ~PeerMessages() = default;
    /// IP and port on which this node listens for other nodes.
    virtual std::string address() const = 0;
    /// This run of the node process, as sent to other nodes on connecting.
    virtual Incarnation incarnation() const = 0;
    /// May be called only while plug-ins start.
    virtual void setHandler(PeerTopic topic, PeerHandler handler) = 0;
    /// The reply is empty if `address` could not be reached or did not answer within `timeout`.
    virtual void
    ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply) = 0;
};

} // namespace fescuepond
