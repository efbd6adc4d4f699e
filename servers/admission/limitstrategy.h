// Strategies for the concurrency limit of the local backend server.

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
    /// Sets how many calls the backend server runs concurrently.
    virtual void setSlots(double slots) = 0;
    /// Called with the result of each call that ran.
    virtual void finished(const RunSample &sample, TimePoint now) = 0;
};

/// Always the number of slots.
class FixedLimit final : public LimitStrategy
{
public:
    explicit FixedLimit(double slots);
    double limit() const override
    {
        return m_slots;
    }
    void setSlots(double slots) override;
    void finished(const RunSample &sample, TimePoint now) override;

private:
    double m_slots;
};

/// Starts below the number of slots, grows with each answer up to it, and shrinks while the backend server is lost or
/// unreachable. Slow answers don't lower the limit: a slower backend server runs as many calls concurrently as before.
class AdaptiveLimit final : public LimitStrategy
{
public:
    explicit AdaptiveLimit(double slots);
    double limit() const override
    {
        return m_limit;
    }
    void setSlots(double slots) override;
    void finished(const RunSample &sample, TimePoint now) override;

private:
    double m_slots; ///< Upper bound of the limit.
    double m_limit; ///< From 1 to m_slots.
    double m_failureRatio = 0; ///< Moving average.
    TimePoint m_lastDecreaseAt{};
};

} // namespace fescuepond
