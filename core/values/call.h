// Calls: the request, the context that the system keeps for it, and how it ended.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/body.h"
#include "core/values/declaration.h"
#include "core/values/id.h"

#include <compare>
#include <map>
#include <string>

namespace fescuepond
{

using Headers = std::map<std::string, std::string>;

/// What the system knows of a call. Nothing here comes from a caller's headers but the idempotency key.
class CallContext
{
    FESCUEPOND_FIELD(CallId, callId, withCallId);
    FESCUEPOND_FIELD(RootId, rootId, withRootId);
    FESCUEPOND_FIELD(AttemptId, attemptId, withAttemptId);
    /// The attempt or the caller's request on whose behalf this node makes the call; not told to other nodes.
    FESCUEPOND_FIELD(AttemptId, parentAttempt, withParentAttempt);
    FESCUEPOND_FIELD(std::string, kind, withKind); ///< Kind at the called service.
    FESCUEPOND_FIELD(std::string, rootKind, withRootKind); ///< `service/kind` of the root request.
    FESCUEPOND_FIELD(Rank, rank, withRank); ///< Of the root request.
    FESCUEPOND_FIELD(double, keptShare, withKeptShare); ///< Declared for the root request's kind.
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_FIELD(std::string, key, withKey); ///< Names a call that may run at most once; empty when idempotent.
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);
    FESCUEPOND_FIELD(int, retryAllowance, withRetryAllowance); ///< Retries that this call and all below may still use.
    FESCUEPOND_FIELD(int, depth, withDepth); ///< 0 for a root request.
    FESCUEPOND_FIELD(int, crashCount, withCrashCount); ///< Backend servers lost while they ran this request.
    /// Names one sending of a request by its caller, who never sends two with one name; empty: the caller named none.
    /// Such a request needs no key: it runs at most once, since a caller's repetition is another request.
    FESCUEPOND_FIELD(std::string, callerAttempt, withCallerAttempt);
    FESCUEPOND_FIELD(std::string, callerService, withCallerService); ///< Service of the VM where the request began.
    FESCUEPOND_FIELD(TimePoint, latencyObjective, withLatencyObjective); ///< An answer that comes later is worth less.
    /// The target of the failed attempt that this one repeats; none for a first attempt. Not told to other nodes.
    FESCUEPOND_FIELD(Incarnation, failedTarget, withFailedTarget);

public:
    friend auto operator<=>(const CallContext &, const CallContext &) = default;
};

/// A request to a service, with its context.
class CallRequest
{
    FESCUEPOND_FIELD(CallContext, context, withContext);
    FESCUEPOND_FIELD(std::string, service, withService); ///< Empty until a route has given it.
    FESCUEPOND_FIELD(std::string, host, withHost); ///< As the caller named it; empty: the service's name.
    FESCUEPOND_FIELD(std::string, method, withMethod);
    FESCUEPOND_FIELD(std::string, path, withPath); ///< With the query.
    FESCUEPOND_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);

public:
    friend auto operator<=>(const CallRequest &, const CallRequest &) = default;
};

/// How a call ended.
enum class CallState {
    Answered, ///< The backend server's answer is here, whole.
    NotRun, ///< No backend server ran it, and none will.
    OutcomeUnknown, ///< It may have run.
};

/// Why a call was not answered.
enum class Reason {
    None,
    BadRequest,
    UnknownService,
    UnknownKind,
    NoConfiguration,
    NoTarget,
    Overload,
    DeadlineExceeded,
    Leaving,
    Quarantined,
    ConnectionLost,
    BackendUnreachable,
    BackendLost,
    AnswerLost, ///< The connection to a backend server that lives broke off, or brought no answer.
    BackendBusy, ///< The backend server itself refused the call.
    UnknownRoute,
    KeyTooOld,
    KeyOwnerGone,
    PlatformUnavailable,
    Cancelled,
    ChildCallFailed, ///< Answered, but a call that the backend server made had failed.
    Internal,
};

/// The outcome of a call.
class CallOutcome
{
    FESCUEPOND_FIELD(CallState, state, withState);
    FESCUEPOND_FIELD(Reason, reason, withReason);
    FESCUEPOND_FIELD(std::string, detail, withDetail); ///< One sentence for the caller's problem body.
    FESCUEPOND_FIELD(int, status, withStatus); ///< HTTP status of the answer; 0 when there is none.
    FESCUEPOND_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);
    FESCUEPOND_FIELD(int, unusedAllowance, withUnusedAllowance); ///< Retries given to the call and not used.
    FESCUEPOND_FIELD(double,
                     targetLimit,
                     withTargetLimit); ///< Concurrency limit of the target that answered; 0: unsaid.
    FESCUEPOND_FIELD(int, targetInFlight, withTargetInFlight);
    FESCUEPOND_FIELD(double,
                     pathHeadroom,
                     withPathHeadroom); ///< Room for each call of this path at its narrowest service; 0: unsaid.
    FESCUEPOND_FIELD(Duration, retryAfter, withRetryAfter); ///< When there may be room again; 0: unsaid.
    /// The call was sent to a backend server, whether or not that ran it.
    FESCUEPOND_FIELD(bool, backendWasReached, withBackendWasReached);
    /// The target that the call was last sent to; none: nowhere, or another node sent it. Not told to other nodes.
    FESCUEPOND_FIELD(Incarnation, target, withTarget);

public:
    static CallOutcome notRun(Reason reason, std::string detail);
    static CallOutcome unknown(Reason reason, std::string detail);
    friend auto operator<=>(const CallOutcome &, const CallOutcome &) = default;
};

/// The least HTTP status by which a backend server says that it failed.
constexpr int MinServerErrorStatus = 500;

/// The backend server answered that it failed.
bool isServerError(const CallOutcome &outcome);
/// The backend server answered, and not with a server error.
bool isSuccess(const CallOutcome &outcome);
/// The lesser of two rooms on a path, of which 0 means that nothing was told.
double minHeadroom(double a, double b);

/// Names as they stand in responses, logs and metrics.
const char *toString(CallState state);
const char *toString(Reason reason);

} // namespace fescuepond
