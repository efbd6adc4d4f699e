// Converts calls and outcomes to and from messages of the peer protocol.

#include "modules/peer/wireencoding.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

using HeaderListBuilder = capnp::List<wire::Header>::Builder;
using HeaderListReader = capnp::List<wire::Header>::Reader;

void encodeHeaders(const Headers &headers, HeaderListBuilder builder)
{
    unsigned i = 0;
    for (const auto &[name, value] : headers) {
        builder[i].setName(name);
        builder[i].setValue(value);
        ++i;
    }
}

Headers decodeHeaders(HeaderListReader reader)
{
    Headers headers;
    for (const wire::Header::Reader header : reader) {
        headers.emplace(header.getName().cStr(), header.getValue().cStr());
    }
    return headers;
}

Body asBody(capnp::Data::Reader data)
{
    return Body(std::string(reinterpret_cast<const char *>(data.begin()), data.size()));
}

/// Nothing if the body does not match its digest; empty if it is to be fetched.
template<typename Reader>
std::optional<Body> decodeBody(Reader reader)
{
    if (reader.hasBodySource()) {
        return Body();
    }
    Body body = asBody(reader.getBody());
    return body.digest() == reader.getBodyDigest() ? std::optional(std::move(body)) : std::nullopt;
}

/// Returns nothing if the body does not match its digest.
std::optional<CallRequest> decodeCall(wire::Call::Reader reader, TimePoint deadline, TimePoint now)
{
    auto body = decodeBody(reader);
    if (!body) {
        return std::nullopt;
    }
    const CallContext context = CallContext()
                                    .withCallId(decodeId<CallId>(reader.getCallId()))
                                    .withRootId(decodeId<RootId>(reader.getRootId()))
                                    .withAttemptId(decodeId<AttemptId>(reader.getAttemptId()))
                                    .withKind(reader.getKind())
                                    .withRootKind(reader.getRootKind())
                                    .withRank(reader.getRank())
                                    .withKeptShare(reader.getKeptShare())
                                    .withIdempotent(reader.getIdempotent())
                                    .withKey(reader.getKey())
                                    .withDeadline(deadline)
                                    .withRetryAllowance(reader.getRetryAllowance())
                                    .withDepth(reader.getDepth())
                                    .withCrashCount(reader.getCrashCount())
                                    .withCallerAttempt(reader.getCallerAttempt())
                                    .withCallerService(reader.getCallerService())
                                    .withLatencyObjective(now + Duration(reader.getGoalNs()))
                                    .withKnownNotice(decode(reader.getNotice()));
    return CallRequest()
        .withContext(context)
        .withHost(reader.getHost())
        .withService(reader.getService())
        .withMethod(reader.getMethod())
        .withPath(reader.getPath())
        .withHeaders(decodeHeaders(reader.getHeaders()))
        .withBody(*std::move(body));
}

/// Words of a message besides texts, headers and bodies.
constexpr std::size_t FixedWords = 96;
constexpr std::size_t WordsOfHeader = 2; ///< The pointers to its texts.

std::size_t wordsOf(std::size_t bytes)
{
    // With the zero that ends a text.
    return bytes / sizeof(capnp::word) + 1;
}

std::size_t wordsOf(const Headers &headers)
{
    std::size_t words = 1;
    for (const auto &[name, value] : headers) {
        words += WordsOfHeader + wordsOf(name.size()) + wordsOf(value.size());
    }
    return words;
}

capnp::MessageSize sizeOfMessage(std::size_t words, const Body &body, BodyPlacement placement)
{
    const bool isOutside = isFetched(body, placement);
    return {words + (isOutside ? 0 : wordsOf(body.size())), isOutside ? 1U : 0U};
}

} // namespace

capnp::MessageSize sizeOf(const CallRequest &call, BodyPlacement placement)
{
    const CallContext &context = call.context();
    std::size_t words = FixedWords + wordsOf(call.headers());
    for (const std::string *text : {&context.kind(),
                                    &context.rootKind(),
                                    &context.key(),
                                    &context.callerAttempt(),
                                    &context.callerService(),
                                    &context.knownNotice().leavingInstance(),
                                    &call.service(),
                                    &call.method(),
                                    &call.path(),
                                    &call.host()}) {
        words += wordsOf(text->size());
    }
    return sizeOfMessage(words, call.body(), placement);
}

capnp::MessageSize sizeOf(const CallOutcome &outcome, BodyPlacement placement)
{
    const std::size_t words = FixedWords + wordsOf(outcome.headers()) + wordsOf(outcome.detail().size())
        + wordsOf(outcome.notice().leavingInstance().size());
    return sizeOfMessage(words, outcome.body(), placement);
}

void encode(const BackendNotice &notice, wire::Notice::Builder builder)
{
    builder.setRate(notice.rate());
    builder.setLeavingInstance(notice.leavingInstance());
    builder.setLeavingStartedAtMs(notice.leavingStartedAtMs());
}

BackendNotice decode(wire::Notice::Reader reader)
{
    const double rate = reader.getRate();
    // Any number may arrive, also none.
    return BackendNotice()
        .withRate(rate > 0 ? std::max(rate, MinNamedRate) : 0)
        .withLeavingInstance(reader.getLeavingInstance())
        .withLeavingStartedAtMs(reader.getLeavingStartedAtMs());
}

void encodeId(std::uint64_t high, std::uint64_t low, wire::Id::Builder builder)
{
    builder.setHigh(high);
    builder.setLow(low);
}

