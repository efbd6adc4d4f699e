// The share of the root requests of one path that an entry node admits.
//
// A window limits the calls in flight, at least one for each entry node. Where a path has hundreds of entry nodes and
// each has only a call or two in flight, such windows can't keep a bottleneck service from being overloaded, however
// small they are; so each node also admits only a share of its requests. Every node adjusts its share by the same
// headroom reports, so the shares become about equal without messages between the entry nodes, and each request that is
// admitted finds slots in all services on its path.
//
// This decision answers overload of a service that many entry nodes reach, each with few requests a second. A node
// whose processor is the bottleneck accepts a share of all its calls in the same way (servers/processorload).

#pragma once

#include "core/kernel/clock.h"

#include <cstdint>

namespace fescuepond
{

class PathShare
{
public:
    /// The fraction of requests to admit, MinShare to 1.
    double at(TimePoint now) const;
    /// Whether to admit a request with this random hash.
    bool admits(std::uint64_t hash, TimePoint now) const;
    /// Adjusts the share to the headroom that an answer reported.
    void update(double headroom, TimePoint now);
    /// Suggested time until a rejected request is sent again; zero while all requests are admitted.
    Duration retryAfter(TimePoint now) const;

private:
    double m_share = 1; ///< At m_changedAt; it grows from then on.
    TimePoint m_changedAt;
};

} // namespace fescuepond
