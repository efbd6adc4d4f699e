// Overload of one node by calls of the least urgent kind, with real processes. Guards against a flood that delays or
// displaces urgent calls, and against rejected calls that run all the same.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: booking, method: GET, path: /booking/*, rank: 0, idempotent: true, deadline_ms: 8000, retries: 0}
  - {name: browse, method: GET, path: /browse/*, rank: 9, idempotent: true, deadline_ms: 8000, retries: 0}
)";

struct Counts {
    std::atomic<int> answered = 0;
    std::atomic<int> notRun = 0;
    std::atomic<int> other = 0;
};

/// Sends `count` requests one after the other, as one caller.
void sendMany(const std::string &front, const std::string &path, int count, Counts &counts)
{
    for (int request = 0; request < count; ++request) {
        HttpCall call;
        call.path = path;
        const std::string outcome = sendHttp(front, call).outcome();
        std::atomic<int> &counter = outcome == "answered" ? counts.answered
            : outcome == "not-run"                        ? counts.notRun
                                                          : counts.other;
        ++counter;
    }
}

} // namespace

TEST(Admission, FloodOfTheLeastUrgentKindIsShedAndTheMostUrgentIsServed)
{
    constexpr int FloodCallers = 40;
    constexpr int FloodRequests = 15;
    constexpr int UrgentRequests = 30;
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    FleetNode &yard = fleet.addNode({.name = "yard-a",
                                     .service = "yard",
                                     .backendFlags = {"--slots=4", "--service_ms=20", "--fixed"},
                                     .settings = {"backend_slots: 4"}});
    ASSERT_TRUE(fleet.waitUntilReady(1));

    Counts flood;
    Counts urgent;
    std::vector<std::thread> callers;
    callers.reserve(FloodCallers);
    for (int caller = 0; caller < FloodCallers; ++caller) {
        callers.emplace_back([&] {
            sendMany(yard.front, "/browse/all", FloodRequests, flood);
        });
    }
    sendMany(yard.front, "/booking/one", UrgentRequests, urgent);
    for (std::thread &caller : callers) {
        caller.join();
    }

    EXPECT_EQ(urgent.answered, UrgentRequests);
    EXPECT_EQ(flood.other, 0);
    EXPECT_GT(flood.notRun, 0);
    EXPECT_GT(flood.answered, 0);
    // No rejected call was run: the backend server has run exactly the calls that were answered.
    EXPECT_EQ(static_cast<int>(yard.journalLines("begin").size()), urgent.answered + flood.answered);
}

} // namespace fescuepond::test
