// The timer service in virtual time: due order, periodic and cancelled subscriptions, subscribing from a callback.

#include "core/kernel/timerservice.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <vector>

namespace fescuepond
{

using std::chrono::milliseconds;

TEST(TimerService, RunsDueCallbacksInOrderOfTime)
{
    ManualClock clock;
    TimerService timers(clock, nullptr);
    std::vector<int> calls;
    timers.once(clock.now() + milliseconds(20), [&] {
        calls.push_back(2);
    });
    timers.once(clock.now() + milliseconds(10), [&] {
        calls.push_back(1);
    });
    EXPECT_EQ(timers.runDue(), 0);
    clock.advance(milliseconds(20));
    EXPECT_EQ(timers.runDue(), 2);
    EXPECT_EQ(calls, (std::vector{1, 2}));
    EXPECT_EQ(timers.runDue(), 0) << "each is called once";
}

TEST(TimerService, PeriodicCallbackRunsUntilCancelled)
{
    ManualClock clock;
    TimerService timers(clock, nullptr);
    int calls = 0;
    const auto id = timers.every(milliseconds(10), [&] {
        ++calls;
    });
    for (int i = 0; i < 3; ++i) {
        clock.advance(milliseconds(10));
        timers.runDue();
    }
    EXPECT_EQ(calls, 3);
    timers.cancel(id);
    clock.advance(milliseconds(100));
    EXPECT_EQ(timers.runDue(), 0);
}

TEST(TimerService, TimerThatBecameDueDuringASuspensionIsNotLateByTheLengthOfTheSuspension)
{
    ManualClock clock;
    TimerService timers(clock, nullptr);
    std::promise<void> called;
    timers.start();
    timers.once(clock.now() + std::chrono::minutes(10), [&] {
        called.set_value();
    });
    std::this_thread::sleep_for(milliseconds(100));
    clock.advance(std::chrono::minutes(10));
    EXPECT_EQ(called.get_future().wait_for(std::chrono::seconds(2)), std::future_status::ready);
}

TEST(TimerService, CallbackCanSubscribe)
{
    ManualClock clock;
    TimerService timers(clock, nullptr);
    int calls = 0;
    timers.once(clock.now(), [&] {
        timers.once(clock.now() + milliseconds(5), [&] {
            ++calls;
        });
    });
    timers.runDue();
    clock.advance(milliseconds(5));
    timers.runDue();
    EXPECT_EQ(calls, 1);
}

} // namespace fescuepond
