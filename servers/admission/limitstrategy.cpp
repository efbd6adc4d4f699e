// Strategies for how many calls the local backend server is given at once.

#include "servers/admission/limitstrategy.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double StartPart = 0.25; ///< Of the slots, after a cold start.
constexpr double GrowthForEachAnswer = 0.25; ///< Calls.
constexpr double FailureWeight = 0.02; ///< Of the newest call in the moving average.
constexpr double MostFailures = 0.2; ///< Part of calls.
constexpr double FailureCut = 0.7;
constexpr Duration TimeBetweenCuts = std::chrono::milliseconds(500);
constexpr double SaturationWeight = 0.02; ///< Of the newest call in the moving average.
constexpr double LeastSaturation = 0.9; ///< Part of calls; below it nothing is tried.
constexpr double LowerTrial = 0.8;
constexpr Duration TimeBetweenTrials = std::chrono::seconds(10);
constexpr std::size_t SamplesForEachPhase = 600;
/// The first answers of a phase began under the limit before it.
constexpr double SkippedRounds = 2;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FixedLimit::FixedLimit(double slots)
    : m_slots(slots)
{
}

void FixedLimit::finished(const RunSample &, bool, TimePoint)
{
}

AdaptiveLimit::AdaptiveLimit(double slots)
    : m_slots(slots)
    , m_base(std::max(1.0, slots * StartPart))
{
}

double AdaptiveLimit::limit() const
{
    const double factor = m_phase == Phase::Trial ? trialFactor() : 1;
    return std::clamp(m_base * factor, 1.0, m_slots);
}

double AdaptiveLimit::Measurement::mean() const
{
    return m_count == 0 ? 0 : m_seconds / static_cast<double>(m_count);
}

void AdaptiveLimit::finished(const RunSample &sample, bool saturated, TimePoint now)
{
    countFailure(sample.failed(), now);
    if (sample.failed()) {
        return;
    }
    if (!m_warm) {
        grow();
        return;
    }
    m_saturatedPart += SaturationWeight * ((saturated ? 1 : 0) - m_saturatedPart);
    if (m_saturatedPart < LeastSaturation) {
        restartMeasurement();
        return;
    }
    measure(sample, now);
}

void AdaptiveLimit::countFailure(bool failed, TimePoint now)
{
    m_failurePart += FailureWeight * ((failed ? 1 : 0) - m_failurePart);
    if (m_failurePart < MostFailures || now - m_lastCut < TimeBetweenCuts) {
        return;
    }
    m_base = std::max(1.0, m_base * FailureCut);
    m_lastCut = now;
    m_warm = false;
    restartMeasurement();
}

void AdaptiveLimit::restartMeasurement()
{
    m_phase = Phase::Before;
    m_before = {};
}

void AdaptiveLimit::grow()
{
    m_base = std::min(m_slots, m_base + GrowthForEachAnswer);
    m_warm = m_base >= m_slots;
}

double AdaptiveLimit::trialFactor() const
{
    // Below the upper bound a trial looks for more, so that no limit stays too low for long.
    return m_base < m_slots * LowerTrial ? 1 / LowerTrial : LowerTrial;
}

void AdaptiveLimit::measure(const RunSample &sample, TimePoint now)
{
    if (m_phase == Phase::Before && now - m_phaseBegin < TimeBetweenTrials) {
        return;
    }
    Measurement &measurement = m_phase == Phase::Before ? m_before : m_phase == Phase::Trial ? m_trial : m_after;
    ++measurement.m_count;
    const double skipped = SkippedRounds * limit();
    if (static_cast<double>(measurement.m_count) <= skipped) {
        return;
    }
    measurement.m_seconds += secondsOf(sample.own());
    if (measurement.m_count >= SamplesForEachPhase + static_cast<std::size_t>(skipped)) {
        measurement.m_count = SamplesForEachPhase;
        endPhase(now);
    }
}

void AdaptiveLimit::endPhase(TimePoint now)
{
    m_phaseBegin = now;
    if (m_phase == Phase::Before) {
        m_phase = Phase::Trial;
        m_trial = {};
        return;
    }
    if (m_phase == Phase::Trial) {
        m_phase = Phase::After;
        m_after = {};
        return;
    }
    judgeTrial();
    restartMeasurement();
}

void AdaptiveLimit::judgeTrial()
{
    const double factor = trialFactor();
    // Half-way between "own service time doesn't depend on the limit" and "it is in proportion to it".
    const double midway = (1 + factor) / 2;
    const double least = std::min(m_before.mean(), m_after.mean());
    const double greatest = std::max(m_before.mean(), m_after.mean());
    const bool waitsInside = factor < 1 ? m_trial.mean() < least * midway : m_trial.mean() > greatest * midway;
    if (waitsInside == (factor < 1)) {
        m_base = std::clamp(m_base * factor, 1.0, m_slots);
    }
}

} // namespace fescuepond
