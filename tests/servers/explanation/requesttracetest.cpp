// Tracing of a request from recorded log lines. Guards against an explanation that names a consequence instead of the
// cause, or that claims to be complete although lines are missing.

#include "servers/explanation/requesttrace.h"

#include <gtest/gtest.h>

#include <sstream>

namespace fescuepond
{

namespace
{

LogLines linesFrom(const std::string &log)
{
    LogLines lines;
    std::istringstream stream(log);
    for (std::string text; std::getline(stream, text);) {
        if (const auto line = parseLogLine(text)) {
            lines.push_back(*line);
        }
    }
    return lines;
}

/// A call from the shop to the stock service fails because a call that the stock service made was rejected.
constexpr const char *RejectedDownstream =
    R"(time_ms=1007 node=shop-1 event=request_ended attempt=a1 root=r1 depth=0 caller=shop service=stock kind=look state=answered reason=failed-below status=500 took_ms=7 detail=""
time_ms=1006 node=stock-1 event=backend_call_failed attempt=a1 root=r1 depth=0 kind=look instance=i-1 state=answered reason=failed-below status=500 took_ms=5 detail=""
time_ms=1004 node=stock-1 event=attempt_failed attempt=b7 root=r9 service=route target=route-1 state=not-run reason=overload target_in_flight=35 target_limit=20
time_ms=1005 node=stock-1 event=request_ended attempt=b7 root=r9 depth=0 caller=stock service=route kind=way state=not-run reason=overload status=0 took_ms=2 detail="the queue is full"
time_ms=1003 node=route-1 event=admission_refused attempt=b7 root=r9 depth=0 kind=way rank=3 reason=overload limit=20 here=35 waited_ms=0
time_ms=1005 node=stock-2 event=request_ended attempt=c1 root=r8 depth=0 service=route kind=way state=not-run reason=leaving status=0 took_ms=2)";

} // namespace

TEST(LogLine, ReadsQuotedValuesAndTextBeforeTheTime)
{
    const auto line =
        parseLogLine("   1.5 host-7 time_ms=42 event=sample detail=\"a \\\"b\\\" k=v\\nc\" empty=\"\" n=3");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->timeMs(), 42);
    EXPECT_EQ(line->event(), "sample");
    EXPECT_EQ(line->field("detail"), "a \"b\" k=v\nc");
    EXPECT_EQ(line->field("empty"), "");
    EXPECT_EQ(line->field("n"), "3");
    EXPECT_EQ(line->field("k"), "");
}

TEST(LogLine, SkipsLinesThatAreNoEvents)
{
    for (const char *text : {"", "hello", "time_ms=", "time_ms=x event=a", "time_ms=5 sample", "time_ms=5 event=\"a"}) {
        const auto line = parseLogLine(text);
        EXPECT_TRUE(!line || line->event() == "a") << text;
    }
}

TEST(RequestTrace, FollowsAFailureToTheRejectionDownstream)
{
    const RequestTrace trace = traceRequest(linesFrom(RejectedDownstream), "a1");
    EXPECT_TRUE(trace.isComplete());
    ASSERT_TRUE(trace.decidingLine());
    EXPECT_EQ(trace.lines().at(*trace.decidingLine()).event(), "admission_refused");
    EXPECT_EQ(trace.lines().size(), 5) << "the call of another node doesn't belong to the request";
    EXPECT_NE(trace.cause().find("more important calls"), std::string::npos);
}

TEST(RequestTrace, IsIncompleteWhenLinesAreMissing)
{
    const LogLines all = linesFrom(RejectedDownstream);
    const RequestTrace unknown = traceRequest(all, "nobody");
    EXPECT_FALSE(unknown.isComplete());
    EXPECT_FALSE(unknown.decidingLine());
    const RequestTrace noCause = traceRequest({all.at(0), all.at(1)}, "a1");
    EXPECT_FALSE(noCause.isComplete());
}

TEST(RequestTrace, AServedRequestHasNoDecidingLine)
{
    const RequestTrace trace = traceRequest(
        linesFrom("time_ms=5 node=n event=request_ended attempt=a root=r state=answered reason=none status=200"), "a");
    EXPECT_TRUE(trace.isComplete());
    EXPECT_FALSE(trace.decidingLine());
}

TEST(RequestTrace, AnUnclassifiedRequestIsExplainedByItsReason)
{
    const RequestTrace trace = traceRequest(
        linesFrom("time_ms=5 node=n event=request_unclassified attempt=a host=h path=/p reason=unknown-route"), "a");
    EXPECT_TRUE(trace.isComplete());
    EXPECT_NE(trace.cause().find("no route"), std::string::npos);
}

} // namespace fescuepond
