// What one run measured.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// Root requests of one kind that were sent in the measured time.
struct KindResult {
    std::string name;
    int rank = 0;
    double offered = 0; ///< A second, of what callers want; a request that is sent again counts once.
    double ideal = 0; ///< A second.
    double goodput = 0; ///< A second; answered within the deadline of the first sending.

    friend auto operator<=>(const KindResult &, const KindResult &) = default;
};

struct RunResult {
    std::string graph;
    std::string caseName;
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<KindResult> kinds;
    double rejections = 0; ///< Sendings a second that were refused.
    double wastedFraction = 0; ///< Slot time spent on roots that failed, of all slot time.
    double recoverySeconds = -1; ///< -1: the case has no trigger that ends, or it didn't recover.
    bool hasTrigger = false;
    std::vector<double> completedBySlice; ///< Requests done in each slice of SliceSeconds.

    static constexpr double SliceSeconds = 0.1;

    double totalGoodput() const;
    double totalIdeal() const;
    double totalOffered() const;
    friend auto operator<=>(const RunResult &, const RunResult &) = default;
};

} // namespace fescuepond::experiment
