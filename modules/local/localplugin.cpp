// The local listener: accepts the calls that the backend server of this VM makes to other services.
//
// The backend server copies the call identifier of the request that it serves to a header of each call. The listener
// looks up the context of that request and derives the context of the new call from it. A call without the identifier
// of a running call counts as a new root request.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"
#include "core/pipeline/headernames.h"
#include "core/pipeline/interfaces.h"
#include "modules/http/callencoding.h"
#include "modules/http/httplistener.h"
#include "servers/ledger/key.h"

#include <atomic>
#include <memory>

namespace fescuepond
{

namespace
{

/// The key that the backend server set in headers; it becomes part of the key of a child call.
std::string keyFromHeaders(const HttpRequest &request)
{
    return keyOfRoot(request.header(header::Ticket), request.header(header::IdempotencyKey)).toString();
}

/// The key of a call without a running parent on this node. If the call names a parent, that one has completed, and the
/// call must not run again as a root request: it gets the key of a child call, which the ledger rejects.
std::string orphanKey(const HttpRequest &request, const CallRequest &call)
{
    const auto parentId = CallId::parse(request.header(header::Call));
    return parentId ? keyOfChild(CallContext().withCallId(*parentId), call, keyFromHeaders(request)).toString()
                    : keyFromHeaders(request);
}

class LocalPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_pipeline = &kernel.require<EntryPipeline>();
        m_calls = &kernel.require<CallsInFlight>();
        m_settlement = &kernel.require<AttemptSettlement>();
        m_listener = std::make_unique<HttpListener>(
            kernel,
            "local",
            [this](const HttpRequest &request, const HttpResponder &respond) {
                handle(request, respond);
            },
            ListenerUse::BackendServer);
        return kernel.settings().localAddress().empty() ? Result<void>()
                                                        : m_listener->start(kernel.settings().localAddress());
    }
    void rejectNewWork() override
    {
        m_rejectsRootRequests = true;
    }
    std::size_t workInFlight() const override
    {
        return m_listener->requestsInFlight();
    }
    void stop() override
    {
        m_listener->stop();
    }

private:
    void handle(const HttpRequest &request, const HttpResponder &respond)
    {
        const auto parentId = CallId::parse(request.header(header::Call));
        const auto parent = parentId ? m_calls->find(*parentId) : std::nullopt;
        CallRequest call = toCall(request, request.host());
        if (!parent && m_rejectsRootRequests) {
            respond(toResponse(CallOutcome::notRun(Reason::Leaving, "this node is leaving")));
            return;
        }
        if (!parent) {
            m_pipeline->submit(call.withContext(CallContext().withKey(orphanKey(request, call))),
                               [respond](const CallOutcome &outcome) {
                                   respond(toResponse(outcome));
                               });
            return;
        }
        if (parent->idempotent() && m_settlement->isCancelled(parent->attemptId())) {
            respond(toResponse(CallOutcome::notRun(Reason::Cancelled, "the parent call was cancelled")));
            return;
        }
        const int allowance = m_calls->takeAllowance(*parentId);
        const KeyName key = keyOfChild(*parent, call, keyFromHeaders(request));
        call = call.withContext(childOf(*parent).withKey(key.toString()).withRetryAllowance(allowance));
        m_pipeline->submit(call, [this, respond, parentId](const CallOutcome &outcome) {
            m_calls->onChildCompleted(*parentId, outcome);
            respond(toResponse(outcome));
        });
    }

    /// True while the node is leaving. Child calls of running requests are still accepted.
    std::atomic<bool> m_rejectsRootRequests = false;
    EntryPipeline *m_pipeline = nullptr;
    CallsInFlight *m_calls = nullptr;
    AttemptSettlement *m_settlement = nullptr;
    std::unique_ptr<HttpListener> m_listener;
};

const auto registration =
    registerPlugin<LocalPlugin>("local", {"pipelines", "classification", "routing", "ledger", "settlement"});

} // namespace

} // namespace fescuepond
