// The server side of the peer protocol: decodes a request, runs it and encodes the reply. Calls and cancellations run
// on the thread of the event loop as far as they go without waiting; other requests run on the worker pool.

#include "modules/peer/peerserver.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "modules/peer/messagelimits.h"
#include "modules/peer/wireencoding.h"

#include <kj/async.h>
#include <kj/debug.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

/// Calls that took longer to arrive are logged, and wait for CancellationGrace.
constexpr Duration MaxUsualDelay = std::chrono::milliseconds(250);
/// Time for the messages that were delayed together with a call to arrive: its cancellation may be among them.
constexpr kj::Duration CancellationGrace = 50 * kj::MILLISECONDS;
/// How long a call waits for room for its body.
constexpr kj::Duration MaxRoomWait = 1 * kj::SECONDS;

/// A copyable fulfiller, as std::function requires copyable captures.
template<typename T>
std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>
shared(kj::Own<kj::CrossThreadPromiseFulfiller<T>> fulfiller)
{
    return std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(fulfiller));
}

std::string toString(capnp::Data::Reader data)
{
    return std::string(reinterpret_cast<const char *>(data.begin()), data.size());
}

} // namespace

PeerServer::PeerServer(const PeerServices &services, kj::Timer &timer)
    : m_services(services)
    , m_timer(timer)
{
}

kj::Promise<void> PeerServer::hello(HelloContext context)
{
    const auto params = context.getParams();
    const Kernel &kernel = m_services.kernel;
    if (params.getVersion() == wire::PROTOCOL_VERSION) {
        m_bodyPlacement = params.getFetchesBodies() ? BodyPlacement::Fetched : BodyPlacement::InMessage;
        m_clock = CallerClock().withRemoteNs(params.getClockNs()).withReceivedAt(kernel.clock().now());
    } else {
        Event("peer_version_refused").with("peer", params.getName().cStr()).with("version", params.getVersion());
    }
    auto results = context.getResults();
    results.setVersion(wire::PROTOCOL_VERSION);
    results.setName(kernel.settings().name());
    encode(m_services.incarnation, results.initIncarnation());
    results.setClockNs(toWireClock(kernel.clock().now()));
    results.setFetchesBodies(true);
    return kj::READY_NOW;
}

const CallerClock &PeerServer::clockOfPeer() const
{
    KJ_REQUIRE(
        m_clock.has_value(), "the first request must be hello with this protocol version", wire::PROTOCOL_VERSION);
    return *m_clock;
}

void PeerServer::logDelay(wire::Call::Reader message, Duration delay, TimePoint now) const
{
    using std::chrono::milliseconds;
    const auto toMs = [](Duration duration) {
        return std::chrono::duration_cast<milliseconds>(duration).count();
    };
    Event("call_delayed")
        .with("attempt", message.getCallerAttempt().cStr())
        .with("delay_ms", toMs(delay))
        .with("remaining_ms", toMs(Duration(message.getDeadline().getRemainingNs())))
        .with("connection_age_ms", toMs(now - clockOfPeer().receivedAt()));
}

kj::Promise<void> PeerServer::call(CallContext context)
{
    const auto message = context.getParams().getCall();
    const auto attemptId = decodeId<AttemptId>(message.getAttemptId());
    const TimePoint now = m_services.kernel.clock().now();
    const auto call = decode(message, clockOfPeer(), now);
    if (!call) {
        return reply(
            CallOutcome::notRun(Reason::BadRequest, "the call's body does not match its digest"), attemptId, context);
    }
    const Duration delay = transmissionDelay(decode(message.getDeadline()), clockOfPeer(), now);
    if (delay < MaxUsualDelay) {
        return fetchAndSubmit(*call, attemptId, context);
    }
    logDelay(message, delay, now);
    return m_timer.afterDelay(CancellationGrace).then([this, call = *call, attemptId, context]() mutable {
        return kj::evalLast([this, call = std::move(call), attemptId, context]() mutable {
            return fetchAndSubmit(call, attemptId, context);
        });
    });
}

kj::Promise<void> PeerServer::fetchAndSubmit(const CallRequest &call, const AttemptId &attemptId, CallContext context)
{
    const auto message = context.getParams().getCall();
    if (!message.hasBodySource()) {
        return submit(call, attemptId, context);
    }
    return fetchBody(fetchOf(message, m_services.kernel.settings().maxBodyBytes(), MaxRoomWait), m_timer)
        .then([this, call, attemptId, context](std::optional<Body> body) mutable -> kj::Promise<void> {
            if (!body) {
                return reply(CallOutcome::notRun(Reason::Overload, "the node has no room for the request's body")
                                 .withUnusedAllowance(call.context().retryAllowance()),
                             attemptId,
                             context);
            }
            return submit(call.withBody(*std::move(body)), attemptId, context);
        });
}

