// Requests suspected of crashing backend servers, and how calls with such a request are treated.
//
// When a backend server is lost, every request that was running there becomes a suspect. A backend server runs at most
// one suspect at a time, so that a second loss identifies the request that caused both: a fingerprint with two losses
// is quarantined for a limited time. A suspect that is answered is cleared.

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

/// What is known of one fingerprint. Merging two records gives the union of their losses and of their cleared losses.
class Suspicion
{
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(LossIds, losses, withLosses); ///< Losses of backend servers that were running it.
    FESCUEPOND_FIELD(LossIds, cleared, withCleared); ///< Losses that it did not cause, since it was answered later.

public:
    Suspicion mergedWith(const Suspicion &other) const;
    /// Number of losses that have not been cleared.
    std::size_t lossCount() const;
    friend auto operator<=>(const Suspicion &, const Suspicion &) = default;
};

using Suspicions = std::vector<Suspicion>;

enum class Treatment {
    Run, ///< As any other call.
    RunAsOnlySuspect, ///< Once no other suspect is running.
    Reject,
};

/// The suspicions known to a node. Not thread-safe: the plug-in locks it.
class SuspicionTable
{
public:
    /// `priorLosses`: number of backend servers lost during the call's earlier attempts.
    Treatment treatmentOf(Fingerprint fingerprint, int priorLosses, TimePoint now);
    /// Records that a backend server was lost while running the fingerprints `running`. Returns the changed records.
    Suspicions backendLost(const LossId &loss, const std::vector<Fingerprint> &running, TimePoint now);
    /// Records that a call with this fingerprint was answered. Returns its record if that changed.
    Suspicions answered(Fingerprint fingerprint);
    /// Merges records of another node.
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
    void evictOldest();
    bool isExpired(const Entry &entry, TimePoint now) const;

    Records m_records; ///< At most MaxRecords; the oldest are evicted first.
};

} // namespace fescuepond
