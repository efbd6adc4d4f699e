// How many repeated calls to one service this node may send.

#include "servers/retry/retrybudget.h"

#include <algorithm>

namespace fescuepond
{

std::int64_t RetryBudget::slotNumber(const RetryRules &rules, TimePoint now)
{
    return now.time_since_epoch() / (rules.window() / SlotsOfWindow);
}

RetryBudget::Slot &RetryBudget::slotAt(std::int64_t number)
{
    Slot &slot = m_slots[static_cast<std::size_t>(number) % SlotCount];
    if (slot.m_number != number) {
        slot = Slot{number, 0, 0};
    }
    return slot;
}

RetryBudget RetryBudget::afterCall(const RetryRules &rules, TimePoint now) const
{
    RetryBudget next = *this;
    ++next.slotAt(slotNumber(rules, now)).m_calls;
    return next;
}

RetryBudget RetryBudget::afterRetry(const RetryRules &rules, TimePoint now) const
{
    RetryBudget next = *this;
    ++next.slotAt(slotNumber(rules, now)).m_retries;
    return next;
}

bool RetryBudget::permitsRetry(const RetryRules &rules, TimePoint now) const
{
    const std::int64_t oldest = slotNumber(rules, now) - SlotsOfWindow;
    double calls = 0;
    double retries = 0;
    for (const Slot &slot : m_slots) {
        // The oldest slot lies partly before the window: its repeats count, its calls don't.
        retries += slot.m_number >= oldest ? slot.m_retries : 0;
        calls += slot.m_number > oldest ? slot.m_calls : 0;
    }
    const double slack = rules.slack() * SlackPart / static_cast<double>(std::max<std::size_t>(rules.nodes(), 1));
    return retries + 1 <= calls * rules.ratio() / RetryLevels + slack;
}

} // namespace fescuepond
