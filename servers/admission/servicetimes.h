// Histograms of how long calls of each kind take, which forget slowly, and the low quantile that is the likely
// service time of the next call.

#pragma once

#include "core/kernel/clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace fescuepond
{

/// Counts of durations in logarithmic bins. Old counts are halved now and then, so that it follows changes.
class DurationHistogram
{
public:
    void add(Duration duration);
    /// The lower edge of the bin that holds the quantile; zero until enough durations were seen.
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
    /// A time that nearly every call of the kind takes at least.
    Duration minServiceTime(const std::string &kind) const;

private:
    std::map<std::string, DurationHistogram> m_kinds;
};

} // namespace fescuepond
