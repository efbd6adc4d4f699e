// The smallest fleet in which a call passes two nodes: it enters at the node of `desk` and runs at the backend server
// of `yard`.

#pragma once

#include "tests/support/fleet.h"

namespace fescuepond::benchmark
{

/// URL path that matches the only kind that both services declare.
constexpr const char *ReadPath = "/stock/sleepers";

class TwoServiceFleet
{
public:
    /// The service time of the backend servers is constant, `serviceMs` milliseconds.
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
