// The results of one run.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// Requests of one kind that callers first sent within the measured time. All figures are requests per second.
struct KindResult {
    std::string name;
    int rank = 0;
    double offered = 0; ///< A request counts once, however often it is retried.
    double ideal = 0; ///< See idealRates().
    double goodput = 0; ///< Answered before the deadline, which is that of the first attempt.

    friend auto operator<=>(const KindResult &, const KindResult &) = default;
};

struct RunResult {
    std::string graph;
    std::string caseName;
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<KindResult> kinds;
    double failedAttempts = 0; ///< Per second: attempts of callers that were rejected or failed.
    double wastedFraction = 0; ///< Slot time spent on root requests that failed, as a fraction of all slot time.
    double recoverySeconds = -1; ///< From the end of the trigger; -1: no trigger, or no recovery within the run.
    bool hasTrigger = false; ///< The case has a disturbance that ends within the run.
    std::vector<double> completedBySlice; ///< Requests answered before their deadline in each slice of SliceSeconds.

    static constexpr double SliceSeconds = 0.1;

    double totalGoodput() const;
    double totalIdeal() const;
    double totalOffered() const;
    friend auto operator<=>(const RunResult &, const RunResult &) = default;
};

} // namespace fescuepond::experiment
