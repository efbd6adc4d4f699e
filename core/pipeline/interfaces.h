// The interfaces by which plug-ins meet. Each is provided by one plug-in and required by others.
//
// All asynchronous functions call their continuation exactly once, on a worker of the pool, unless the node stops
// first.

#pragma once

#include "core/pipeline/callpipeline.h"
#include "core/pipeline/objectstore.h"
#include "core/values/backendreport.h"
#include "core/values/member.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Gives the configuration that is in force.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;
    /// Null until one is known.
    virtual std::shared_ptr<const Configuration> configuration() const = 0;
    /// The published text of a version, or empty when it isn't this node's.
    virtual std::string configurationText(ObjectVersion version) const = 0;
    /// Another node was seen to have `version`; `member` can be asked for it.
    virtual void versionSeen(const Member &member, ObjectVersion version) = 0;
};

/// Gives the members of the fleet.
class Membership
{
public:
    virtual ~Membership() = default;
    /// This node's own record.
    virtual Member self() const = 0;
    /// Members that may be given new work.
    virtual std::shared_ptr<const Members> targetsOf(const std::string &service) const = 0;
    virtual Members all() const = 0;
    /// Starts leaving: the record is pushed to the others.
    virtual void leave() = 0;
};

/// Tells a node whether its backend server takes work.
class ServingAdvertiser
{
public:
    virtual ~ServingAdvertiser() = default;
    /// Tells all members; `slots` is how many calls the backend server runs at once, 0: unsaid.
    virtual void setServing(bool isServing, std::uint32_t slots) = 0;
};

/// What is known of the backend server beside this node.
class BackendStatus
{
public:
    virtual ~BackendStatus() = default;
    /// Whether a call that arrives now is taken.
    virtual bool acceptsCalls() const = 0;
    /// Whether a call may be given to the backend server now.
    virtual bool canStart() const = 0;
    /// Names the boot that calls are meant for; empty: whichever listens there.
    virtual std::string instance() const = 0;
    /// Calls that it runs at once.
    virtual std::uint32_t slots() const = 0;
    virtual BackendState state() const = 0;
};

/// Takes the reports of the backend server beside this node.
class BackendReports
{
public:
    virtual ~BackendReports() = default;
    virtual void report(const BackendReport &report) = 0;
    /// The backend server of that name deregister.
    virtual void deregister(const std::string &instance) = 0;
};

/// Tells for which call the backend server beside this node makes another one, where its calls don't name it.
class ParentResolver
{
public:
    virtual ~ParentResolver() = default;
    /// The running call that `call` was made for. Nothing: a client sent it, or it isn't known which. `deadline`: the
    /// sender waits no longer; unset: it doesn't say.
    virtual std::optional<CallContext> parentOf(const CallRequest &call, TimePoint deadline) = 0;
    /// Whether the backend server makes the calls of this kind, rather than clients.
    virtual bool isFromBackend(const std::string &kind) const = 0;
};

/// Sends calls to targets, the local one included.
class CallSender
{
public:
    virtual ~CallSender() = default;
    virtual void send(const Member &target, const CallRequest &call, Done done) = 0;
};

/// Issues tickets: keys for requests that may run at most once, whose home is this node.
class TicketIssuer
{
public:
    virtual ~TicketIssuer() = default;
    /// Up to `count` tickets; none when this node hands its keys over.
    virtual std::vector<std::string> issueTickets(std::size_t count) = 0;
};

/// What a callee knows of an attempt.
enum class AttemptStatus {
    Fenced, ///< It never ran here and never will.
    Running,
    Finished, ///< The outcome is known.
    Forgotten, ///< It may have run.
};

class AttemptReport
{
    FESCUEPOND_FIELD(AttemptStatus, status, withStatus);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set when finished.

public:
    friend auto operator<=>(const AttemptReport &, const AttemptReport &) = default;
};

/// What this node knows of the attempts that were sent to it.
class AttemptSettlement
{
public:
    using Settled = std::function<void(const AttemptReport &)>;

    virtual ~AttemptSettlement() = default;
    /// Tells what became of an attempt; waits for at most `wait` while it runs. One that never came is fenced.
    virtual void settle(const AttemptId &id, TimePoint deadline, Duration wait, Settled settled) = 0;
    /// The sender no longer wants the outcome: an attempt that the backend server doesn't have yet is never run.
    virtual void cancel(const AttemptId &id, TimePoint deadline) = 0;
    /// Asked right before an attempt is given to the backend server: whether it may be, now.
    virtual bool canStart(const AttemptId &id) = 0;
    /// Called with an attempt that runs and whose sender no longer wants the outcome. Only while plug-ins start.
    virtual void setAbortHandler(std::function<void(const AttemptId &id)> handler) = 0;
    /// Whether the sender of an attempt that is here no longer wants the outcome.
    virtual bool isCancelled(const AttemptId &id) const = 0;
};

/// Cancels calls whose outcome nobody waits for any more.
class CallCancellation
{
public:
    virtual ~CallCancellation() = default;
    /// Cancels the idempotent calls that this node made on behalf of an attempt or of a caller's request. Others are
    /// left alone: their outcome may be asked for again by their key.
    virtual void cancelCallsOf(const AttemptId &parent) = 0;
};

/// Requests that nodes make of each other besides calls.
enum class PeerTopic {
    Gossip,
    Leaving,
    Configuration,
    KeyRecords,
    KeyedCall,
    Quarantine,
};

using PeerReply = std::function<void(std::optional<std::string> reply)>;
/// Handles the body of a request of one topic from `from`; the reply goes back to it.
using PeerHandler = std::function<void(const std::string &request, PeerReply reply)>;

/// Messages between nodes. Bodies are encoded by the plug-in that owns the topic.
class PeerMessages
{
public:
    virtual ~PeerMessages() = default;
    /// IP and port on which this node listens for others.
    virtual std::string address() const = 0;
    /// This life of the process, as others see it on their connections.
    virtual Incarnation incarnation() const = 0;
    /// Only while plug-ins start.
    virtual void setHandler(PeerTopic topic, PeerHandler handler) = 0;
    /// The reply is nothing when `address` could not be reached or did not answer within `timeout`.
    virtual void
    ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply) = 0;
};

} // namespace fescuepond
