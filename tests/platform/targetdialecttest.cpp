// The headers that requests to targets carry, and how targets' responses are interpreted. Guards against
// accepting a success that the target has not signed, and against accepting the response to another attempt.

#include "core/kernel/strategy.h"
#include "core/pipeline/backenddialect.h"
#include "platform/names.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

class TargetDialectTest : public testing::Test
{
protected:
    TargetDialectTest()
    {
        boost::leaf::try_handle_all(
            [this]() -> Result<void> {
                BOOST_LEAF_ASSIGN(m_dialect, makeStrategy<BackendDialect>("fleet"));
                return {};
            },
            [] {});
    }

    static CallOutcome answer(int status, Headers headers)
    {
        return CallOutcome().withState(CallState::Answered).withStatus(status).withHeaders(std::move(headers));
    }

    std::unique_ptr<BackendDialect> m_dialect;
    const Headers m_signed = {{"fescuepond-response-signature", "x"}, {"fescuepond-attempt-id", "a1"}};
};

} // namespace

TEST_F(TargetDialectTest, RequestHeadersCarryRemainingTimeCallerAndInstance)
{
    const TimePoint now{std::chrono::hours(1)};
    const auto context =
        CallContext().withDeadline(now + milliseconds(1234)).withCallerService("s2").withCallerAttempt("a1");
    const CallRequest call = CallRequest().withContext(context).withHeaders({{"accept", "*/*"}});
    const Headers headers = m_dialect->requestHeaders(call, "i-7", now);
    EXPECT_EQ(headers.at(platform::DeadlineHeader), "1234");
    EXPECT_EQ(headers.at(platform::CallerServiceHeader), "s2");
    EXPECT_EQ(headers.at(platform::ExpectInstanceHeader), "i-7");
    EXPECT_EQ(headers.at("accept"), "*/*");
    EXPECT_EQ(m_dialect->requestHeaders(call, "i-7", now + milliseconds(9999)).at(platform::DeadlineHeader), "1");
    EXPECT_FALSE(m_dialect->requestHeaders(call, "", now).contains(platform::ExpectInstanceHeader));
}

TEST_F(TargetDialectTest, NoticesOfTheTargetAreReadFromAllItsAnswers)
{
    const auto noticeOf = [&](int status, Headers headers) {
        headers.insert(m_signed.begin(), m_signed.end());
        return m_dialect->interpret(answer(status, headers), "i-1").notice();
    };
    EXPECT_EQ(noticeOf(200, {}), BackendNotice());
    EXPECT_EQ(noticeOf(200, {{"server-limit", "15.25"}}).rate(), 15.25);
    EXPECT_EQ(noticeOf(503, {{"server-limit", "8"}, {"fescuepond-not-executed", "1"}}).rate(), 8);
    EXPECT_EQ(noticeOf(500, {{"server-limit", "0"}}).rate(), MinNamedRate);
    for (const char *unreadable : {"", "-1", "nan", "inf", "1e3", "1e999", "12,5", " 12", "12x"}) {
        EXPECT_EQ(noticeOf(200, {{"server-limit", unreadable}}).rate(), 0) << unreadable;
    }
    EXPECT_EQ(noticeOf(200, {{"server-leaving", "1"}}).leavingInstance(), "i-1");
    EXPECT_EQ(noticeOf(200, {{"server-leaving", "0"}}).leavingInstance(), "");
    EXPECT_EQ(m_dialect->interpret(answer(421, {{"server-leaving", "1"}}), "i-1").notice(), BackendNotice());
}

TEST_F(TargetDialectTest, OnlyTheTargetsMarkerMeansThatACallWasNotRun)
{
    EXPECT_EQ(m_dialect->interpret(answer(503, {{"fescuepond-not-executed", "1"}}), "i-1").reason(),
              Reason::BackendBusy);
    EXPECT_EQ(m_dialect->interpret(answer(421, {}), "i-1").reason(), Reason::Leaving);
    EXPECT_EQ(m_dialect->interpret(answer(503, m_signed), "i-1").state(), CallState::Answered);
    EXPECT_EQ(m_dialect->interpret(answer(500, m_signed), "i-1").state(), CallState::Answered);
}

TEST_F(TargetDialectTest, ASuccessNeedsSignatureAttemptIdAndNoContentEncoding)
{
    EXPECT_EQ(m_dialect->interpret(answer(200, m_signed), "i-1").state(), CallState::Answered);
    for (const char *missing : {"fescuepond-response-signature", "fescuepond-attempt-id"}) {
        Headers headers = m_signed;
        headers.erase(missing);
        EXPECT_EQ(m_dialect->interpret(answer(200, headers), "i-1").state(), CallState::OutcomeUnknown) << missing;
    }
    Headers encoded = m_signed;
    encoded["content-encoding"] = "gzip";
    EXPECT_EQ(m_dialect->interpret(answer(200, encoded), "i-1").state(), CallState::OutcomeUnknown);
}

TEST_F(TargetDialectTest, AnAnswerToAnotherRequestIsRecognisedByItsAttemptId)
{
    const CallRequest call = CallRequest().withContext(CallContext().withCallerAttempt("a1"));
    EXPECT_EQ(m_dialect->matchAnswer(call, m_signed), AnswerMatch::Named);
    EXPECT_EQ(m_dialect->matchAnswer(call, {}), AnswerMatch::Unnamed);
    EXPECT_EQ(m_dialect->matchAnswer(call, {{"fescuepond-attempt-id", "a2"}}), AnswerMatch::OtherCall);
}

} // namespace fescuepond
