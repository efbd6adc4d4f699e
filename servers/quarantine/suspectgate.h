// Gate in front of a backend server that runs at most one suspect at a time; other suspects wait.

#pragma once

#include "servers/quarantine/suspicion.h"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace fescuepond
{

/// A call at the gate. A call that runs must be passed to finish() once; a waiting one is released or cancelled.
class GateCall
{
    FESCUEPOND_FIELD(AttemptId, attempt, withAttempt);
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(int, priorLosses, withPriorLosses); ///< Backend servers lost during the call's earlier attempts.

public:
    friend auto operator<=>(const GateCall &, const GateCall &) = default;
};

enum class GateDecision {
    Run,
    Wait, ///< Decided again when the running suspect finishes or another node's records arrive.
    Reject,
};

/// Evidence from a finished call of whether its request crashes backend servers.
enum class CrashEvidence {
    Answered, ///< The backend server survived it.
    BackendLost,
    NoEvidence, ///< It was not run, or its outcome is unknown.
};
CrashEvidence crashEvidenceOf(const CallOutcome &outcome);

/// A decision on a call that was waiting.
class GateRelease
{
    FESCUEPOND_FIELD(AttemptId, attempt, withAttempt);
    FESCUEPOND_FIELD(GateDecision, decision, withDecision); ///< Run or Reject.

public:
    friend auto operator<=>(const GateRelease &, const GateRelease &) = default;
};

/// Effects of a finished call.
struct GateUpdate {
    Suspicions changed; ///< To be sent to the other targets.
    std::vector<GateRelease> released;
};

/// Not thread-safe: the plug-in locks it.
class SuspectGate
{
public:
    GateDecision admit(const GateCall &call, TimePoint now);
    GateUpdate finish(const AttemptId &attempt, CrashEvidence evidence, TimePoint now);
    /// Removes a waiting call; returns false if it is no longer waiting.
    bool cancelWaiting(const AttemptId &attempt);
    /// Merges records of another node. Returns the waiting calls that are released by them.
    std::vector<GateRelease> merge(const Suspicions &records, TimePoint now);
    std::size_t quarantinedCount() const
    {
        return m_table.quarantinedCount();
    }
    std::size_t runningCount() const
    {
        return m_running.size();
    }

private:
    struct Running {
        Fingerprint m_fingerprint;
        LossId m_loss; ///< The loss that this call was part of, or none.
    };

    GateDecision decide(const GateCall &call, TimePoint now);
    std::vector<GateRelease> decideWaiting(TimePoint now);
    Suspicions recordLoss(TimePoint now);

    SuspicionTable m_table;
    std::map<AttemptId, Running> m_running;
    std::optional<AttemptId> m_suspect; ///< The only running suspect; it is in m_running.
    std::list<GateCall> m_waiting; ///< In order of arrival. Empty if m_suspect is.
};

} // namespace fescuepond
