// HTTP requests and responses as values, independent of the library that reads and writes them.

#pragma once

#include "core/value.h"
#include "core/values/call.h"

#include <compare>
#include <string>

namespace fescuepond
{

/// A complete request. Header names are in lower case.
class HttpRequest
{
    FESCUEPOND_FIELD(AttemptId, requestId, withRequestId); ///< Unique; passed to HttpDisconnectHandler.
    /// When its first bytes had arrived. What a header says of the caller's time counts from then on.
    FESCUEPOND_FIELD(TimePoint, arrivedAt, withArrivedAt);
    FESCUEPOND_FIELD(std::string, method, withMethod);
    FESCUEPOND_FIELD(std::string, target, withTarget); ///< Path and query.
    FESCUEPOND_FIELD(std::string, host, withHost); ///< Without a port.
    FESCUEPOND_SHARED_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);

public:
    /// The value of a header, or an empty string if it is absent. `name` may be in any case.
    std::string header(std::string_view name) const;
    friend auto operator<=>(const HttpRequest &, const HttpRequest &) = default;
};

class HttpResponse
{
    FESCUEPOND_FIELD(int, status, withStatus);
    FESCUEPOND_SHARED_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);

public:
    HttpResponse() = default;
    HttpResponse(int status, std::string contentType, std::string body);
    friend auto operator<=>(const HttpResponse &, const HttpResponse &) = default;
};

std::string toLower(std::string_view text);

/// The value of a header, or an empty string if it is absent. `headers` have lower-case names; `name` may be in any
/// case.
std::string valueOf(const Headers &headers, std::string_view name);

/// Whether a header applies to one connection only and is never forwarded. `lowerName` must be in lower case.
bool isHopByHop(std::string_view lowerName);

/// The response that reports the outcome of a call to its caller.
HttpResponse toResponse(const CallOutcome &outcome);

} // namespace fescuepond
