// A fake of a backend server at the interface: slots, a FIFO queue of its own, exponential own service times.

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

    /// Calls `started` when a slot is free; release() gives it back.
    void acquire(std::function<void()> started);
    void release();
    /// Works for the fraction `fraction` of one own service time, then calls `done`.
    void work(double fraction, std::function<void()> done);

    /// Multiplies own service times from now on.
    void setTimeFactor(double factor)
    {
        m_timeFactor = factor;
    }
    /// From now on it is cold: the more calls run at once, the longer each takes, until some have been served.
    void becomeCold()
    {
        m_coldCalls = ColdCalls;
    }
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
    int m_coldCalls = 0; ///< Calls until it is warm.
    std::size_t m_busy = 0; ///< At most m_slots.
    std::deque<std::function<void()>> m_waiting;
};

} // namespace fescuepond::experiment
