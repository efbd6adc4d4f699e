// The client side of the peer protocol: sends calls and requests to other nodes.
//
// If the connection is lost during a call or the reply is corrupt, the call is settled: a new connection is opened and
// the target is queried for the status of the attempt, until its outcome is known or the deadline has passed.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/eventloop.h"
#include "modules/peer/peerconnections.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace fescuepond
{

class Kernel;

class PeerSender final : public kj::TaskSet::ErrorHandler
{
public:
    PeerSender(Kernel &kernel, EventLoop &loop);

    /// Both must be called on the loop's thread: open() when it starts, close() before it exits.
    void open();
    void close();

    /// `done` is called on the loop's thread.
    void send(const Member &target, const CallRequest &call, Done done);
    /// Sends a cancellation of an attempt to its target. Errors are ignored.
    void cancel(const std::string &address, const AttemptId &attemptId, TimePoint deadline);
    void ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply);

private:
    /// A call that was sent or is about to be. Used only on the loop's thread.
    struct PendingCall {
        std::string address;
        Incarnation targetIncarnation; ///< The call is not sent to another incarnation at the same address.
        CallRequest call;
        std::optional<Incarnation> sentToIncarnation; ///< Empty until sending starts: the call can't have run.
        bool isCancelled = false; ///< Set only before sending starts.
        int failures = 0; ///< Failed attempts to query the target for the call's status.
    };
    using PendingCallPtr = std::shared_ptr<PendingCall>;

    void sendOnLoop(const PendingCallPtr &pending, const Done &done);
    /// Checked immediately before the call is sent: it may have waited for its connection.
    std::optional<CallOutcome> rejectionBeforeSending(const PendingCall &pending) const;
    kj::Promise<CallOutcome> request(const PendingCallPtr &pending, kj::Own<PeerConnection> connection);
    /// Fetches the body of an outcome that was decoded from `message`, unless the message has it.
    kj::Promise<CallOutcome> withFetchedBody(CallOutcome outcome, wire::Outcome::Reader message);
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
    /// Discards the connection and rethrows the error.
    template<typename T>
    kj::Promise<T> discardAndThrow(const std::string &address, PeerConnection &connection, kj::Exception &&error);
    /// Keeps a promise until it is done, or until close(). After close() it is dropped.
    void addTask(kj::Promise<void> task);
    void taskFailed(kj::Exception &&error) override;

    Kernel &m_kernel;
    EventLoop &m_loop;
    const std::uint64_t m_maxMessageBytes;
    // Created and destroyed on the loop's thread, while the loop runs: requests that are cancelled send a message.
    std::unique_ptr<PeerConnections> m_connections;
    std::unique_ptr<kj::TaskSet> m_tasks; ///< What is sent and not answered.
    /// The calls that wait for their connection. Used only on the loop's thread.
    std::unordered_map<AttemptId, std::weak_ptr<PendingCall>> m_unsent;
};

} // namespace fescuepond
