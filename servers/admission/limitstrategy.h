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
    /// The backend server runs so many calls at once.
    virtual void setSlots(double slots) = 0;
    /// A call that ran has ended.
    virtual void finished(const RunSample &sample, TimePoint now) = 0;
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
    void setSlots(double slots) override;
    void finished(const RunSample &sample, TimePoint now) override;

private:
    double m_slots;
};

/// Starts low after a cold start, grows with the answers up to the slots of the settings, and shrinks when the backend
/// server fails. A slower backend server doesn't lower the limit: its slots hold as many calls as before.
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
