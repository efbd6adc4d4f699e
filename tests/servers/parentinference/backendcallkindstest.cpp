// Which kinds of calls a backend server makes.

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

TEST(BackendCallKinds, AKindThatExpiresWithACallThatRunsIsTheBackends)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 7; ++i) {
        kinds.observeArrival("count", Child);
        EXPECT_FALSE(kinds.isFromBackend("count")) << "too few to tell";
    }
    kinds.observeArrival("count", Child);
    EXPECT_TRUE(kinds.isFromBackend("count"));
    EXPECT_FALSE(kinds.isFromBackend("other"));
}

TEST(BackendCallKinds, CallsWithAShorterLimitOfTheirOwnNeedNotMatchAlways)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("count", i % 3 == 0 ? Child : ChildWithAShorterLimit);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

TEST(BackendCallKinds, AKindThatOftenOutlivesAllThatRunsIsTheClients)
{
    BackendCallKinds kinds;
    // Under load most of the clients' requests expire before some call that runs.
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("stock", i % 5 == 0 ? OutlivesAll : Child);
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
    }
}

// A client's request with a short limit, at a node whose calls run longer and lie densely.
TEST(BackendCallKinds, MatchesByChanceMakeNoKindTheBackends)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("stock", {true, i % 10 < 4, 0.4});
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
    }
}

TEST(BackendCallKinds, SomeOrphansDoNotChangeWhoMakesAKind)
{
    BackendCallKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.observeArrival("count", i % 20 == 19 ? OutlivesAll : Child);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

} // namespace fescuepond
