// Sizes of the messages between nodes. Guards against messages for which far more memory is allocated and cleared than
// they take, or that need more than the one piece of it.

#include "modules/peer/wireencoding.h"

#include <capnp/message.h>

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

const std::string text(37, 't');
const Headers headers = {{"accept", text}, {"content-type", text}, {"user-agent", text}};
const BackendNotice notice = BackendNotice().withRate(3).withLeavingInstance(text).withLeavingStartedAtMs(7);

CallRequest callWithBody(std::size_t bytes)
{
    const CallContext context = CallContext()
                                    .withKind(text)
                                    .withRootKind(text)
                                    .withKey(text)
                                    .withCallerAttempt(text)
                                    .withCallerService(text)
                                    .withKnownNotice(notice);
    return CallRequest()
        .withContext(context)
        .withService(text)
        .withHost(text)
        .withMethod("GET")
        .withPath(text)
        .withHeaders(headers)
        .withBody(Body(std::string(bytes, 'b')));
}

} // namespace

TEST(WireEncoding, MessagesFitIntoTheSizeThatIsReservedForThem)
{
    constexpr std::size_t BytesBesideBody = 2400;
    for (const std::size_t bytes : {0U, 1U, 100U, 9000U, 300'000U}) {
        const CallRequest call = callWithBody(bytes);
        capnp::MallocMessageBuilder callMessage(static_cast<unsigned>(sizeOf(call).wordCount));
        encode(call, TimePoint(), std::nullopt, callMessage.initRoot<wire::Call>());
        EXPECT_EQ(callMessage.getSegmentsForOutput().size(), 1U) << bytes;
        EXPECT_LE(sizeOf(call).wordCount * sizeof(capnp::word), bytes + BytesBesideBody) << bytes;

        const CallOutcome outcome =
            CallOutcome().withStatus(200).withDetail(text).withHeaders(headers).withNotice(notice).withBody(
                Body(std::string(bytes, 'b')));
        capnp::MallocMessageBuilder outcomeMessage(static_cast<unsigned>(sizeOf(outcome).wordCount));
        encode(outcome, outcomeMessage.initRoot<wire::Outcome>());
        EXPECT_EQ(outcomeMessage.getSegmentsForOutput().size(), 1U) << bytes;
        EXPECT_LE(sizeOf(outcome).wordCount * sizeof(capnp::word), bytes + BytesBesideBody) << bytes;
    }
}

} // namespace fescuepond
