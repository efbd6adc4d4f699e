// The calls that the local backend server runs: the table and the allowance that its calls share.

#include "core/pipeline/callsinflight.h"

#include <algorithm>

namespace fescuepond
{

void CallsInFlight::add(const CallContext &context)
{
    m_table.locked([&](Table &table) {
        table.insert_or_assign(context.callId(), context);
    });
}

int CallsInFlight::remove(const CallId &callId)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return 0;
        }
        const int left = found->second.retryAllowance();
        table.erase(found);
        return left;
    });
}

std::optional<CallContext> CallsInFlight::find(const CallId &callId) const
{
    return m_table.locked([&](const Table &table) -> std::optional<CallContext> {
        const auto found = table.find(callId);
        return found == table.end() ? std::nullopt : std::optional(found->second);
    });
}

int CallsInFlight::takeAllowance(const CallId &callId, int wanted)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return 0;
        }
        const int taken = std::clamp(wanted, 0, found->second.retryAllowance());
        found->second = found->second.withRetryAllowance(found->second.retryAllowance() - taken);
        return taken;
    });
}

void CallsInFlight::returnAllowance(const CallId &callId, int unused)
{
    m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found != table.end()) {
            found->second = found->second.withRetryAllowance(found->second.retryAllowance() + unused);
        }
    });
}

std::size_t CallsInFlight::size() const
{
    return m_table.locked([](const Table &table) {
        return table.size();
    });
}

} // namespace fescuepond
