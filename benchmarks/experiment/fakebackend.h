// Model of a backend server: slots, a FIFO queue of its own, exponentially distributed service times.

#pragma once

#include "benchmarks/experiment/eventqueue.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <random>

namespace fescuepond::experiment
{

class FakeBackend
{
public:
    FakeBackend(EventQueue &events, std::mt19937_64 &random, int slots, double ownSeconds);

    /// Calls `started` as soon as a slot is free and taken for the call; release() frees it.
    void acquire(std::function<void()> started);
    void release();
    /// Calls `done` after `fraction` of a random own service time.
    void work(double fraction, std::function<void()> done);

    /// Multiplies the service times that are drawn from now on.
    void setTimeFactor(double factor)
    {
        m_timeFactor = factor;
    }
    /// Models empty caches after a start: for the next ColdCalls calls, the service time grows with the number of calls
    /// that run at once.
    void becomeCold()
    {
        m_coldCalls = ColdCalls;
    }
    /// Slots in use.
    std::size_t busy() const
    {
        return m_busy;
    }

private:
    static constexpr int ColdCalls = 100;

    EventQueue &m_events;
    std::mt19937_64 &m_random;
    const int m_slots;
    const double m_ownSeconds;
    double m_timeFactor = 1;
    int m_coldCalls = 0; ///< Calls left until it is warm.
    std::size_t m_busy = 0; ///< Slots in use, at most m_slots.
    std::deque<std::function<void()>> m_waiting;
};

} // namespace fescuepond::experiment
