// The latest arrivals at a queue, for an estimate of how many more important ones are still to come.

#pragma once

#include "core/kernel/clock.h"
#include "servers/admission/admissionentry.h"

#include <deque>
#include <set>

namespace fescuepond
{

class ArrivalSample
{
public:
    void add(const ShedOrder &order, TimePoint now);
    /// Orders of the latest arrivals, the most important first.
    const std::set<ShedOrder> &orders() const
    {
        return m_orders;
    }
    /// How many arrivals a part of the sample stands for, if they go on for `horizon` as they came. Not projected
    /// beyond the time that the sample spans: a clump soon ends.
    double projected(std::size_t count, Duration horizon, TimePoint now) const;

private:
    struct Arrival {
        TimePoint m_at;
        ShedOrder m_order;
    };
    std::deque<Arrival> m_arrivals; ///< The oldest first.
    std::set<ShedOrder> m_orders; ///< Of exactly the arrivals in m_arrivals; orders never repeat.
};

} // namespace fescuepond
