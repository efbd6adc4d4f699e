// The queue of calls that wait for a slot: order, kept shares, shedding of the least important entry.

#include "servers/admission/admissionqueue.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
/// Not 0, because 0 means that the headroom is unknown.
constexpr double MinHeadroom = 0.01;
} // namespace

AdmissionQueue::AdmissionQueue(QueueRules rules)
    : m_rules(rules)
{
}

AdmissionQueue::KindKey AdmissionQueue::keyOf(const AdmissionEntry &entry)
{
    return {entry.order().rank(), entry.rootKind()};
}

ShedOrder AdmissionQueue::queueOrder(const AdmissionEntry &entry) const
{
    return m_rules.firstInFirstOut ? ShedOrder().withEntryId(entry.id()) : entry.order();
}

std::optional<AdmissionEntry>
AdmissionQueue::push(const AdmissionEntry &entry, TimePoint expiresAt, std::size_t capacity, double slots)
{
    invariant(!m_orders.contains(entry.id()) && !m_running.contains(entry.id()), "an entry is submitted once");
    const ShedOrder order = queueOrder(entry);
    m_waiting.emplace(order, Waiting{entry, expiresAt});
    m_orders.emplace(entry.id(), order);
    m_expiries.emplace(expiresAt, order);
    KindUsage &kind = m_kinds[keyOf(entry)];
    kind.m_keptShare = m_rules.keepShares ? entry.keptShare() : 0;
    kind.m_waiting.insert(order);
    // Entries that fit into free slots are admitted right after this and don't count towards the capacity.
    const double freeSlots = std::max(0.0, std::floor(slots) - static_cast<double>(m_running.size()));
    if (m_waiting.size() <= capacity + static_cast<std::size_t>(freeSlots)) {
        return std::nullopt;
    }
    const std::optional<ShedOrder> victim = leastImportant(capacity);
    AdmissionEntry rejected = m_waiting.at(*victim).m_entry;
    erase(*victim);
    return rejected;
}

std::optional<AdmissionEntry> AdmissionQueue::admitNext(double slots)
{
    if (m_waiting.empty() || !hasFreeSlot(slots)) {
        return std::nullopt;
    }
    const ShedOrder *withinShare = firstWithinKeptShare(slots);
    const ShedOrder order = withinShare != nullptr ? *withinShare : m_waiting.begin()->first;
    AdmissionEntry entry = m_waiting.at(order).m_entry;
    ++m_kinds[keyOf(entry)].m_running; // Before erase(), which drops unused kinds.
    erase(order);
    m_running.emplace(entry.id(), entry);
    invariant(static_cast<double>(m_running.size()) <= slots, "no more calls run than there are slots");
    return entry;
}

AdmissionEntry AdmissionQueue::finish(EntryId id)
{
    const auto found = m_running.find(id);
    invariant(found != m_running.end(), "only a running call can finish");
    AdmissionEntry entry = found->second;
    m_running.erase(found);
    const auto kind = m_kinds.find(keyOf(entry));
    --kind->second.m_running;
    if (kind->second.m_running == 0 && kind->second.m_waiting.empty()) {
        m_kinds.erase(kind);
    }
    return entry;
}

bool AdmissionQueue::remove(EntryId id)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end()) {
        return false;
    }
    erase(ShedOrder(found->second));
    return true;
}

std::vector<AdmissionEntry> AdmissionQueue::removeExpired(TimePoint now)
{
    std::vector<AdmissionEntry> due;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const ShedOrder order = m_expiries.begin()->second;
        due.push_back(m_waiting.at(order).m_entry);
        erase(order);
    }
    return due;
}

std::optional<TimePoint> AdmissionQueue::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional(m_expiries.begin()->first);
}

void AdmissionQueue::erase(const ShedOrder &order)
{
    const auto found = m_waiting.find(order);
    const auto kind = m_kinds.find(keyOf(found->second.m_entry));
    m_expiries.erase({found->second.m_expiresAt, order});
    m_orders.erase(found->second.m_entry.id());
    m_waiting.erase(found);
    kind->second.m_waiting.erase(order);
    if (kind->second.m_running == 0 && kind->second.m_waiting.empty()) {
        m_kinds.erase(kind);
    }
}

bool AdmissionQueue::isProtected(const KindUsage &kind, std::size_t capacity) const
{
    const double keptCapacity = std::ceil(kind.m_keptShare * static_cast<double>(capacity));
    return static_cast<double>(kind.m_waiting.size()) <= keptCapacity;
}

std::optional<ShedOrder> AdmissionQueue::leastImportant(std::size_t capacity) const
{
    std::optional<ShedOrder> worst;
    for (const auto &[key, kind] : m_kinds) {
        if (kind.m_waiting.empty() || isProtected(kind, capacity)) {
            continue;
        }
        worst = std::max(worst, std::optional(*kind.m_waiting.rbegin()));
    }
    // Kept shares may add up to the whole queue; then the order alone decides.
    return worst ? worst : std::optional(m_waiting.rbegin()->first);
}

const ShedOrder *AdmissionQueue::firstWithinKeptShare(double slots) const
{
    const ShedOrder *best = nullptr;
    for (const auto &[key, kind] : m_kinds) {
        const bool isWithinShare = static_cast<double>(kind.m_running) < kind.m_keptShare * slots;
        if (!isWithinShare || kind.m_waiting.empty()) {
            continue;
        }
        const ShedOrder &first = *kind.m_waiting.begin();
        best = best == nullptr || first < *best ? &first : best;
    }
    return best;
}

double AdmissionQueue::occupancy(const KindUsage &kind) const
{
    return static_cast<double>(kind.m_running + kind.m_waiting.size());
}

double AdmissionQueue::headroom(const AdmissionEntry &entry, double slots) const
{
    const auto own = m_kinds.find(keyOf(entry));
    const double ownUse = own == m_kinds.end() ? 0 : occupancy(own->second);
    const double ownShare = m_rules.keepShares ? entry.keptShare() : 0;
    double ahead = 0;
    for (const auto &[key, kind] : m_kinds) {
        if (key == keyOf(entry)) {
            continue;
        }
        const auto running = static_cast<double>(kind.m_running);
        if (m_rules.firstInFirstOut || key.first == entry.order().rank()) {
            ahead += running; // Queued calls of equal rank may come after it, depending on their hashes.
        } else if (key.first < entry.order().rank()) {
            ahead += occupancy(kind);
        } else {
            ahead += std::min(occupancy(kind), kind.m_keptShare * slots);
        }
    }
    const double byRank = std::max(0.0, slots - ahead) / std::max(1.0, ownUse);
    const double byShare = ownShare * slots / std::max(1.0, ownUse);
    return std::clamp(std::max(byRank, byShare), MinHeadroom, MaxHeadroom);
}

} // namespace fescuepond
