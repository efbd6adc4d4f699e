// Histograms of how long calls of each kind take.

#include "servers/admission/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double FirstEdgeSeconds = 50e-6;
constexpr double BinsPerDoubling = 4;
constexpr double FewestCounts = 32;
constexpr double MostCounts = 512;
constexpr double ForgottenPart = 0.5;
constexpr double LikelyQuantile = 0.1;

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
    if (m_count < MostCounts) {
        return;
    }
    for (double &count : m_bins) {
        count *= ForgottenPart;
    }
    m_count *= ForgottenPart;
}

Duration DurationHistogram::quantile(double part) const
{
    if (m_count < FewestCounts) {
        return {};
    }
    double below = 0;
    std::size_t bin = 0;
    while (bin + 1 < BinCount && below + m_bins[bin] < part * m_count) {
        below += m_bins[bin];
        ++bin;
    }
    const double edge = FirstEdgeSeconds * std::exp2(static_cast<double>(bin) / BinsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(edge));
}

void ServiceTimes::add(const std::string &kind, Duration total)
{
    m_kinds[kind].add(total);
}

Duration ServiceTimes::likely(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration{} : found->second.quantile(LikelyQuantile);
}

} // namespace fescuepond
