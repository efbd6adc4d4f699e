// Selects the log lines of a request and the one that decided its outcome.

#include "servers/explanation/requesttrace.h"

#include "core/values/call.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace fescuepond
{

namespace
{

struct ReasonText {
    Reason reason;
    const char *text;
};

constexpr std::array ReasonTexts = {
    ReasonText{Reason::None, "the backend server answered with this status"},
    ReasonText{Reason::BadRequest, "the request is not valid"},
    ReasonText{Reason::UnknownService, "this configuration version doesn't declare the service"},
    ReasonText{Reason::UnknownKind, "the service declares no kind of call that matches the request"},
    ReasonText{Reason::UnknownRoute, "no route of this configuration version matches the host and path"},
    ReasonText{Reason::NoConfiguration, "the node had no configuration yet"},
    ReasonText{Reason::NoTarget, "no node of the service was known that accepts calls"},
    ReasonText{Reason::Overload, "overload: more important calls filled the queue"},
    ReasonText{Reason::DeadlineExceeded, "the deadline passed, or was too close to start the call"},
    ReasonText{Reason::Leaving, "the node or its backend server was leaving"},
    ReasonText{Reason::Quarantined, "the request is suspected of crashing backend servers"},
    ReasonText{Reason::ConnectionLost, "the connection to the target's node failed"},
    ReasonText{Reason::BackendUnreachable, "the backend server accepted no connection"},
    ReasonText{Reason::BackendLost, "the backend server failed while it ran the call"},
    ReasonText{Reason::AnswerLost, "the backend server is running, but its answer was lost or not valid"},
    ReasonText{Reason::BackendBusy, "the backend server itself rejected the call as busy"},
    ReasonText{Reason::KeyTooOld, "the idempotency key is older than the retained key records"},
    ReasonText{Reason::KeyOwnerGone, "the node that kept the key's record has stopped or failed"},
    ReasonText{Reason::PlatformUnavailable, "the platform could not be reached"},
    ReasonText{Reason::Cancelled, "the caller cancelled the call or disconnected"},
    ReasonText{Reason::ChildCallFailed, "a call made by the backend server failed"},
    ReasonText{Reason::Internal, "an internal error of the node"},
};

/// Events that log the outcome of a request or of one of its calls.
constexpr std::array CompletionEvents = {"request_ended",
                                         "request_unclassified",
                                         "attempt_failed",
                                         "admission_refused",
                                         "path_refused",
                                         "path_incomplete",
                                         "processor_refused",
                                         "backend_call_failed"};

std::int64_t numberField(const LogLine &line, const std::string &key)
{
    const std::string text = line.field(key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool isFailure(const LogLine &line)
{
    const bool isCompletionEvent =
        std::any_of(CompletionEvents.begin(), CompletionEvents.end(), [event = line.event()](const char *completion) {
            return event == completion;
        });
    const bool isAnswered = line.field("state") == toString(CallState::Answered);
    return isCompletionEvent && (!isAnswered || numberField(line, "status") >= MinServerErrorStatus);
}

bool hasFailedDownstream(const LogLine &line)
{
    return line.field("reason") == toString(Reason::ChildCallFailed);
}

bool isCompletion(const LogLine &line, const std::string &id)
{
    const bool isRequestEvent = line.event() == "request_ended" || line.event() == "request_unclassified";
    return isRequestEvent && line.field("attempt") == id;
}

/// Whether `line` is a failed call without a known parent, made by the node that ran `parent` while it was running.
bool canBeChild(const LogLine &line, const LogLine &parent)
{
    const std::int64_t begin = parent.timeMs() - numberField(parent, "took_ms");
    return line.event() == "request_ended" && isFailure(line) && line.field("depth") == "0"
        && line.field("node") == parent.field("node") && line.timeMs() >= begin && line.timeMs() <= parent.timeMs();
}

std::set<std::string> rootsOf(const LogLines &lines, const std::string &id)
{
    std::set<std::string> roots;
    for (const LogLine &line : lines) {
        if (line.field("attempt") == id && !line.field("root").empty()) {
            roots.insert(line.field("root"));
        }
    }
    return roots;
}

LogLines linesOfRequest(const LogLines &lines, const std::string &id)
{
    const std::set<std::string> roots = rootsOf(lines, id);
    LogLines own;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), [&](const LogLine &line) {
        return line.field("attempt") == id || roots.contains(line.field("root"));
    });
    return own;
}

/// Failed calls not in `own` that may have made calls in `own` fail: for each of these, the last one during its run.
LogLines likelyCauses(const LogLines &lines, const LogLines &own)
{
    LogLines causes;
    for (const LogLine &parent : own) {
        if (parent.event() != "backend_call_failed" || !hasFailedDownstream(parent)) {
            continue;
        }
        const LogLine *last = nullptr;
        for (const LogLine &line : lines) {
            const bool isLater = last == nullptr || line.timeMs() >= last->timeMs();
            if (canBeChild(line, parent) && isLater && !std::count(own.begin(), own.end(), line)) {
                last = &line;
            }
        }
        if (last != nullptr && !std::count(causes.begin(), causes.end(), *last)) {
            causes.push_back(*last);
        }
    }
    return causes;
}

/// The last failure that isn't the consequence of a failure further downstream.
std::optional<std::size_t> findDecidingLine(const LogLines &lines)
{
    std::optional<std::size_t> decidingLine;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const bool isCause = isFailure(lines[i]) && !hasFailedDownstream(lines[i]);
        // One failure is logged on several lines; the earliest is the closest to its cause.
        const bool isSameFailure = decidingLine && lines[*decidingLine].field("reason") == lines[i].field("reason");
        if (isCause && !isSameFailure) {
            decidingLine = i;
        }
    }
    return decidingLine;
}

std::string reasonTextOf(const LogLine &line)
{
    const std::string reason = line.field("reason");
    const auto found = std::find_if(ReasonTexts.begin(), ReasonTexts.end(), [&](const ReasonText &row) {
        return reason == toString(row.reason);
    });
    return found == ReasonTexts.end() ? "unknown reason '" + reason + "'" : found->text;
}

} // namespace

RequestTrace traceRequest(const LogLines &lines, const std::string &id)
{
    LogLines own = linesOfRequest(lines, id);
    const auto end = std::find_if(own.begin(), own.end(), [&](const LogLine &line) {
        return isCompletion(line, id);
    });
    const bool hasCompletion = end != own.end();
    const bool isSuccessful = hasCompletion && !isFailure(*end);
    for (const LogLine &cause : likelyCauses(lines, own)) {
        const LogLines more = linesOfRequest(lines, cause.field("attempt"));
        own.insert(own.end(), more.begin(), more.end());
    }
    std::stable_sort(own.begin(), own.end(), [](const LogLine &a, const LogLine &b) {
        return a.timeMs() < b.timeMs();
    });
    own.erase(std::unique(own.begin(), own.end()), own.end());
    const auto decidingLine = isSuccessful ? std::nullopt : findDecidingLine(own);
    const RequestTrace trace = RequestTrace().withLines(own).withDecidingLine(decidingLine);
    if (isSuccessful) {
        return trace.withIsComplete(true).withCause("the request was served");
    }
    if (!decidingLine) {
        return trace.withCause(own.empty() ? "no log line belongs to this request" : "no log line shows why it failed");
    }
    return trace.withIsComplete(hasCompletion).withCause(reasonTextOf(own[*decidingLine]));
}

} // namespace fescuepond
