// Table of the cancellable calls that this node has sent.

#include "modules/peer/outgoingcalls.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// An abandoned parent needs to be remembered only until its last child call has passed the entry pipeline.
constexpr std::size_t MaxAbandonedParents = 4096;

} // namespace

void OutgoingCalls::add(const AttemptId &parent, const OutgoingCall &call)
{
    m_table.locked([&](Table &table) {
        table.m_byParent.emplace(parent, call);
    });
}

void OutgoingCalls::remove(const AttemptId &parent, const AttemptId &attemptId)
{
    m_table.locked([&](Table &table) {
        const auto [begin, end] = table.m_byParent.equal_range(parent);
        const auto found = std::find_if(begin, end, [&](const auto &entry) {
            return entry.second.attemptId() == attemptId;
        });
        if (found != end) {
            table.m_byParent.erase(found);
        }
    });
}

std::vector<OutgoingCall> OutgoingCalls::abandon(const AttemptId &parent)
{
    return m_table.locked([&](Table &table) {
        if (table.m_abandoned.insert(parent).second) {
            table.m_abandonedOrder.push_back(parent);
        }
        if (table.m_abandonedOrder.size() > MaxAbandonedParents) {
            table.m_abandoned.erase(table.m_abandonedOrder.front());
            table.m_abandonedOrder.pop_front();
        }
        std::vector<OutgoingCall> calls;
        const auto [begin, end] = table.m_byParent.equal_range(parent);
        std::transform(begin, end, std::back_inserter(calls), [](const auto &entry) {
            return entry.second;
        });
        return calls;
    });
}

bool OutgoingCalls::isAbandoned(const AttemptId &parent) const
{
    return m_table.locked([&](const Table &table) {
        return table.m_abandoned.contains(parent);
    });
}

} // namespace fescuepond
