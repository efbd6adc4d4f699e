// The caller's side of the peer protocol: sends calls and requests to other nodes.
//
// A call whose connection is lost, or whose answer is not whole, is settled: over a new connection the target is asked
// what became of the attempt, until that is known or the deadline has passed.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/eventloop.h"
#include "modules/peer/peerconnections.h"

#include <memory>
#include <optional>

namespace fescuepond
{

class Kernel;

class PeerSender
{
public:
    PeerSender(Kernel &kernel, EventLoop &loop);

    /// Called on the loop's thread when it starts and before it ends.
    void open();
    void close();

    void send(const Member &target, const CallRequest &call, Done done);
    /// Tells the target that the outcome of an attempt is no longer wanted. Nothing comes back.
    void cancel(const std::string &address, const AttemptId &attemptId, TimePoint deadline);
    void ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply);

private:
    /// A call on its way. Used only on the loop's thread.
    struct PendingCall {
        std::string address;
        Incarnation
            targetIncarnation; ///< The incarnation of the node that is meant; another one at its address gets nothing.
        CallRequest call;
        std::optional<Incarnation>
            sentToIncarnation; ///< Nothing until it was handed to a connection: it can't have run.
        int failures = 0; ///< How often the target could not be asked what became of it.
    };
    using PendingCallPtr = std::shared_ptr<PendingCall>;

    void sendOnLoop(const PendingCallPtr &pending, const Done &done);
    kj::Promise<CallOutcome> request(const PendingCallPtr &pending, kj::Own<PeerConnection> connection);
    kj::Promise<CallOutcome> settle(const PendingCallPtr &pending);
    kj::Promise<CallOutcome> requestReport(const PendingCallPtr &pending, kj::Own<PeerConnection> connection);
    kj::Promise<CallOutcome> retrySettlement(const PendingCallPtr &pending, const kj::Exception &error);
    CallOutcome outcomeAtDeadline(const PendingCall &pending) const;
    void cancelOnLoop(const std::string &address, const AttemptId &attemptId, TimePoint deadline);
    void askOnLoop(const std::string &address,
                   PeerTopic topic,
                   const std::string &body,
                   Duration timeout,
                   const PeerReply &reply);
    kj::Promise<kj::Own<PeerConnection>> connect(const std::string &address);
    /// Passes a failure on after its connection was discarded.
    template<typename T>
    kj::Promise<T> discardAndThrow(const std::string &address, PeerConnection &connection, kj::Exception &&error);
    void finish(const Done &done, const CallOutcome &outcome);

    Kernel &m_kernel;
    EventLoop &m_loop;
    // Made and destroyed on the loop's thread.
    std::unique_ptr<PeerConnections> m_connections;
};

} // namespace fescuepond
