// The default dialect: a request to the backend server carries the call's identifier in a header, and the backend
// server copies that header to the calls that it makes while serving the request.

#include "core/kernel/strategy.h"
#include "core/pipeline/backenddialect.h"
#include "core/pipeline/headernames.h"

namespace fescuepond
{

namespace
{

class PlainDialect final : public BackendDialect
{
public:
    Headers requestHeaders(const CallRequest &call, const std::string &, TimePoint) const override
    {
        Headers headers = call.headers();
        headers[std::string(header::Call)] = call.context().callId().toString();
        return headers;
    }
    AnswerMatch matchAnswer(const CallRequest &, const Headers &) const override
    {
        return AnswerMatch::Unnamed;
    }
    CallOutcome interpret(const CallOutcome &response, const std::string &) const override
    {
        return response;
    }
    bool propagatesCallId() const override
    {
        return true;
    }
};

const StrategyRegistration<BackendDialect> registration("plain", [] {
    return std::make_unique<PlainDialect>();
});

} // namespace

} // namespace fescuepond
