// One connection to the local backend server.

#include "modules/backend/backendconnection.h"

#include "core/kernel/eventlog.h"
#include "core/pipeline/headernames.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// Responses to other requests that are skipped before the connection is given up.
constexpr int MaxStrayResponses = 3;
/// A connection with more rejections is closed.
constexpr std::size_t MaxRejectedAttempts = 64;

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
        const AnswerMatch match = dialect.matchAnswer(call, response.headers());
        if (match != AnswerMatch::OtherCall) {
            CallOutcome outcome = dialect.interpret(response, instance);
            m_wasRejected = outcome.state() == CallState::NotRun;
            if (m_wasRejected && match == AnswerMatch::Unnamed && !m_rejectedAttempts.empty()) {
                forbidReuse();
                return CallOutcome::unknown(Reason::AnswerLost, "a rejection doesn't name its call as those before it");
            }
            if (m_wasRejected) {
                rejected(call, match, outcome.reason());
            }
            if (dropped > 0) {
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

void BackendConnection::rejected(const CallRequest &call, AnswerMatch match, Reason reason)
{
    // A faulty backend server may repeat a rejection. One that names no call would pass for that of the next call.
    const bool isRecognisable = match == AnswerMatch::Named && reason == Reason::BackendBusy;
    if (isRecognisable && m_rejectedAttempts.size() < MaxRejectedAttempts) {
        m_rejectedAttempts.push_back(call.context().callerAttempt());
    } else {
        forbidReuse();
    }
}

bool BackendConnection::canCarry(const CallRequest &call) const
{
    const std::string &attempt = call.context().callerAttempt();
    return std::find(m_rejectedAttempts.begin(), m_rejectedAttempts.end(), attempt) == m_rejectedAttempts.end();
}

} // namespace fescuepond
