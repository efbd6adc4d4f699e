// Which kinds of calls a backend server makes.

#include "servers/parentage/callerkinds.h"

#include <gtest/gtest.h>

namespace fescuepond
{

TEST(CallerKinds, AKindThatAlwaysExpiresWithACallThatRunsIsTheBackends)
{
    CallerKinds kinds;
    for (int i = 0; i < 7; ++i) {
        kinds.arrived("count", true);
        EXPECT_FALSE(kinds.isFromBackend("count")) << "too few to tell";
    }
    kinds.arrived("count", true);
    EXPECT_TRUE(kinds.isFromBackend("count"));
    EXPECT_FALSE(kinds.isFromBackend("other"));
}

TEST(CallerKinds, AKindThatOutlivesAllThatRunsIsTheClients)
{
    CallerKinds kinds;
    // Under load most of the clients' requests expire before some call that runs.
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("stock", i % 5 != 0);
        EXPECT_FALSE(kinds.isFromBackend("stock")) << i;
    }
}

TEST(CallerKinds, SomeOrphansDoNotChangeWhoMakesAKind)
{
    CallerKinds kinds;
    for (int i = 0; i < 2000; ++i) {
        kinds.arrived("count", i % 20 != 19);
    }
    EXPECT_TRUE(kinds.isFromBackend("count"));
}

} // namespace fescuepond
