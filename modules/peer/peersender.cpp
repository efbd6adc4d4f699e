// The caller's side of the peer protocol.

#include "modules/peer/peersender.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "modules/peer/wireencoding.h"

#include <kj/debug.h>

namespace fescuepond
{

namespace
{

/// Added to a call's remaining time before the sender gives up: the callee ends the call at its deadline.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(50);

kj::Duration toKj(Duration duration)
{
    return std::max<Duration::rep>(duration.count(), 0) * kj::NANOSECONDS;
}

} // namespace

PeerSender::PeerSender(Kernel &kernel, EventLoop &loop)
    : m_kernel(kernel)
    , m_loop(loop)
{
}

void PeerSender::open()
{
    m_connections = std::make_unique<PeerConnections>(m_loop.io(), m_kernel.settings().name());
}

void PeerSender::close()
{
    m_connections.reset();
}

void PeerSender::send(const Member &target, const CallRequest &call, Done done)
{
    m_loop.post([this, address = target.peerAddress(), call, done = std::move(done)] {
        sendOnLoop(address, call, done);
    });
}

void PeerSender::sendOnLoop(const std::string &address, const CallRequest &call, const Done &done)
{
    // Whether the callee may have seen the call; shared with the continuations below.
    const auto isSent = std::make_shared<bool>(false);
    const Duration limit = call.context().deadline() - m_kernel.clock().now() + DeadlineGrace;
    auto outcome = m_connections->get(address).then([this, call, isSent](kj::Own<PeerConnection> connection) {
        *isSent = true;
        return request(kj::mv(connection), call);
    });
    m_loop.io()
        .provider->getTimer()
        .timeoutAfter(toKj(limit), kj::mv(outcome))
        .then(
            [this, done](const CallOutcome &received) {
                finish(done, received);
            },
            [this, done, address, isSent, call](kj::Exception &&error) {
                const std::string detail = "no answer from " + address;
                Event("peer_call_failed").with("address", address).with("error", error.getDescription().cStr());
                finish(done,
                       *isSent ? CallOutcome::unknown(Reason::ConnectionLost, detail)
                               : CallOutcome::notRun(Reason::ConnectionLost, detail)
                                     .withUnusedAllowance(call.context().retryAllowance()));
            })
        .detach([](kj::Exception &&error) {
            Event("peer_send_failed").with("error", error.getDescription().cStr());
        });
}

kj::Promise<CallOutcome> PeerSender::request(kj::Own<PeerConnection> connection, const CallRequest &call)
{
    auto request = connection->m_peer.callRequest();
    encode(call, m_kernel.clock().now(), request.initCall());
    const AttemptId attemptId = call.context().attemptId();
    return request.send().then([attemptId, connection = kj::mv(connection)](auto response) {
        KJ_REQUIRE(decodeId<AttemptId>(response.getAttemptId()) == attemptId, "the answer is for another attempt");
        auto outcome = decode(response.getOutcome());
        KJ_REQUIRE(outcome.has_value(), "the answer does not match its digest");
        return *std::move(outcome);
    });
}

void PeerSender::finish(const Done &done, const CallOutcome &outcome)
{
    m_kernel.pool().post(Lane::Decision, [done, outcome] {
        done(outcome);
    });
}

void PeerSender::ask(const std::string &address,
                     PeerTopic topic,
                     std::string request,
                     Duration timeout,
                     PeerReply reply)
{
    m_loop.post([this, address, topic, body = std::move(request), timeout, reply = std::move(reply)] {
        auto answered = m_connections->get(address).then([topic, body](kj::Own<PeerConnection> connection) {
            auto message = connection->m_peer.askRequest();
            message.setTopic(static_cast<std::uint16_t>(topic));
            message.setBody({reinterpret_cast<const capnp::byte *>(body.data()), body.size()});
            return message.send().then([connection = kj::mv(connection)](auto response) -> std::optional<std::string> {
                if (!response.getAnswered()) {
                    return std::nullopt;
                }
                const auto data = response.getBody();
                return std::string(reinterpret_cast<const char *>(data.begin()), data.size());
            });
        });
        m_loop.io()
            .provider->getTimer()
            .timeoutAfter(toKj(timeout), kj::mv(answered))
            .catch_([address](kj::Exception &&error) -> std::optional<std::string> {
                Event("peer_ask_failed").with("address", address).with("error", error.getDescription().cStr());
                return std::nullopt;
            })
            .then([this, reply](std::optional<std::string> answer) {
                m_kernel.pool().post(Lane::Decision, [reply, answer = std::move(answer)] {
                    reply(answer);
                });
            })
            .detach([](kj::Exception &&error) {
                Event("peer_ask_failed").with("error", error.getDescription().cStr());
            });
    });
}

} // namespace fescuepond
