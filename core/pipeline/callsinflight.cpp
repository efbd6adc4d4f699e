// The calls that the local backend server runs: the table and the allowance that its calls share.

#include "core/pipeline/callsinflight.h"

#include <algorithm>

namespace fescuepond
{

void CallsInFlight::add(const CallContext &context)
{
    m_table.locked([&](Table &table) {
        table.insert_or_assign(context.callId(), Entry{context});
    });
}

int CallsInFlight::remove(const CallId &callId)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return 0;
        }
        const int left = found->second.m_context.retryAllowance();
        table.erase(found);
        return left;
    });
}

std::optional<CallContext> CallsInFlight::find(const CallId &callId) const
{
    return m_table.locked([&](const Table &table) -> std::optional<CallContext> {
        const auto found = table.find(callId);
        return found == table.end() ? std::nullopt : std::optional(found->second.m_context);
    });
}

int CallsInFlight::takeAllowance(const CallId &callId, int wanted)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return 0;
        }
        const int taken = std::clamp(wanted, 0, found->second.m_context.retryAllowance());
        CallContext &context = found->second.m_context;
        context = context.withRetryAllowance(found->second.m_context.retryAllowance() - taken);
        return taken;
    });
}

void CallsInFlight::returnAllowance(const CallId &callId, int unused)
{
    m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found != table.end()) {
            CallContext &context = found->second.m_context;
            context = context.withRetryAllowance(found->second.m_context.retryAllowance() + unused);
        }
    });
}

void CallsInFlight::noteRoomBelow(const CallId &callId, double room)
{
    if (room <= 0) {
        return;
    }
    m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return;
        }
        double &least = found->second.m_roomBelow;
        least = least <= 0 ? room : std::min(least, room);
    });
}

double CallsInFlight::roomBelow(const CallId &callId) const
{
    return m_table.locked([&](const Table &table) {
        const auto found = table.find(callId);
        return found == table.end() ? 0.0 : found->second.m_roomBelow;
    });
}

std::size_t CallsInFlight::size() const
{
    return m_table.locked([](const Table &table) {
        return table.size();
    });
}

} // namespace fescuepond
