// Whether the requests of one path still end well, as their entry node sees it.
//
// A request that fails at the end of its chain of calls has cost a run at each service before, for nothing. While
// nearly all requests of a path end like that, whatever the reason is, its entry node admits only a few, which show
// when that is over, and refuses the others before any work is done for them.
//
// Unlike the windows and shares of paths, this needs no report of what is short downstream: a service whose targets
// reject most calls at once has headroom. A path on which a request in eight or more ends well isn't limited, since
// most of the work would be lost with it.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/call.h"

#include <cstdint>

namespace fescuepond
{

/// How a request that was admitted ended, as far as the work that was done for it is concerned.
enum class PathEnd {
    Completed,
    Wasted, ///< The backend server that ran it has answered with an error of its own.
    Inconclusive, ///< It has not run, or its outcome is unknown: nothing follows for other requests.
};

PathEnd pathEndOf(const CallOutcome &outcome);

class PathCompletion
{
public:
    /// The fraction of requests to admit, above 0 and at most 1.
    double share(TimePoint now) const;
    /// Whether to admit a request with this random hash. At least one in ProbeInterval is admitted.
    bool admits(std::uint64_t hash, TimePoint now);
    /// A request that was admitted has ended.
    void ended(PathEnd end, TimePoint now);
    /// Suggested time until a refused request is sent again; zero while all requests are admitted.
    Duration retryAfter(TimePoint now) const;

    static constexpr Duration ProbeInterval = std::chrono::seconds(1);

private:
    /// The share, with a reserve above 1 that some failures use up before requests are refused.
    double creditAt(TimePoint now) const;

    static constexpr double MaxCredit = 16;

    double m_credit = MaxCredit; ///< At m_changedAt; it grows from then on.
    TimePoint m_changedAt;
    TimePoint m_admittedAt; ///< The latest request.
};

} // namespace fescuepond
