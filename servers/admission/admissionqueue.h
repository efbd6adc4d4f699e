// The queue of calls that wait for a slot, ordered by importance, and the set of running calls, which hold one.
//
// A kept share reserves a fraction of the slots and of the queue for a root kind. Calls of a kind that doesn't use up
// its share precede all others; apart from that the order is rank, then the hash of the root request.

#pragma once

#include "servers/admission/admissionentry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace fescuepond
{

/// Upper bound of the reported headroom: a service with free slots could run this many times the present calls of a
/// kind.
constexpr double MaxHeadroom = 2;

/// Mechanisms of a queue that benchmarks can switch off.
struct QueueRules {
    bool keepShares = true;
    bool firstInFirstOut = false; ///< Ignores ranks and hashes; a full queue rejects the new entry.
};

class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueRules rules);

    /// Queues an entry until it is admitted or expires. If more than `capacity` entries are queued then, besides those
    /// that fit into free slots, removes and returns the least important one, which may be the new entry.
    std::optional<AdmissionEntry>
    push(const AdmissionEntry &entry, TimePoint expiresAt, std::size_t capacity, double slots);
    /// Moves the most important queued entry to the running ones if a slot is free, and returns it.
    std::optional<AdmissionEntry> admitNext(double slots);
    bool hasFreeSlot(double slots) const
    {
        return static_cast<double>(m_running.size()) + 1 <= slots;
    }
    /// Releases the slot of a running entry.
    AdmissionEntry finish(EntryId id);
    /// Removes a queued entry; false if it isn't queued.
    bool remove(EntryId id);
    /// Removes and returns the queued entries that have expired.
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
    /// How many slots the more important calls leave to the entry's kind, for each call of the kind that is queued or
    /// running: above 0, at most MaxHeadroom. Below 1, calls of the kind have to queue.
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
    std::map<KindKey, KindUsage> m_kinds; ///< Every kind with a queued or running entry.
    std::unordered_map<EntryId, AdmissionEntry> m_running;
};

} // namespace fescuepond