kj::Promise<void> PeerServer::reply(const CallOutcome &outcome, const AttemptId &attemptId, CallContext context)
{
    auto results = context.getResults(sizeOf(outcome, m_bodyPlacement));
    encode(outcome, results.initOutcome(), m_bodyPlacement);
    encode(attemptId, results.initAttemptId());
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::submit(const CallRequest &call, const AttemptId &attemptId, CallContext context)
{
    // The call was copied from the message.
    context.releaseParams();
    auto pair = kj::newPromiseAndCrossThreadFulfiller<CallOutcome>();
    m_services.pipeline.submit(call, [fulfiller = shared(kj::mv(pair.fulfiller))](const CallOutcome &outcome) {
        (*fulfiller)->fulfill(CallOutcome(outcome));
    });
    return pair.promise.then([this, context, attemptId](const CallOutcome &outcome) {
        return reply(outcome, attemptId, context);
    });
}

kj::Promise<void> PeerServer::settle(SettleContext context)
{
    const auto params = context.getParams();
    const auto attemptId = decodeId<AttemptId>(params.getAttemptId());
    const TimePoint now = m_services.kernel.clock().now();
    const TimePoint deadline = fromWire(decode(params.getDeadline()), clockOfPeer(), now);
    const Duration wait = std::min(Duration(params.getWaitNs()), deadline - now);
    auto pair = kj::newPromiseAndCrossThreadFulfiller<AttemptReport>();
    m_services.kernel.pool().post(
        Lane::Decision,
        [&settlement = m_services.settlement, attemptId, deadline, wait, fulfiller = shared(kj::mv(pair.fulfiller))] {
            settlement.settle(attemptId, deadline, wait, [fulfiller](const AttemptReport &report) {
                (*fulfiller)->fulfill(AttemptReport(report));
            });
        });
    return pair.promise.then([placement = m_bodyPlacement, context](const AttemptReport &report) mutable {
        encode(report, context.getResults(), placement);
    });
}

kj::Promise<void> PeerServer::cancel(CancelContext context)
{
    const auto params = context.getParams();
    const auto attemptId = decodeId<AttemptId>(params.getAttemptId());
    const TimePoint deadline = fromWire(decode(params.getDeadline()), clockOfPeer(), m_services.kernel.clock().now());
    m_services.settlement.cancel(attemptId, deadline);
    m_services.cancellation.cancelCallsOf(attemptId);
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::ask(AskContext context)
{
    clockOfPeer();
    const auto params = context.getParams();
    const auto found = m_services.handlers.find(static_cast<PeerTopic>(params.getTopic()));
    if (found == m_services.handlers.end()) {
        context.getResults().setAnswered(false);
        return kj::READY_NOW;
    }
    if (!params.hasBodySource()) {
        return answer(found->second, Body(toString(params.getBody())), context);
    }
    const NodeSettings &settings = m_services.kernel.settings();
    const auto maxBytes = maxMessageBytes(settings.maxBodyBytes(), settings.maxHeaderBytes());
    return fetchBody(fetchOf(params, maxBytes, MaxRoomWait), m_timer)
        .then([this, handler = found->second, context](const std::optional<Body> &body) mutable -> kj::Promise<void> {
            if (body) {
                return answer(handler, *body, context);
            }
            context.getResults().setAnswered(false);
            return kj::READY_NOW;
        });
}

kj::Promise<void> PeerServer::answer(const PeerHandler &handler, const Body &request, AskContext context)
{
    using Reply = std::optional<std::string>;
    const auto topic = static_cast<PeerTopic>(context.getParams().getTopic());
    context.releaseParams();
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Reply>();
    m_services.kernel.pool().post(Lane::Decision, [handler, request, fulfiller = shared(kj::mv(pair.fulfiller))] {
        handler(request.bytes(), [fulfiller](Reply reply) {
            (*fulfiller)->fulfill(std::move(reply));
        });
    });
    return pair.promise.then([this, topic, context](const Reply &reply) mutable {
        auto results = context.getResults();
        results.setAnswered(reply.has_value());
        if (reply) {
            placeBody(Body(*reply), results, topicPlacement(topic, m_bodyPlacement));
        }
    });
}

kj::Promise<void> PeerServer::ping(PingContext context)
{
    m_services.kernel.metrics().count("fescuepond_pings_received_total");
    context.getResults().setClockNs(toWireClock(m_services.kernel.clock().now()));
    return kj::READY_NOW;
}

} // namespace fescuepond
