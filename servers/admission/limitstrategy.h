// Strategies for how many calls the local backend server is given at once.

#pragma once

#include "servers/admission/admissionentry.h"

#include <memory>

namespace fescuepond
{

class LimitStrategy
{
public:
    virtual ~LimitStrategy() = default;
    virtual double limit() const = 0;
    /// A call ended; `saturated`: as many ran as the limit says.
    virtual void finished(const RunSample &sample, bool saturated, TimePoint now) = 0;
};

/// Always the number of slots in the settings.
class FixedLimit final : public LimitStrategy
{
public:
    explicit FixedLimit(double slots);
    double limit() const override
    {
        return m_slots;
    }
    void finished(const RunSample &sample, bool saturated, TimePoint now) override;

private:
    const double m_slots;
};

/// Starts low after a cold start, shrinks when the backend server fails, and looks now and then whether fewer calls at
/// once are served just as fast.
///
/// A slower backend server alone doesn't lower the limit: its calls take longer at any limit. Only when own service
/// time falls in proportion to a lower limit, calls were waiting inside the backend server, and the lower limit stays.
class AdaptiveLimit final : public LimitStrategy
{
public:
    explicit AdaptiveLimit(double slots);
    double limit() const override;
    void finished(const RunSample &sample, bool saturated, TimePoint now) override;

private:
    /// A trial of another limit compares its own service times with those before and after it.
    enum class Phase {
        Before,
        Trial,
        After,
    };
    struct Measurement {
        double m_seconds = 0;
        std::size_t m_count = 0;

        double mean() const;
    };

    void grow();
    void countFailure(bool failed, TimePoint now);
    void measure(const RunSample &sample, TimePoint now);
    void endPhase(TimePoint now);
    void restartMeasurement();
    void judgeTrial();
    double trialFactor() const;

    const double m_slots; ///< Upper bound of the limit.
    double m_base; ///< From 1 to m_slots.
    bool m_warm = false; ///< The slow start is over.
    double m_failurePart = 0; ///< Moving average.
    double m_saturatedPart = 0; ///< Moving average.
    TimePoint m_lastCut{};
    Phase m_phase = Phase::Before;
    TimePoint m_phaseBegin{};
    Measurement m_before;
    Measurement m_trial;
    Measurement m_after;
};

} // namespace fescuepond
