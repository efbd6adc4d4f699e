// Calls that this node has sent and that may be cancelled.

#include "modules/peer/outgoingcalls.h"

#include <algorithm>

namespace fescuepond
{

void OutgoingCalls::add(const AttemptId &parent, const OutgoingCall &call)
{
    m_table.locked([&](Table &table) {
        table.emplace(parent, call);
    });
}

void OutgoingCalls::remove(const AttemptId &parent, const AttemptId &attemptId)
{
    m_table.locked([&](Table &table) {
        const auto [begin, end] = table.equal_range(parent);
        const auto found = std::find_if(begin, end, [&](const auto &entry) {
            return entry.second.attemptId() == attemptId;
        });
        if (found != end) {
            table.erase(found);
        }
    });
}

std::vector<OutgoingCall> OutgoingCalls::callsOf(const AttemptId &parent) const
{
    return m_table.locked([&](const Table &table) {
        std::vector<OutgoingCall> calls;
        const auto [begin, end] = table.equal_range(parent);
        std::transform(begin, end, std::back_inserter(calls), [](const auto &entry) {
            return entry.second;
        });
        return calls;
    });
}

} // namespace fescuepond
