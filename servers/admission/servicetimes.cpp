// Histograms of service times by kind.

#include "servers/admission/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double FirstEdgeSeconds = 50e-6;
constexpr double BinsPerDoubling = 4;
constexpr double MinSamples = 32;
constexpr double MaxSamples = 512;
constexpr double DecayFactor = 0.5;
constexpr double MinServiceTimeQuantile = 0.1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void DurationHistogram::add(Duration duration)
{
    const double bin = std::log2(std::max(toSeconds(duration), FirstEdgeSeconds) / FirstEdgeSeconds) * BinsPerDoubling;
    ++m_bins[std::min(static_cast<std::size_t>(bin), BinCount - 1)];
    ++m_count;
    if (m_count < MaxSamples) {
        return;
    }
    for (double &count : m_bins) {
        count *= DecayFactor;
    }
    m_count *= DecayFactor;
}

Duration DurationHistogram::quantile(double fraction) const
{
    if (m_count < MinSamples) {
        return {};
    }
    double below = 0;
    std::size_t bin = 0;
    while (bin + 1 < BinCount && below + m_bins[bin] < fraction * m_count) {
        below += m_bins[bin];
        ++bin;
    }
    const double edge = FirstEdgeSeconds * std::exp2(static_cast<double>(bin) / BinsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(edge));
}

void ServiceTimes::add(const std::string &kind, Duration serviceTime)
{
    m_kinds[kind].add(serviceTime);
}

Duration ServiceTimes::minServiceTime(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration{} : found->second.quantile(MinServiceTimeQuantile);
}

} // namespace fescuepond
