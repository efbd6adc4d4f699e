// One connection to the local backend server.

#include "modules/backend/backendconnection.h"

#include "core/kernel/eventlog.h"
#include "core/pipeline/headernames.h"

namespace fescuepond
{

namespace
{

/// Responses to other requests that are skipped before the connection is given up.
constexpr int MaxStrayResponses = 3;

RequestHeader headerOf(const CallRequest &call, const Headers &headers)
{
    HeaderFields fields = toEndToEndFields(headers);
    fields.emplace_back("Host", call.host().empty() ? call.service() : call.host());
    return RequestHeader().withMethod(call.method()).withTarget(call.path()).withFields(std::move(fields));
}

/// The response with the headers that are forwarded to the caller.
CallOutcome answerOf(const HttpResponse &response)
{
    Headers headers = response.headers();
    std::erase_if(headers, [](const Headers::value_type &entry) {
        return isHopByHop(entry.first) || entry.first.starts_with(header::InternalPrefix);
    });
    return CallOutcome()
        .withState(CallState::Answered)
        .withStatus(response.status())
        .withHeaders(std::move(headers))
        .withBody(response.body());
}

} // namespace

void BackendConnection::send(const CallRequest &call, const Headers &headers)
{
    HttpClientConnection::send(headerOf(call, headers), call.body().bytes());
}

CallOutcome BackendConnection::receive(const CallRequest &call,
                                       const std::string &instance,
                                       const BackendDialect &dialect,
                                       std::size_t maxBodyBytes)
{
    for (int dropped = 0; dropped <= MaxStrayResponses; ++dropped) {
        const CallOutcome response = answerOf(HttpClientConnection::receive(call.method(), maxBodyBytes));
        if (dialect.isAnswerTo(call, response.headers())) {
            CallOutcome outcome = dialect.interpret(response, instance);
            // A faulty backend server may repeat a rejection, which would pass for the rejection of another call.
            if (dropped > 0 || outcome.state() == CallState::NotRun) {
                forbidReuse();
            }
            return outcome;
        }
        Event("stray_answer_dropped")
            .with("attempt", call.context().callerAttempt())
            .with("status", response.status())
            .with("dropped", dropped + 1);
    }
    throw Poco::Net::MessageException("the backend server sent only responses to other requests");
}

} // namespace fescuepond
