// The conventions between a node and its backend server beyond plain HTTP: the headers of requests, and the meaning of
// answers.
//
// The setting `environment` selects a dialect. A dialect only converts values; the backend client does the I/O.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/call.h"

#include <string>

namespace fescuepond
{

/// Which call an answer belongs to, as far as its headers tell.
enum class AnswerMatch {
    Named, ///< The answer names the call.
    Unnamed, ///< The answer names no call; it is taken for that of the call that waits.
    OtherCall, ///< The answer names another call.
};

class BackendDialect
{
public:
    virtual ~BackendDialect() = default;

    /// The headers of the request, except those that delimit its body. `instance` names the instance of the backend
    /// server that the call is meant for; empty: any.
    virtual Headers requestHeaders(const CallRequest &call, const std::string &instance, TimePoint now) const = 0;
    /// Whether an answer with these headers belongs to `call`. If not, the client discards it and reads the next one.
    virtual AnswerMatch matchAnswer(const CallRequest &call, const Headers &headers) const = 0;
    /// Converts a complete HTTP answer of `instance` to the outcome that it stands for, with the notice that it holds.
    virtual CallOutcome interpret(const CallOutcome &answer, const std::string &instance) const = 0;
    /// Whether the calls that a backend server makes carry the identifier of the call that they are made for.
    virtual bool propagatesCallId() const = 0;
};

} // namespace fescuepond
