// Which kinds of calls a backend server makes.

#include "servers/parentage/callerkinds.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

constexpr DeadlineTrace Child = {true, true, 0.05};
constexpr DeadlineTrace ChildWithAShorterLimit = {true, false, 0.05};
constexpr DeadlineTrace OutlivesAll = {false, false, 0};

} // namespace

TEST(CallerKinds, AKindThatExpiresWithACallThatRunsIsTheBackends)
{
    CallerKinds kinds;
    for (int i = 0; i < 7; ++i) {
        kinds.arrived("count", Child);
        EXPECT_FALSE(kinds.isFromBackend("count")) << "too few to tell";
    }
    kinds.arrived("count", Child);
    EXPECT_TRUE(kinds.isFromBackend("count"));
    EXPECT_FALSE(kinds.isFromBackend("other"));
}

TEST(CallerKinds, CallsWithAShorterLimitOfTheirOwnNeedNotMatchAlways)
{
    CallerKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("count", i % 3 == 0 ? Child : ChildWithAShorterLimit);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

TEST(CallerKinds, AKindThatOftenOutlivesAllThatRunsIsTheClients)
{
    CallerKinds kinds;
    // Under load most of the clients' requests expire before some call that runs.
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("stock", i % 5 == 0 ? OutlivesAll : Child);
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
    }
}

// A client's request with a short limit, at a node whose calls run longer and lie densely.
TEST(CallerKinds, MatchesByChanceMakeNoKindTheBackends)
{
    CallerKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("stock", {true, i % 10 < 4, 0.4});
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
    }
}

TEST(CallerKinds, SomeOrphansDoNotChangeWhoMakesAKind)
{
    CallerKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("count", i % 20 == 19 ? OutlivesAll : Child);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

} // namespace fescuepond
