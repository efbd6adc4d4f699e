// Histograms of service times by kind, and the low quantile that serves as the minimum service time of the next call.

#pragma once

#include "core/kernel/clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace fescuepond
{

/// Counts of durations in logarithmic bins. The counts decay when they reach MaxSamples, so that it follows changes.
class DurationHistogram
{
public:
    void add(Duration duration);
    /// The lower edge of the bin that holds the quantile; zero with fewer than MinSamples durations.
    Duration quantile(double fraction) const;

private:
    static constexpr std::size_t BinCount = 96;
    std::array<double, BinCount> m_bins{};
    double m_count = 0; ///< Sum of m_bins.
};

class ServiceTimes
{
public:
    void add(const std::string &kind, Duration serviceTime);
    /// The 10th percentile of the kind's service times: nearly every call takes at least this long. Zero if unknown.
    Duration minServiceTime(const std::string &kind) const;

private:
    std::map<std::string, DurationHistogram> m_kinds;
};

} // namespace fescuepond
