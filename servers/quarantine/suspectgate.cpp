// Gate in front of a backend server that runs at most one suspect at a time.

#include "servers/quarantine/suspectgate.h"

#include "core/kernel/invariant.h"

#include <algorithm>

namespace fescuepond
{

CrashEvidence crashEvidenceOf(const CallOutcome &outcome)
{
    if (outcome.reason() == Reason::BackendLost) {
        return CrashEvidence::BackendLost;
    }
    return outcome.state() == CallState::Answered ? CrashEvidence::Answered : CrashEvidence::NoEvidence;
}

GateDecision SuspectGate::admit(const GateCall &call, TimePoint now)
{
    const GateDecision decision = decide(call, now);
    if (decision == GateDecision::Wait) {
        m_waiting.push_back(call);
    }
    return decision;
}

GateDecision SuspectGate::decide(const GateCall &call, TimePoint now)
{
    const Treatment treatment = m_table.treatmentOf(call.fingerprint(), call.priorLosses(), now);
    if (treatment == Treatment::Reject) {
        return GateDecision::Reject;
    }
    if (treatment == Treatment::RunAsOnlySuspect) {
        if (m_suspect) {
            return GateDecision::Wait;
        }
        m_suspect = call.attempt();
    }
    m_running.emplace(call.attempt(), Running{call.fingerprint(), LossId()});
    return GateDecision::Run;
}

GateUpdate SuspectGate::finish(const AttemptId &attempt, CrashEvidence evidence, TimePoint now)
{
    GateUpdate update;
    const auto found = m_running.find(attempt);
    invariant(found != m_running.end(), "a call that finishes has run");
    // All calls that were running when the backend server was lost belong to one loss, but each finishes separately.
    const bool isNewLoss = evidence == CrashEvidence::BackendLost && found->second.m_loss.isNone();
    if (isNewLoss) {
        update.changed = recordLoss(now);
    }
    if (evidence == CrashEvidence::Answered) {
        update.changed = m_table.answered(found->second.m_fingerprint);
    }
    m_running.erase(found);
    if (m_suspect == attempt) {
        m_suspect.reset();
        update.released = decideWaiting(now);
    }
    return update;
}

Suspicions SuspectGate::recordLoss(TimePoint now)
{
    const LossId loss = LossId::random();
    std::vector<Fingerprint> fingerprints;
    for (auto &[attempt, running] : m_running) {
        if (running.m_loss.isNone()) {
            running.m_loss = loss;
            fingerprints.push_back(running.m_fingerprint);
        }
    }
    return m_table.backendLost(loss, fingerprints, now);
}

bool SuspectGate::cancelWaiting(const AttemptId &attempt)
{
    return m_waiting.remove_if([&](const GateCall &call) {
        return call.attempt() == attempt;
    }) > 0;
}

std::vector<GateRelease> SuspectGate::merge(const Suspicions &records, TimePoint now)
{
    m_table.merge(records, now);
    return decideWaiting(now);
}

std::vector<GateRelease> SuspectGate::decideWaiting(TimePoint now)
{
    std::vector<GateRelease> released;
    for (auto call = m_waiting.begin(); call != m_waiting.end();) {
        const GateDecision decision = decide(*call, now);
        if (decision == GateDecision::Wait) {
            ++call;
            continue;
        }
        released.push_back(GateRelease().withAttempt(call->attempt()).withDecision(decision));
        call = m_waiting.erase(call);
    }
    invariant(m_waiting.empty() || m_suspect.has_value(), "suspects wait only while another one runs");
    return released;
}

} // namespace fescuepond
