// Calls: the request, the context that the system keeps for it, and its outcome.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/backendnotice.h"
#include "core/values/body.h"
#include "core/values/declaration.h"
#include "core/values/id.h"

#include <compare>
#include <map>
#include <string>

namespace fescuepond
{

using Headers = std::map<std::string, std::string>;

/// What the system knows about a call. Apart from the idempotency key, nothing in it is taken from the caller's
/// headers.
class CallContext
{
    FESCUEPOND_FIELD(CallId, callId, withCallId);
    FESCUEPOND_FIELD(RootId, rootId, withRootId);
    FESCUEPOND_FIELD(AttemptId, attemptId, withAttemptId);
    /// The attempt or the caller's request on whose behalf this node makes the call; not sent to other nodes.
    FESCUEPOND_FIELD(AttemptId, parentAttempt, withParentAttempt);
    FESCUEPOND_FIELD(std::string, kind, withKind); ///< Kind of work, as the called service declares it.
    FESCUEPOND_FIELD(std::string, rootKind, withRootKind); ///< `service/kind` of the root request.
    FESCUEPOND_FIELD(Rank, rank, withRank); ///< Of the root request.
    FESCUEPOND_FIELD(double, keptShare, withKeptShare); ///< Declared for the root request's kind.
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    /// Idempotency key of a call that may run at most once; empty if idempotent.
    FESCUEPOND_FIELD(std::string, key, withKey);
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);
    /// Retries left for this call and all calls made for it.
    FESCUEPOND_FIELD(int, retryAllowance, withRetryAllowance);
    FESCUEPOND_FIELD(int, depth, withDepth); ///< 0 for a root request.
    FESCUEPOND_FIELD(int, crashCount, withCrashCount); ///< Number of backend servers lost while they ran this request.
    /// The caller's identifier of one transmission of a request, never used twice; empty: none was given. A request
    /// with it needs no key in order to run at most once: if the caller sends it again, that is another request.
    FESCUEPOND_FIELD(std::string, callerAttempt, withCallerAttempt);
    FESCUEPOND_FIELD(std::string, callerService, withCallerService); ///< Service of the VM where the request began.
    /// Target time of the answer; a later one is of less use.
    FESCUEPOND_FIELD(TimePoint, latencyObjective, withLatencyObjective);
    /// The target of the failed attempt that this one retries; none for a first attempt. Not sent to other nodes.
    FESCUEPOND_FIELD(Incarnation, failedTarget, withFailedTarget);
    /// The latest notice of the target's backend server that this node knows.
    FESCUEPOND_FIELD(BackendNotice, knownNotice, withKnownNotice);

public:
    friend auto operator<=>(const CallContext &, const CallContext &) = default;
};

/// A request to a service, with its context.
class CallRequest
{
    FESCUEPOND_SHARED_FIELD(CallContext, context, withContext);
    FESCUEPOND_FIELD(std::string, service, withService); ///< Empty until a route has determined it.
    FESCUEPOND_FIELD(std::string, host, withHost); ///< As given by the caller; empty: the service's name.
    FESCUEPOND_FIELD(std::string, method, withMethod);
    FESCUEPOND_FIELD(std::string, path, withPath); ///< Includes the query string.
    FESCUEPOND_SHARED_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);

public:
    friend auto operator<=>(const CallRequest &, const CallRequest &) = default;
};

/// The result of a call as far as its execution is concerned.
enum class CallState {
    Answered, ///< The backend server's complete answer was received.
    NotRun, ///< No backend server has run the call, and none will.
    OutcomeUnknown, ///< The call may have been run.
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
    AnswerLost, ///< The backend server is alive, but no valid answer arrived before the connection closed or timed out.
    BackendBusy, ///< The backend server itself rejected the call.
    UnknownRoute,
    KeyTooOld,
    KeyOwnerGone, ///< The node incarnation that keeps the key's record doesn't answer or has stopped.
    PlatformUnavailable,
    Cancelled,
    ChildCallFailed, ///< Answered with an error after a call that the backend server made for it had failed.
    Internal,
};

/// The outcome of a call.
class CallOutcome
{
    FESCUEPOND_FIELD(CallState, state, withState);
    FESCUEPOND_FIELD(Reason, reason, withReason);
    /// One sentence, sent to the caller as the detail of the error response.
    FESCUEPOND_FIELD(std::string, detail, withDetail);
    FESCUEPOND_FIELD(int, status, withStatus); ///< HTTP status of the answer; 0: no answer.
    FESCUEPOND_SHARED_FIELD(Headers, headers, withHeaders);
    FESCUEPOND_FIELD(Body, body, withBody);
    FESCUEPOND_FIELD(int, unusedAllowance, withUnusedAllowance); ///< Retries granted to the call and not used.
    /// Concurrency limit of the target that answered; 0: not reported.
    FESCUEPOND_FIELD(double, targetLimit, withTargetLimit);
    FESCUEPOND_FIELD(int, targetInFlight, withTargetInFlight);
    /// Slots that the narrowest service on the call's path has for each call of that path, at most 2; 0: not reported.
    FESCUEPOND_FIELD(double, pathHeadroom, withPathHeadroom);
    /// Suggested delay before a retry by the caller; 0: not reported.
    FESCUEPOND_FIELD(Duration, retryAfter, withRetryAfter);
    /// The call was sent to a backend server, whether or not it was run.
    FESCUEPOND_FIELD(bool, backendWasReached, withBackendWasReached);
    /// The target that the call was last sent to; none if it was not sent, or by another node. Not sent to other nodes.
    FESCUEPOND_FIELD(Incarnation, target, withTarget);
    /// The latest notice of the target's backend server.
    FESCUEPOND_FIELD(BackendNotice, notice, withNotice);
    /// How long work takes at the backend server now, as a multiple of what is usual; 0: not told. Not sent to other
    /// nodes.
    FESCUEPOND_FIELD(double, backendSlowness, withBackendSlowness);

public:
    static CallOutcome notRun(Reason reason, std::string detail);
    static CallOutcome unknown(Reason reason, std::string detail);
    friend auto operator<=>(const CallOutcome &, const CallOutcome &) = default;
};

/// The lowest HTTP status of a server error.
constexpr int MinServerErrorStatus = 500;

/// Whether the backend server answered with a server error.
bool isServerError(const CallOutcome &outcome);
/// Whether the backend server answered, and not with a server error.
bool isSuccess(const CallOutcome &outcome);
/// The lower of two path headrooms; 0 (not reported) is ignored unless both are 0.
double minHeadroom(double a, double b);

/// Names as used in responses, logs and metrics.
const char *toString(CallState state);
const char *toString(Reason reason);

} // namespace fescuepond
