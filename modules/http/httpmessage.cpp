// HTTP messages as values, and the response for each outcome of a call.

#include "modules/http/httpmessage.h"

#include "core/pipeline/headernames.h"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace fescuepond
{

namespace
{

constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

struct ReasonStatus {
    Reason reason;
    int status;
};

/// HTTP status of a rejected call by reason; 503 for all other reasons.
constexpr std::array NotRunStatus = {
    ReasonStatus{Reason::BadRequest, 400},
    ReasonStatus{Reason::UnknownService, 404},
    ReasonStatus{Reason::UnknownKind, 404},
    ReasonStatus{Reason::DeadlineExceeded, 504},
    ReasonStatus{Reason::Quarantined, 422},
    ReasonStatus{Reason::Internal, 500},
};

int notRunStatus(Reason reason)
{
    constexpr int StatusUnavailable = 503;
    const auto found = std::find_if(NotRunStatus.begin(), NotRunStatus.end(), [&](const ReasonStatus &row) {
        return row.reason == reason;
    });
    return found == NotRunStatus.end() ? StatusUnavailable : found->status;
}

std::string problemBody(const CallOutcome &outcome, int status)
{
    Poco::JSON::Object problem;
    problem.set("type", std::string("urn:fescuepond:") + toString(outcome.reason()));
    problem.set("title", toString(outcome.state()));
    problem.set("status", status);
    problem.set("detail", outcome.detail());
    std::ostringstream text;
    problem.stringify(text);
    return text.str();
}

} // namespace

std::string toLower(std::string_view text)
{
    std::string lower(text);
    // Names in HTTP are ASCII; std::tolower() would ask the locale for each character.
    constexpr char ToLower = 'a' - 'A';
    for (char &c : lower) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ToLower) : c;
    }
    return lower;
}

bool isHopByHop(std::string_view lowerName)
{
    static constexpr std::array<std::string_view, 10> Names = {"connection",
                                                               "keep-alive",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "content-length",
                                                               "expect"};
    return std::find(Names.begin(), Names.end(), lowerName) != Names.end();
}

std::string valueOf(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(toLower(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::header(std::string_view name) const
{
    return valueOf(headers(), name);
}

HttpResponse::HttpResponse(int status, std::string contentType, std::string body)
    : m_status(status)
    , m_headers(Headers{{"Content-Type", std::move(contentType)}})
    , m_body(std::move(body))
{
}

HttpResponse toResponse(const CallOutcome &outcome)
{
    Headers headers = outcome.headers();
    headers[std::string(header::Outcome)] = toString(outcome.state());
    if (outcome.state() == CallState::Answered) {
        return HttpResponse().withStatus(outcome.status()).withHeaders(std::move(headers)).withBody(outcome.body());
    }
    int status = notRunStatus(outcome.reason());
    if (outcome.state() == CallState::OutcomeUnknown) {
        status = outcome.reason() == Reason::DeadlineExceeded ? StatusGatewayTimeout : StatusBadGateway;
    }
    headers[std::string(header::Reason)] = toString(outcome.reason());
    headers["Content-Type"] = "application/problem+json";
    return HttpResponse()
        .withStatus(status)
        .withHeaders(std::move(headers))
        .withBody(Body(problemBody(outcome, status)));
}

} // namespace fescuepond
