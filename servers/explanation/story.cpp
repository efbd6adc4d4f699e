// Picks the lines of a request and the one that decided, by tables of reasons.

#include "servers/explanation/story.h"

#include "core/values/call.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace fescuepond
{

namespace
{

struct ReasonSentence {
    Reason reason;
    const char *sentence;
};

constexpr std::array Sentences = {
    ReasonSentence{Reason::None, "the backend server itself answered so"},
    ReasonSentence{Reason::BadRequest, "the request is not valid"},
    ReasonSentence{Reason::UnknownService, "the configuration of this version doesn't declare the service"},
    ReasonSentence{Reason::UnknownKind, "the service declares no kind of call that fits"},
    ReasonSentence{Reason::UnknownRoute, "no route of this version of the configuration fits host and path"},
    ReasonSentence{Reason::NoConfiguration, "the node had no configuration yet"},
    ReasonSentence{Reason::NoTarget, "no node of the service was known that takes work"},
    ReasonSentence{Reason::Overload, "there was no room: more important calls filled the queue"},
    ReasonSentence{Reason::DeadlineExceeded, "the time ran out, or was too short to begin"},
    ReasonSentence{Reason::Leaving, "the node or its backend server was leaving"},
    ReasonSentence{Reason::Quarantined, "the request is suspected of crashing backend servers"},
    ReasonSentence{Reason::ConnectionLost, "the connection to the target's node failed"},
    ReasonSentence{Reason::BackendUnreachable, "the backend server took no connection"},
    ReasonSentence{Reason::BackendLost, "the backend server was lost while it had the call"},
    ReasonSentence{Reason::AnswerLost, "the backend server lives, but its answer was lost or not valid"},
    ReasonSentence{Reason::BackendBusy, "the backend server refused the call itself"},
    ReasonSentence{Reason::KeyTooOld, "the key is older than the records of keys"},
    ReasonSentence{Reason::KeyHomeGone, "the node that kept the key's record is gone"},
    ReasonSentence{Reason::PlatformUnavailable, "the platform could not be reached"},
    ReasonSentence{Reason::Cancelled, "the caller went away"},
    ReasonSentence{Reason::FailedBelow, "a call that the backend server made had failed"},
    ReasonSentence{Reason::Internal, "a fault of this program"},
};

/// Events that tell how a request or a part of it ended.
constexpr std::array Endings = {"request_ended",
                                "request_unclassified",
                                "attempt_failed",
                                "admission_refused",
                                "path_refused",
                                "backend_call_failed"};

std::int64_t number(const LogLine &line, const std::string &key)
{
    const std::string text = line.field(key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool isFailure(const LogLine &line)
{
    const bool isEnding = std::any_of(Endings.begin(), Endings.end(), [event = line.event()](const char *ending) {
        return event == ending;
    });
    const bool isAnswered = line.field("state") == toString(CallState::Answered);
    return isEnding && (!isAnswered || number(line, "status") >= FirstServerError);
}

bool isFailedBelow(const LogLine &line)
{
    return line.field("reason") == toString(Reason::FailedBelow);
}

bool isEnd(const LogLine &line, const std::string &id)
{
    const bool isOfRequest = line.event() == "request_ended" || line.event() == "request_unclassified";
    return isOfRequest && line.field("attempt") == id;
}

/// Failed calls without a known parent that left a node while a failed call ran there.
bool mayBeChild(const LogLine &line, const LogLine &parent)
{
    const std::int64_t begin = parent.timeMs() - number(parent, "took_ms");
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

LogLines linesOf(const LogLines &lines, const std::string &id)
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
        if (parent.event() != "backend_call_failed" || !isFailedBelow(parent)) {
            continue;
        }
        const LogLine *last = nullptr;
        for (const LogLine &line : lines) {
            const bool isLater = last == nullptr || line.timeMs() >= last->timeMs();
            if (mayBeChild(line, parent) && isLater && !std::count(own.begin(), own.end(), line)) {
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
std::optional<std::size_t> decidingLine(const LogLines &lines)
{
    std::optional<std::size_t> deciding;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const bool isCause = isFailure(lines[i]) && !isFailedBelow(lines[i]);
        // Several lines tell of one failure, the one nearest to it first.
        const bool isSame = deciding && lines[*deciding].field("reason") == lines[i].field("reason");
        if (isCause && !isSame) {
            deciding = i;
        }
    }
    return deciding;
}

std::string sentenceOf(const LogLine &line)
{
    const std::string reason = line.field("reason");
    const auto found = std::find_if(Sentences.begin(), Sentences.end(), [&](const ReasonSentence &row) {
        return reason == toString(row.reason);
    });
    return found == Sentences.end() ? "unknown reason '" + reason + "'" : found->sentence;
}

} // namespace

Story tellStory(const LogLines &lines, const std::string &id)
{
    LogLines own = linesOf(lines, id);
    const auto end = std::find_if(own.begin(), own.end(), [&](const LogLine &line) {
        return isEnd(line, id);
    });
    const bool hasEnd = end != own.end();
    const bool isServed = hasEnd && !isFailure(*end);
    for (const LogLine &cause : likelyCauses(lines, own)) {
        const LogLines more = linesOf(lines, cause.field("attempt"));
        own.insert(own.end(), more.begin(), more.end());
    }
    std::stable_sort(own.begin(), own.end(), [](const LogLine &a, const LogLine &b) {
        return a.timeMs() < b.timeMs();
    });
    own.erase(std::unique(own.begin(), own.end()), own.end());
    const auto deciding = isServed ? std::nullopt : decidingLine(own);
    const Story story = Story().withLines(own).withDeciding(deciding);
    if (isServed) {
        return story.withIsComplete(true).withCause("the request was served");
    }
    if (!deciding) {
        return story.withCause(own.empty() ? "no line tells of this request" : "no line tells why it failed");
    }
    return story.withIsComplete(hasEnd).withCause(sentenceOf(own[*deciding]));
}

} // namespace fescuepond