void encode(const WireDeadline &deadline, wire::Deadline::Builder builder)
{
    builder.setRemainingNs(deadline.remainingNs());
    builder.setSenderClockNs(deadline.senderClockNs());
    builder.setCalleeClockNs(deadline.calleeClockNs());
}

WireDeadline decode(wire::Deadline::Reader reader)
{
    return WireDeadline()
        .withRemainingNs(reader.getRemainingNs())
        .withSenderClockNs(reader.getSenderClockNs())
        .withCalleeClockNs(reader.getCalleeClockNs());
}

void encode(const CallRequest &call,
            TimePoint now,
            const std::optional<CalleeClock> &callee,
            wire::Call::Builder builder,
            BodyPlacement placement)
{
    const CallContext &context = call.context();
    encode(context.callId(), builder.initCallId());
    encode(context.rootId(), builder.initRootId());
    encode(context.attemptId(), builder.initAttemptId());
    builder.setKind(context.kind());
    builder.setRootKind(context.rootKind());
    builder.setRank(context.rank());
    builder.setKeptShare(context.keptShare());
    builder.setIdempotent(context.idempotent());
    builder.setKey(context.key());
    encode(toWire(context.deadline(), now, callee), builder.initDeadline());
    builder.setRetryAllowance(context.retryAllowance());
    builder.setDepth(context.depth());
    builder.setCrashCount(context.crashCount());
    builder.setService(call.service());
    builder.setMethod(call.method());
    builder.setPath(call.path());
    encodeHeaders(call.headers(), builder.initHeaders(static_cast<unsigned>(call.headers().size())));
    placeBody(call.body(), builder, placement);
    builder.setHost(call.host());
    builder.setCallerAttempt(context.callerAttempt());
    builder.setCallerService(context.callerService());
    builder.setGoalNs((context.latencyObjective() - now).count());
    if (!context.knownNotice().isEmpty()) {
        encode(context.knownNotice(), builder.initNotice());
    }
}

std::optional<CallRequest> decode(wire::Call::Reader reader, const CallerClock &clock, TimePoint now)
{
    return decodeCall(reader, fromWire(decode(reader.getDeadline()), clock, now), now);
}

std::optional<CallRequest> decode(wire::Call::Reader reader, TimePoint now)
{
    return decodeCall(reader, fromWire(decode(reader.getDeadline()), now), now);
}

void encode(const CallOutcome &outcome, wire::Outcome::Builder builder, BodyPlacement placement)
{
    builder.setState(static_cast<std::uint8_t>(outcome.state()));
    builder.setReason(static_cast<std::uint8_t>(outcome.reason()));
    builder.setDetail(outcome.detail());
    builder.setStatus(outcome.status());
    encodeHeaders(outcome.headers(), builder.initHeaders(static_cast<unsigned>(outcome.headers().size())));
    placeBody(outcome.body(), builder, placement);
    builder.setUnusedAllowance(outcome.unusedAllowance());
    builder.setTargetLimit(outcome.targetLimit());
    builder.setTargetInFlight(outcome.targetInFlight());
    builder.setPathLimit(outcome.pathHeadroom());
    builder.setRetryAfterMs(std::chrono::duration_cast<std::chrono::milliseconds>(outcome.retryAfter()).count());
    builder.setBackendWasReached(outcome.backendWasReached());
    if (!outcome.notice().isEmpty()) {
        encode(outcome.notice(), builder.initNotice());
    }
}

std::optional<CallOutcome> decode(wire::Outcome::Reader reader)
{
    auto body = decodeBody(reader);
    const bool isKnown = reader.getState() <= static_cast<std::uint8_t>(CallState::OutcomeUnknown)
        && reader.getReason() <= static_cast<std::uint8_t>(Reason::Internal);
    if (!body || !isKnown) {
        return std::nullopt;
    }
    return CallOutcome()
        .withState(static_cast<CallState>(reader.getState()))
        .withReason(static_cast<Reason>(reader.getReason()))
        .withDetail(reader.getDetail())
        .withStatus(reader.getStatus())
        .withHeaders(decodeHeaders(reader.getHeaders()))
        .withBody(*std::move(body))
        .withUnusedAllowance(reader.getUnusedAllowance())
        .withTargetLimit(reader.getTargetLimit())
        .withTargetInFlight(reader.getTargetInFlight())
        .withPathHeadroom(reader.getPathLimit())
        .withRetryAfter(std::chrono::milliseconds(reader.getRetryAfterMs()))
        .withBackendWasReached(reader.getBackendWasReached())
        .withNotice(decode(reader.getNotice()));
}

void encode(const AttemptReport &report, wire::Peer::SettleResults::Builder builder, BodyPlacement placement)
{
    builder.setStatus(static_cast<std::uint8_t>(report.status()));
    if (report.status() == AttemptStatus::Finished) {
        encode(report.outcome(), builder.initOutcome(), placement);
    }
}

std::optional<AttemptReport> decode(wire::Peer::SettleResults::Reader reader)
{
    if (reader.getStatus() > static_cast<std::uint8_t>(AttemptStatus::Forgotten)) {
        return std::nullopt;
    }
    const AttemptReport report = AttemptReport().withStatus(static_cast<AttemptStatus>(reader.getStatus()));
    if (report.status() != AttemptStatus::Finished) {
        return report;
    }
    auto outcome = decode(reader.getOutcome());
    return outcome ? std::optional(report.withOutcome(*std::move(outcome))) : std::nullopt;
}

} // namespace fescuepond
