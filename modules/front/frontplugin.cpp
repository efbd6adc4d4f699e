// The front listener: accepts HTTP requests from callers outside the system.
//
// No call context is accepted from these callers: internal headers are removed, and rank, deadline and retry allowance
// come from the declarations.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/headernames.h"
#include "core/pipeline/interfaces.h"
#include "modules/http/callencoding.h"
#include "modules/http/httplistener.h"
#include "servers/ledger/key.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <memory>

namespace fescuepond
{

namespace
{

class FrontPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_pipeline = &kernel.require<EntryPipeline>();
        m_tickets = &kernel.require<TicketIssuer>();
        m_listener = std::make_unique<HttpListener>(
            kernel,
            "front",
            [this](const HttpRequest &request, HttpResponder respond) {
                handle(request, std::move(respond));
            },
            ListenerUse::Callers);
        CallCancellation &cancellation = kernel.require<CallCancellation>();
        m_listener->setDisconnectHandler([&cancellation](const AttemptId &requestId) {
            cancellation.cancelCallsOf(requestId);
        });
        m_listener->setFinalResponse(
            toResponse(CallOutcome::unknown(Reason::Leaving, "the node stopped before the call had ended")));
        kernel.metrics().gauge("fescuepond_front_connections", {}, [this] {
            return static_cast<double>(m_listener->connectionCount());
        });
        return kernel.settings().frontAddress().empty() ? Result<void>()
                                                        : m_listener->start(kernel.settings().frontAddress());
    }
    void beginDrain() override
    {
        m_listener->beginDrain();
    }
    void rejectNewWork() override
    {
        m_listener->stopAccepting();
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
    void handle(const HttpRequest &request, HttpResponder respond)
    {
        if (request.target().substr(0, request.target().find('?')) == header::TicketsPath) {
            respond(tickets(request));
            return;
        }
        const KeyName key = keyOfRoot(request.header(header::Ticket), request.header(header::IdempotencyKey));
        const CallContext context = CallContext().withKey(key.toString()).withParentAttempt(request.requestId());
        const CallRequest call = toCall(request, serviceOf(request)).withContext(context);
        m_pipeline->submit(call, [respond = std::move(respond)](const CallOutcome &outcome) {
            respond(toResponse(outcome));
        });
    }

    /// Issues new tickets, one per line of the response.
    HttpResponse tickets(const HttpRequest &request)
    {
        constexpr unsigned MaxTickets = 1000;
        unsigned count = 1;
        for (const auto &[name, value] : Poco::URI(request.target()).getQueryParameters()) {
            const bool isCount = name == "count" && Poco::NumberParser::tryParseUnsigned(value, count);
            if (!isCount || count > MaxTickets) {
                return HttpResponse(400, "text/plain", "the only query parameter allowed is count, from 1 to 1000\n");
            }
        }
        std::string text;
        for (const std::string &ticket : m_tickets->issueTickets(count)) {
            text += ticket + "\n";
        }
        return HttpResponse(200, "text/plain", text);
    }

    /// The service named by the Host header. An IP address, localhost or an absent header selects the node's own
    /// service.
    std::string serviceOf(const HttpRequest &request) const
    {
        Poco::Net::IPAddress address;
        const bool namesNoService = request.host().empty() || request.host() == "localhost"
            || Poco::Net::IPAddress::tryParse(request.host(), address);
        return namesNoService ? m_kernel->settings().service() : request.host();
    }

    Kernel *m_kernel = nullptr;
    EntryPipeline *m_pipeline = nullptr;
    TicketIssuer *m_tickets = nullptr;
    std::unique_ptr<HttpListener> m_listener;
};

const auto registration =
    registerPlugin<FrontPlugin>("front", {"pipelines", "classification", "routing", "ledger", "peer"});

} // namespace

} // namespace fescuepond
