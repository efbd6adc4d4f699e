// What a backend server is told with a request, and what its answer says, beyond plain HTTP.
//
// The settings choose a dialect. It works on values alone; the client of the backend server sends and receives them.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/call.h"

#include <string>

namespace fescuepond
{

class BackendDialect
{
public:
    virtual ~BackendDialect() = default;

    /// The headers of the request, besides those that delimit its body. `instance` names the backend server that is
    /// meant; empty: any.
    virtual Headers requestHeaders(const CallRequest &call, const std::string &instance, TimePoint now) const = 0;
    /// Whether an answer with these headers belongs to `call`; one that doesn't is dropped, and the next is read.
    virtual bool isAnswerTo(const CallRequest &call, const Headers &headers) const = 0;
    /// What a whole answer means.
    virtual CallOutcome interpret(const CallOutcome &answer) const = 0;
    /// Whether the calls that a backend server makes name the call that they are made for.
    virtual bool propagatesCallId() const = 0;
};

} // namespace fescuepond
