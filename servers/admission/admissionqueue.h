// The queue of calls that wait for a slot, ordered by importance, and the count of calls that hold one.
//
// A declared kept share is a part of the slots and of the places in the queue. Calls of a kind that are within its
// share go ahead of all calls beyond shares; apart from that the order is rank, then the hash of the root request.

#pragma once

#include "servers/admission/admissionentry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace fescuepond
{

/// The greatest room that is told: a service with free slots could hold so many times the calls of a kind.
constexpr double MaxHeadroom = 2;

/// What a queue does besides its order, for measurements with a mechanism switched off.
struct QueueRules {
    bool keepShares = true;
    bool firstInFirstOut = false; ///< Ignores ranks and hashes; refuses the newcomer when full.
};

class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueRules rules);

    /// Adds an entry that leaves the queue at `leaveAt` if it hasn't been taken by then. When more than `capacity`
    /// wait, the least important entry is removed and returned; it may be the newcomer.
    std::optional<AdmissionEntry>
    push(const AdmissionEntry &entry, TimePoint expiresAt, std::size_t capacity, double slots);
    /// Takes the most important entry and counts it as running, when fewer than `slots` run.
    std::optional<AdmissionEntry> admitNext(double slots);
    /// The entry has ended; it must have been taken.
    AdmissionEntry finish(EntryId id);
    /// Removes an entry that waits; false when it doesn't.
    bool remove(EntryId id);
    /// Removes the entries whose time to leave has come.
    std::vector<AdmissionEntry> removeExpired(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;

    std::size_t queued() const
    {
        return m_waiting.size();
    }
    std::size_t running() const
    {
        return m_running.size();
    }
    /// How many of the slots the calls of the entry's kind could hold after the more important calls, for each call of
    /// the kind that is here: above 0, up to MaxHeadroom. Below 1, calls wait.
    double headroom(const AdmissionEntry &entry, double slots) const;

private:
    struct Waiting {
        AdmissionEntry m_entry;
        TimePoint m_expiresAt;
    };
    /// Calls of one root kind and rank.
    struct KindUsage {
        double m_keptShare = 0;
        std::size_t m_running = 0;
        std::set<ShedOrder> m_waiting;
    };
    using KindKey = std::pair<Rank, std::string>;

    static KindKey keyOf(const AdmissionEntry &entry);
    ShedOrder queueOrder(const AdmissionEntry &entry) const;
    void erase(const ShedOrder &order);
    bool isProtected(const KindUsage &kind, std::size_t capacity) const;
    std::optional<ShedOrder> leastImportant(std::size_t capacity) const;
    const ShedOrder *firstWithinKeptShare(double slots) const;
    double occupancy(const KindUsage &kind) const;

    const QueueRules m_rules;
    std::map<ShedOrder, Waiting> m_waiting; ///< The most important first.
    std::unordered_map<EntryId, ShedOrder> m_orders; ///< Has exactly the entries of m_waiting.
    std::set<std::pair<TimePoint, ShedOrder>> m_expiries; ///< Has exactly the entries of m_waiting.
    std::map<KindKey, KindUsage> m_kinds; ///< Every kind with an entry that waits or runs.
    std::unordered_map<EntryId, AdmissionEntry> m_running;
};

} // namespace fescuepond
