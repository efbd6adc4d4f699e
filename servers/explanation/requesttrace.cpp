// Picks the lines of a request and the one that decided, by tables of reasons.

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
    ReasonText{Reason::None, "the backend server itself answered so"},
    ReasonText{Reason::BadRequest, "the request is not valid"},
    ReasonText{Reason::UnknownService, "the configuration of this version doesn't declare the service"},
    ReasonText{Reason::UnknownKind, "the service declares no kind of call that fits"},
    ReasonText{Reason::UnknownRoute, "no route of this version of the configuration fits host and path"},
    ReasonText{Reason::NoConfiguration, "the node had no configuration yet"},
    ReasonText{Reason::NoTarget, "no node of the service was known that takes work"},
    ReasonText{Reason::Overload, "there was no room: more important calls filled the queue"},
    ReasonText{Reason::DeadlineExceeded, "the time ran out, or was too short to begin"},
    ReasonText{Reason::Leaving, "the node or its backend server was leaving"},
    ReasonText{Reason::Quarantined, "the request is suspected of crashing backend servers"},
    ReasonText{Reason::ConnectionLost, "the connection to the target's node failed"},
    ReasonText{Reason::BackendUnreachable, "the backend server took no connection"},
    ReasonText{Reason::BackendLost, "the backend server was lost while it had the call"},
    ReasonText{Reason::AnswerLost, "the backend server lives, but its answer was lost or not valid"},
    ReasonText{Reason::BackendBusy, "the backend server refused the call itself"},
    ReasonText{Reason::KeyTooOld, "the key is older than the records of keys"},
    ReasonText{Reason::KeyHomeGone, "the node that kept the key's record is gone"},
    ReasonText{Reason::PlatformUnavailable, "the platform could not be reached"},
    ReasonText{Reason::Cancelled, "the caller went away"},
    ReasonText{Reason::FailedBelow, "a call that the backend server made had failed"},
    ReasonText{Reason::Internal, "a fault of this program"},
};

/// Events that tell how a request or a part of it ended.
constexpr std::array CompletionEvents = {"request_ended",
                                         "request_unclassified",
                                         "attempt_failed",
                                         "admission_refused",
                                         "path_refused",
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
    return isCompletionEvent && (!isAnswered || numberField(line, "status") >= FirstServerError);
}

bool hasFailedDownstream(const LogLine &line)
{
    return line.field("reason") == toString(Reason::FailedBelow);
}

bool isCompletion(const LogLine &line, const std::string &id)
{
    const bool isRequestEvent = line.event() == "request_ended" || line.event() == "request_unclassified";
    return isRequestEvent && line.field("attempt") == id;
}

/// Failed calls without a known parent that left a node while a failed call ran there.
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

/// The failed calls that `own` doesn't name and that may have made its calls fail: the last of each that ran.
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

/// The last failure that isn't the consequence of another.
std::optional<std::size_t> findDecidingLine(const LogLines &lines)
{
    std::optional<std::size_t> decidingLine;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const bool isCause = isFailure(lines[i]) && !hasFailedDownstream(lines[i]);
        // Several lines tell of one failure, the one nearest to it first.
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
        return trace.withCause(own.empty() ? "no line tells of this request" : "no line tells why it failed");
    }
    return trace.withIsComplete(hasCompletion).withCause(reasonTextOf(own[*decidingLine]));
}

} // namespace fescuepond
