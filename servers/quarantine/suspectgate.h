// The gate before a backend server that keeps suspects apart: at most one runs at a time, the others wait.

#pragma once

#include "servers/quarantine/suspicion.h"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace fescuepond
{

/// A call at the gate. It is ended exactly once, whether it runs or waits.
class GateCall
{
    FESCUEPOND_FIELD(AttemptId, attempt, withAttempt);
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(int, priorLosses, withPriorLosses); ///< Losses that the call has seen in earlier attempts.

public:
    friend auto operator<=>(const GateCall &, const GateCall &) = default;
};

enum class GateDecision {
    Run,
    Wait, ///< Decided again when another call ends.
    Reject,
};

/// How a call that ran has ended, as far as it tells whether the request is harmful.
enum class RunResult {
    Answered, ///< The backend server survived it.
    BackendLost,
    NoEvidence, ///< It was not run after all, or nobody knows.
};
RunResult runResultOf(const CallOutcome &outcome);

/// A decision on a call that had waited.
class GateRelease
{
    FESCUEPOND_FIELD(AttemptId, attempt, withAttempt);
    FESCUEPOND_FIELD(GateDecision, decision, withDecision); ///< Run or Reject.

public:
    friend auto operator<=>(const GateRelease &, const GateRelease &) = default;
};

/// What the end of a call leads to.
struct GateUpdate {
    Suspicions changed; ///< For the other nodes.
    std::vector<GateRelease> released;
};

/// Not thread-safe; the plug-in guards it.
class SuspectGate
{
public:
    GateDecision admit(const GateCall &call, TimePoint now);
    GateUpdate finish(const AttemptId &attempt, RunResult runResult, TimePoint now);
    /// Gives up on a call that waits; false when it doesn't wait any more.
    bool withdraw(const AttemptId &attempt);
    /// Takes in what another node knows. Calls that wait are decided again.
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
        LossId m_loss; ///< The loss that it was part of, or none.
    };

    GateDecision decide(const GateCall &call, TimePoint now);
    std::vector<GateRelease> decideWaiting(TimePoint now);
    Suspicions recordLoss(TimePoint now);

    SuspicionTable m_table;
    std::map<AttemptId, Running> m_running;
    std::optional<AttemptId> m_suspect; ///< The one suspect that runs; it is in m_running.
    std::list<GateCall> m_waiting; ///< In order of arrival. Empty when m_suspect is.
};

} // namespace fescuepond
