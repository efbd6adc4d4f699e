// Keeps the calls that belong to the entries of an admission queue.

#include "modules/admission/waitingcalls.h"

namespace fescuepond
{

AdmissionEntry WaitingCalls::add(const CallRequest &call, const Next &next, Done done, TimePoint now)
{
    AdmissionEntry entry = makeEntry(m_nextId++, call.context());
    m_calls.emplace(entry.id(), WaitingCall{call, next, std::move(done), entry, now});
    return entry;
}

DecidedCalls WaitingCalls::removeDecided(const AdmissionDecisions &decisions)
{
    DecidedCalls decided;
    for (const AdmissionDecision &decision : decisions) {
        const auto found = m_calls.find(decision.id());
        decided.push_back({std::move(found->second), decision.rejection()});
        m_calls.erase(found);
    }
    return decided;
}

bool WaitingCalls::needsTimer(std::optional<TimePoint> due)
{
    if (!due || *due >= m_timerAt) {
        return false;
    }
    m_timerAt = *due;
    return true;
}

void WaitingCalls::timerFired()
{
    m_timerAt = TimePoint::max();
}

} // namespace fescuepond
