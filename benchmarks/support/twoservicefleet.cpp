// The smallest fleet in which a call passes two nodes.

#include "benchmarks/support/twoservicefleet.h"

#include <string>

namespace fescuepond::benchmark
{

namespace
{

std::string declarationOf(const std::string &service)
{
    return "service: " + service
        + "\nkinds:\n"
          "  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 5000, retries: 1}\n";
}

} // namespace

TwoServiceFleet::TwoServiceFleet(int serviceMs)
{
    m_fleet.publish({declarationOf("yard"), declarationOf("desk")});
    const std::vector<std::string> flags = {"--fixed", "--service_ms=" + std::to_string(serviceMs)};
    m_yard = &m_fleet.addNode({.name = "yard-a", .service = "yard", .backendFlags = flags});
    m_desk = &m_fleet.addNode({.name = "desk-a", .service = "desk", .backendFlags = flags});
}

bool TwoServiceFleet::waitUntilReady() const
{
    return m_fleet.waitUntilReady(2);
}

} // namespace fescuepond::benchmark
