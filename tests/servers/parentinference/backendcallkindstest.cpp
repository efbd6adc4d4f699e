// Inference of the kinds of calls that a backend server makes.

#include "servers/parentinference/backendcallkinds.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

constexpr DeadlineCorrelation Child = {true, true, 0.05};
constexpr DeadlineCorrelation ChildWithAShorterLimit = {true, false, 0.05};
constexpr DeadlineCorrelation OutlivesAll = {false, false, 0};

} // namespace

TEST(BackendCallKinds, KindWithDeadlinesOfRunningCallsIsTheBackendServers)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 7; ++i) {
        kinds.observeArrival("count", Child);
        EXPECT_FALSE(kinds.isFromBackend("count")) << "too few calls";
    }
    kinds.observeArrival("count", Child);
    EXPECT_TRUE(kinds.isFromBackend("count"));
    EXPECT_FALSE(kinds.isFromBackend("other"));
}

TEST(BackendCallKinds, CallsWithAShorterLimitOfTheirOwnNeedNotAlwaysMatch)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("count", i % 3 == 0 ? Child : ChildWithAShorterLimit);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
    EXPECT_FALSE(kinds.isFromClients("count"));
}

TEST(BackendCallKinds, KindThatOftenOutlivesAllRunningCallsIsTheClients)
{
    BackendCallKinds kinds;
    // Under load most of the clients' requests expire before some running call.
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("stock", i % 5 == 0 ? OutlivesAll : Child);
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
        EXPECT_EQ(kinds.isFromClients("stock"), i >= 31) << i;
    }
}

// Clients' requests with a short time limit match often by chance at a node with many running calls.
TEST(BackendCallKinds, MatchesByChanceMakeNoKindTheBackendServers)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("stock", {true, i % 10 < 4, 0.4});
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
        EXPECT_FALSE(kinds.isFromClients("stock")) << i;
    }
}

TEST(BackendCallKinds, SomeCallsWithoutARunningParentDoNotChangeTheResult)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("count", i % 20 == 19 ? OutlivesAll : Child);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

} // namespace fescuepond
