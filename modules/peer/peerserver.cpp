// The callee's side of the peer protocol: decodes a request, runs it on the pool, encodes the reply.

#include "modules/peer/peerserver.h"

#include "core/kernel/kernel.h"
#include "modules/peer/wireencoding.h"

#include <kj/async.h>
#include <kj/debug.h>

namespace fescuepond
{

namespace
{

/// A fulfiller that std::function can hold.
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

capnp::Data::Reader toData(const std::string &text)
{
    return {reinterpret_cast<const capnp::byte *>(text.data()), text.size()};
}

} // namespace

PeerServer::PeerServer(Kernel &kernel, const TargetPipeline &pipeline, const PeerHandlers &handlers)
    : m_kernel(kernel)
    , m_pipeline(pipeline)
    , m_handlers(handlers)
{
}

kj::Promise<void> PeerServer::hello(HelloContext context)
{
    auto results = context.getResults();
    results.setVersion(wire::PROTOCOL_VERSION);
    results.setName(m_kernel.settings().name());
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::call(CallContext context)
{
    const auto call = decode(context.getParams().getCall(), m_kernel.clock().now());
    if (!call) {
        encode(CallOutcome::notRun(Reason::BadRequest, "the call's body does not match its digest"),
               context.getResults().initOutcome());
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<CallOutcome>();
    m_kernel.pool().post(Lane::Decision, [this, call = *call, fulfiller = shared(kj::mv(pair.fulfiller))] {
        m_pipeline.submit(call, [fulfiller](const CallOutcome &outcome) {
            (*fulfiller)->fulfill(CallOutcome(outcome));
        });
    });
    const AttemptId attemptId = call->context().attemptId();
    return pair.promise.then([context, attemptId](const CallOutcome &outcome) mutable {
        auto results = context.getResults();
        encode(outcome, results.initOutcome());
        encode(attemptId, results.initAttemptId());
    });
}

kj::Promise<void> PeerServer::settle(SettleContext context)
{
    return KJ_EXCEPTION(UNIMPLEMENTED, "settle");
}

kj::Promise<void> PeerServer::cancel(CancelContext)
{
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::ask(AskContext context)
{
    const auto params = context.getParams();
    const auto found = m_handlers.find(static_cast<PeerTopic>(params.getTopic()));
    if (found == m_handlers.end()) {
        context.getResults().setAnswered(false);
        return kj::READY_NOW;
    }
    using Reply = std::optional<std::string>;
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Reply>();
    m_kernel.pool().post(
        Lane::Decision,
        [handler = found->second, request = toString(params.getBody()), fulfiller = shared(kj::mv(pair.fulfiller))] {
            handler(request, [fulfiller](Reply reply) {
                (*fulfiller)->fulfill(std::move(reply));
            });
        });
    return pair.promise.then([context](const Reply &reply) mutable {
        auto results = context.getResults();
        results.setAnswered(reply.has_value());
        if (reply) {
            results.setBody(toData(*reply));
        }
    });
}

kj::Promise<void> PeerServer::ping(PingContext)
{
    return kj::READY_NOW;
}

} // namespace fescuepond
