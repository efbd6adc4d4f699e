// Which requests are suspected of crashing backend servers, and what is done with them.
//
// When a backend server is lost, every request that it ran becomes a suspect. A backend server runs at most one suspect
// at a time, so that a second loss tells which of them it was: a fingerprint with two losses is quarantined for a
// bounded time. A suspect that is answered is cleared.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/digest.h"
#include "core/values/id.h"

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace fescuepond
{

/// One loss of a backend server.
using LossId = Id<struct LossTag>;
using LossIds = std::set<LossId>;

/// What is known of one fingerprint. Two records merge to the union of what they say.
class Suspicion
{
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(LossIds, losses, withLosses); ///< Losses of backend servers that ran it.
    FESCUEPOND_FIELD(LossIds, cleared, withCleared); ///< Losses that it was found not to have caused.

public:
    Suspicion mergedWith(const Suspicion &other) const;
    /// Losses that still speak against it.
    std::size_t lossCount() const;
    friend auto operator<=>(const Suspicion &, const Suspicion &) = default;
};

using Suspicions = std::vector<Suspicion>;

enum class Treatment {
    Run, ///< Like any other call.
    RunAsOnlySuspect, ///< While no other suspect runs.
    Reject,
};

/// The suspicions that a node knows. Not thread-safe; the plug-in guards it.
class SuspicionTable
{
public:
    /// `priorLosses`: losses that the call itself has seen in earlier attempts.
    Treatment treatmentOf(Fingerprint fingerprint, int priorLosses, TimePoint now);
    /// A backend server was lost while it ran `running`. Returns the records that changed.
    Suspicions backendLost(const LossId &loss, const std::vector<Fingerprint> &running, TimePoint now);
    /// A call with this fingerprint was answered. Returns the record when it changed.
    Suspicions answered(Fingerprint fingerprint);
    /// Takes in what another node knows.
    void merge(const Suspicions &records, TimePoint now);
    std::size_t size() const
    {
        return m_records.size();
    }
    std::size_t quarantinedCount() const;

private:
    struct Entry {
        Suspicion m_suspicion;
        TimePoint m_changedAt{};
    };
    using Records = std::map<Fingerprint, Entry>;

    void set(const Suspicion &suspicion, TimePoint now);
    void dropOldest();
    bool isExpired(const Entry &entry, TimePoint now) const;

    Records m_records; ///< At most MaxRecords; the oldest go first.
};

} // namespace fescuepond
