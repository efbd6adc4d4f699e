// Requests suspected of crashing backend servers.

#include "servers/quarantine/suspicion.h"

#include "core/kernel/invariant.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxRecords = 4096;
constexpr std::size_t LossesForQuarantine = 2;
/// A record expires this long after its last loss, or after the last record received from another node, so that no
/// request is quarantined for ever.
constexpr Duration RecordLifetime = std::chrono::minutes(5);

} // namespace

Suspicion Suspicion::mergedWith(const Suspicion &other) const
{
    LossIds losses = m_losses;
    losses.insert(other.m_losses.begin(), other.m_losses.end());
    LossIds cleared = m_cleared;
    cleared.insert(other.m_cleared.begin(), other.m_cleared.end());
    return withLosses(std::move(losses)).withCleared(std::move(cleared));
}

std::size_t Suspicion::lossCount() const
{
    return static_cast<std::size_t>(std::count_if(m_losses.begin(), m_losses.end(), [this](const LossId &loss) {
        return !m_cleared.contains(loss);
    }));
}

Treatment SuspicionTable::treatmentOf(Fingerprint fingerprint, int priorLosses, TimePoint now)
{
    const auto found = m_records.find(fingerprint);
    std::size_t known = 0;
    if (found != m_records.end()) {
        if (isExpired(found->second, now)) {
            m_records.erase(found);
        } else {
            known = found->second.m_suspicion.lossCount();
        }
    }
    const std::size_t losses = std::max(known, static_cast<std::size_t>(std::max(priorLosses, 0)));
    if (losses >= LossesForQuarantine) {
        return Treatment::Reject;
    }
    return losses > 0 ? Treatment::RunAsOnlySuspect : Treatment::Run;
}

Suspicions SuspicionTable::backendLost(const LossId &loss, const std::vector<Fingerprint> &running, TimePoint now)
{
    Suspicions changed;
    for (const Fingerprint fingerprint : running) {
        const auto found = m_records.find(fingerprint);
        const Suspicion before =
            found == m_records.end() ? Suspicion().withFingerprint(fingerprint) : found->second.m_suspicion;
        LossIds losses = before.losses();
        if (!losses.insert(loss).second) {
            continue;
        }
        const Suspicion after = before.withLosses(std::move(losses));
        set(after, now);
        changed.push_back(after);
    }
    return changed;
}

Suspicions SuspicionTable::answered(Fingerprint fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.m_suspicion.lossCount() == 0) {
        return {};
    }
    Suspicion &suspicion = found->second.m_suspicion;
    suspicion = suspicion.withCleared(suspicion.losses());
    invariant(suspicion.lossCount() == 0, "an answered request is not a suspect");
    return {suspicion};
}

void SuspicionTable::merge(const Suspicions &records, TimePoint now)
{
    for (const Suspicion &record : records) {
        const auto found = m_records.find(record.fingerprint());
        set(found == m_records.end() ? record : found->second.m_suspicion.mergedWith(record), now);
    }
}

std::size_t SuspicionTable::quarantinedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &record) {
        return record.second.m_suspicion.lossCount() >= LossesForQuarantine;
    }));
}

void SuspicionTable::set(const Suspicion &suspicion, TimePoint now)
{
    m_records.insert_or_assign(suspicion.fingerprint(), Entry{suspicion, now});
    if (m_records.size() > MaxRecords) {
        evictOldest();
    }
}

void SuspicionTable::evictOldest()
{
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
        return a.second.m_changedAt < b.second.m_changedAt;
    });
    m_records.erase(oldest);
}

bool SuspicionTable::isExpired(const Entry &entry, TimePoint now) const
{
    return now - entry.m_changedAt > RecordLifetime;
}

} // namespace fescuepond
