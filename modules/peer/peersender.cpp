// The client side of the peer protocol.

#include "modules/peer/peersender.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "modules/peer/messagelimits.h"
#include "modules/peer/wireencoding.h"
#include "servers/settlement/settlementpolicy.h"

#include <kj/debug.h>

namespace fescuepond
{

namespace
{

/// Added to a call's remaining time before the sender times out, so that a callee that ends the call at its deadline
/// can still reply.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(50);

/// How long an outcome waits for room for its body.
constexpr kj::Duration MaxRoomWait = 2 * kj::SECONDS;

/// What becomes of an answer whose body there is no room for. The call has run.
CallOutcome withoutRoom(const CallOutcome &outcome)
{
    return outcome.withState(CallState::OutcomeUnknown)
        .withReason(Reason::AnswerLost)
        .withDetail("the node has no room for the response's body")
        .withHeaders({});
}

kj::Duration toKj(Duration duration)
{
    return std::max<Duration::rep>(duration.count(), 0) * kj::NANOSECONDS;
}

} // namespace

PeerSender::PeerSender(Kernel &kernel, EventLoop &loop)
    : m_kernel(kernel)
    , m_loop(loop)
    , m_maxMessageBytes(maxMessageBytes(kernel.settings().maxBodyBytes(), kernel.settings().maxHeaderBytes()))
{
}

void PeerSender::open()
{
    m_connections = std::make_unique<PeerConnections>(
        m_loop.io(), PeerIdentity{m_kernel.settings().name(), m_kernel.clock(), m_maxMessageBytes});
    m_tasks = std::make_unique<kj::TaskSet>(*this);
}

void PeerSender::close()
{
    m_tasks.reset();
    m_connections.reset();
}

void PeerSender::addTask(kj::Promise<void> task)
{
    if (m_tasks) {
        m_tasks->add(kj::mv(task));
    }
}

void PeerSender::taskFailed(kj::Exception &&error)
{
    Event("peer_send_failed").with("error", error.getDescription().cStr());
}

void PeerSender::send(const Member &target, const CallRequest &call, Done done)
{
    m_loop.post(
        [this, address = target.peerAddress(), incarnation = target.incarnation(), call, done = std::move(done)] {
            sendOnLoop(std::make_shared<PendingCall>(PendingCall{address, incarnation, call, std::nullopt}), done);
        });
}

void PeerSender::sendOnLoop(const PendingCallPtr &pending, const Done &done)
{
    const Duration remaining = pending->call.context().deadline() - m_kernel.clock().now();
    if (remaining <= Duration::zero()) {
        done(outcomeAtDeadline(*pending));
        return;
    }
    m_unsent.emplace(pending->call.context().attemptId(), pending);
    auto outcome = connect(pending->address)
                       .then([this, pending](kj::Own<PeerConnection> connection) {
                           return request(pending, kj::mv(connection));
                       })
                       .catch_([this, pending](kj::Exception &&error) {
                           Event("peer_call_failed")
                               .with("address", pending->address)
                               .with("sent", pending->sentToIncarnation.has_value())
                               .with("error", error.getDescription().cStr());
                           return settle(pending);
                       });
    auto forget = kj::defer([this, attemptId = pending->call.context().attemptId()] {
        m_unsent.erase(attemptId);
    });
    auto ended = m_loop.io()
                     .provider->getTimer()
                     .timeoutAfter(toKj(remaining + DeadlineGrace), outcome.attach(kj::mv(forget)))
                     .then(
                         [done](const CallOutcome &received) {
                             done(received);
                         },
                         [this, done, pending](kj::Exception &&) {
                             if (pending->sentToIncarnation) {
                                 const CallContext &context = pending->call.context();
                                 cancelOnLoop(pending->address, context.attemptId(), context.deadline());
                             }
                             done(outcomeAtDeadline(*pending));
                         });
    addTask(kj::mv(ended));
}

std::optional<CallOutcome> PeerSender::rejectionBeforeSending(const PendingCall &pending) const
{
    if (pending.isCancelled) {
        return CallOutcome::notRun(Reason::Cancelled, "the caller cancelled the call before it was sent")
            .withUnusedAllowance(pending.call.context().retryAllowance());
    }
    const bool isTimeLeft = m_kernel.clock().now() < pending.call.context().deadline();
    return isTimeLeft ? std::nullopt : std::optional(outcomeAtDeadline(pending));
}

kj::Promise<CallOutcome> PeerSender::request(const PendingCallPtr &pending, kj::Own<PeerConnection> connection)
{
    if (connection->incarnation() != pending->targetIncarnation) {
        return KJ_EXCEPTION(DISCONNECTED, "another incarnation of a node uses the address");
    }
    m_unsent.erase(pending->call.context().attemptId());
    if (auto rejection = rejectionBeforeSending(*pending)) {
        return *std::move(rejection);
    }
    pending->sentToIncarnation = connection->incarnation();
    const BodyPlacement placement = connection->bodyPlacement();
    auto message = connection->peer().callRequest(sizeOf(pending->call, placement));
    encode(pending->call, m_kernel.clock().now(), connection->calleeClock(), message.initCall(), placement);
    const AttemptId attemptId = pending->call.context().attemptId();
    auto responsePromise = message.send().then([this, attemptId](auto response) {
        KJ_REQUIRE(decodeId<AttemptId>(response.getAttemptId()) == attemptId, "the reply is for another attempt");
        auto outcome = decode(response.getOutcome());
        KJ_REQUIRE(outcome.has_value(), "the reply is corrupt: digest mismatch or unknown value");
        return withFetchedBody(*std::move(outcome), response.getOutcome());
    });
    auto replyPromise = connection->withLivenessCheck<CallOutcome>(kj::mv(responsePromise));
    return replyPromise.catch_([this, pending, connection = kj::mv(connection)](kj::Exception &&error) mutable {
        return discardAndThrow<CallOutcome>(pending->address, *connection, kj::mv(error));
    });
}

kj::Promise<CallOutcome> PeerSender::withFetchedBody(CallOutcome outcome, wire::Outcome::Reader message)
{
    if (!message.hasBodySource()) {
        return outcome;
    }
    kj::Timer &timer = m_loop.io().provider->getTimer();
    return fetchBody(fetchOf(message, m_kernel.settings().maxBodyBytes(), MaxRoomWait), timer)
        .then([outcome = std::move(outcome)](std::optional<Body> body) {
            return body ? outcome.withBody(*std::move(body)) : withoutRoom(outcome);
        });
}

kj::Promise<CallOutcome> PeerSender::settle(const PendingCallPtr &pending)
{
    if (!pending->sentToIncarnation) {
        return CallOutcome::notRun(Reason::ConnectionLost, "no connection to " + pending->address)
            .withUnusedAllowance(pending->call.context().retryAllowance());
    }
    return connect(pending->address)
        .then([this, pending](kj::Own<PeerConnection> connection) {
            return requestReport(pending, kj::mv(connection));
        })
        .catch_([this, pending](kj::Exception &&error) {
            return retrySettlement(pending, error);
        });
}

kj::Promise<CallOutcome> PeerSender::requestReport(const PendingCallPtr &pending, kj::Own<PeerConnection> connection)
{
    if (connection->incarnation() != *pending->sentToIncarnation) {
        return CallOutcome::unknown(Reason::ConnectionLost, "the target restarted after the call was sent to it");
    }
    const CallContext &context = pending->call.context();
    const TimePoint now = m_kernel.clock().now();
    auto message = connection->peer().settleRequest();
    encode(context.attemptId(), message.initAttemptId());
    encode(toWire(context.deadline(), now, connection->calleeClock()), message.initDeadline());
    message.setWaitNs(std::max(context.deadline() - now, Duration::zero()).count());
    auto responsePromise = message.send().then([this](auto response) {
        auto report = decode(response);
        KJ_REQUIRE(report.has_value(), "the attempt report is corrupt: digest mismatch or unknown value");
        return withFetchedBody(report->outcome(), response.getOutcome())
            .then([report = *report](const CallOutcome &outcome) {
                return report.withOutcome(outcome);
            });
    });
    auto replyPromise = connection->withLivenessCheck<AttemptReport>(kj::mv(responsePromise));
    return replyPromise
        .catch_([this, pending, connection = kj::mv(connection)](kj::Exception &&error) mutable {
            return discardAndThrow<AttemptReport>(pending->address, *connection, kj::mv(error));
        })
        .then([this, pending](const AttemptReport &report) -> kj::Promise<CallOutcome> {
            auto outcome = outcomeFromReport(report, pending->call.context());
            return outcome ? kj::Promise<CallOutcome>(*std::move(outcome)) : settle(pending);
        });
}

kj::Promise<CallOutcome> PeerSender::retrySettlement(const PendingCallPtr &pending, const kj::Exception &error)
{
    ++pending->failures;
    Event("settle_failed")
        .with("address", pending->address)
        .with("failures", pending->failures)
        .with("error", error.getDescription().cStr());
    const auto pause = settlementRetryDelay(pending->call.context(), pending->failures, m_kernel.clock().now());
    if (!pause) {
        return CallOutcome::unknown(Reason::ConnectionLost,
                                    "the connection to " + pending->address
                                        + " was lost and the attempt could not be settled");
    }
    return m_loop.io().provider->getTimer().afterDelay(toKj(*pause)).then([this, pending] {
        return settle(pending);
    });
}

CallOutcome PeerSender::outcomeAtDeadline(const PendingCall &pending) const
{
    if (pending.sentToIncarnation) {
        return CallOutcome::unknown(Reason::DeadlineExceeded,
                                    "no reply from " + pending.address + " before the deadline");
    }
    return CallOutcome::notRun(Reason::DeadlineExceeded, "the deadline passed before the call was sent")
        .withUnusedAllowance(pending.call.context().retryAllowance());
}

kj::Promise<kj::Own<PeerConnection>> PeerSender::connect(const std::string &address)
{
    if (!m_connections) {
        return KJ_EXCEPTION(DISCONNECTED, "this node is stopping");
    }
    return m_connections->get(address);
}

template<typename T>
kj::Promise<T>
PeerSender::discardAndThrow(const std::string &address, PeerConnection &connection, kj::Exception &&error)
{
    if (m_connections) {
        m_connections->discard(address, connection);
    }
    return kj::mv(error);
}

void PeerSender::cancel(const std::string &address, const AttemptId &attemptId, TimePoint deadline)
{
    m_loop.post([this, address, attemptId, deadline] {
        cancelOnLoop(address, attemptId, deadline);
    });
}

void PeerSender::cancelOnLoop(const std::string &address, const AttemptId &attemptId, TimePoint deadline)
{
    const auto unsent = m_unsent.find(attemptId);
    if (unsent != m_unsent.end()) {
        if (const PendingCallPtr pending = unsent->second.lock()) {
            pending->isCancelled = true;
        }
        return;
    }
    auto sent =
        connect(address)
            .then([this, attemptId, deadline](kj::Own<PeerConnection> connection) {
                auto message = connection->peer().cancelRequest();
                encode(attemptId, message.initAttemptId());
                encode(toWire(deadline, m_kernel.clock().now(), connection->calleeClock()), message.initDeadline());
                return connection->withLivenessCheck<bool>(message.send().then([](auto &&) {
                    return true;
                }));
            })
            .ignoreResult()
            .catch_([](kj::Exception &&) {
                // Ignored: without the cancellation, the target ends the attempt at its deadline.
            });
    addTask(kj::mv(sent));
}

void PeerSender::ask(const std::string &address,
                     PeerTopic topic,
                     std::string request,
                     Duration timeout,
                     PeerReply reply)
{
    m_loop.post([this, address, topic, body = std::move(request), timeout, reply = std::move(reply)] {
        askOnLoop(address, topic, body, timeout, reply);
    });
}

void PeerSender::askOnLoop(const std::string &address,
                           PeerTopic topic,
                           const std::string &body,
                           Duration timeout,
                           const PeerReply &reply)
{
    using OptionalReply = std::optional<std::string>;
    auto responsePromise = connect(address).then([this, address, topic, body](kj::Own<PeerConnection> connection) {
        auto message = connection->peer().askRequest();
        message.setTopic(static_cast<std::uint16_t>(topic));
        placeBody(Body(body), message, topicPlacement(topic, connection->bodyPlacement()));
        auto sent = message.send().then([this](auto response) -> kj::Promise<OptionalReply> {
            if (!response.getAnswered()) {
                return OptionalReply();
            }
            if (!response.hasBodySource()) {
                const auto data = response.getBody();
                return OptionalReply(std::string(reinterpret_cast<const char *>(data.begin()), data.size()));
            }
            return fetchBody(fetchOf(response, m_maxMessageBytes, MaxRoomWait), m_loop.io().provider->getTimer())
                .then([](const std::optional<Body> &received) {
                    return received ? OptionalReply(received->bytes()) : std::nullopt;
                });
        });
        auto replyPromise = connection->withLivenessCheck<OptionalReply>(kj::mv(sent));
        return replyPromise.catch_([this, address, connection = kj::mv(connection)](kj::Exception &&error) mutable {
            return discardAndThrow<OptionalReply>(address, *connection, kj::mv(error));
        });
    });
    auto answered = m_loop.io()
                        .provider->getTimer()
                        .timeoutAfter(toKj(timeout), kj::mv(responsePromise))
                        .catch_([](kj::Exception &&) -> OptionalReply {
                            return std::nullopt;
                        })
                        .then([this, reply](OptionalReply optionalReply) {
                            m_kernel.pool().post(Lane::Decision, [reply, optionalReply = std::move(optionalReply)] {
                                reply(optionalReply);
                            });
                        })
                        .catch_([](kj::Exception &&error) {
                            Event("peer_ask_failed").with("error", error.getDescription().cStr());
                        });
    addTask(kj::mv(answered));
}

} // namespace fescuepond
