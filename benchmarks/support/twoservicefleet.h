// The smallest fleet in which a call takes two nodes: it enters at `desk` and runs at `yard`.

#pragma once

#include "tests/support/fleet.h"

namespace fescuepond::benchmark
{

/// Path of the one kind that both services declare.
constexpr const char *ReadPath = "/stock/sleepers";

class TwoServiceFleet
{
public:
    /// The backend servers take exactly `serviceMs` milliseconds for each request.
    explicit TwoServiceFleet(int serviceMs);

    const test::FleetNode &yard() const
    {
        return *m_yard;
    }
    const test::FleetNode &desk() const
    {
        return *m_desk;
    }
    bool waitUntilReady() const;

private:
    test::Fleet m_fleet;
    const test::FleetNode *m_yard;
    const test::FleetNode *m_desk;
};

} // namespace fescuepond::benchmark
