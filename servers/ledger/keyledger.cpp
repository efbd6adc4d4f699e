// Decides on submissions of keys, stores outcomes, and evicts records below a watermark.

#include "servers/ledger/keyledger.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <set>

namespace fescuepond
{

namespace
{

SubmissionDecision answer(CallOutcome outcome)
{
    return SubmissionDecision().withVerdict(SubmissionVerdict::Answer).withOutcome(std::move(outcome));
}

SubmissionDecision verdict(SubmissionVerdict verdict)
{
    return SubmissionDecision().withVerdict(verdict);
}

SubmissionDecision resolveDuplicate(const KeyRecord &record, const Fingerprint &fingerprint)
{
    if (record.fingerprint() != fingerprint) {
        return answer(CallOutcome::notRun(Reason::BadRequest, "the key was used for another request"));
    }
    return record.state() == KeyState::Running ? verdict(SubmissionVerdict::Wait) : answer(record.outcome());
}

CallOutcome tooOld(const char *detail)
{
    return CallOutcome::unknown(Reason::KeyTooOld, detail);
}

} // namespace

bool LedgerSnapshot::isConsistent() const
{
    std::set<KeySerial> serials;
    return std::all_of(m_records.begin(), m_records.end(), [&](const KeyRecord &record) {
        const bool isIssued = record.serial() > 0 && record.serial() < m_nextSerial;
        return record.state() == KeyState::Finished && isIssued && serials.insert(record.serial()).second;
    });
}

KeyLedger::KeyLedger(Incarnation owner, LedgerLimits limits, IsInFlight isInFlight, TimePoint now)
    : m_owner(owner)
    , m_limits(limits)
    , m_isInFlight(std::move(isInFlight))
    , m_checkpoints{{now, m_nextSerial}}
{
}

KeyLedger::KeyLedger(const LedgerSnapshot &snapshot, LedgerLimits limits, IsInFlight isInFlight, TimePoint now)
    : m_owner(snapshot.owner())
    , m_limits(limits)
    , m_isInFlight(std::move(isInFlight))
    , m_nextSerial(snapshot.nextSerial())
    , m_watermark(snapshot.watermark())
    , m_checkpoints{{now, snapshot.nextSerial()}}
{
    invariant(snapshot.isConsistent(), "transferred records are finished, and each has a serial that was issued");
    for (const KeyRecord &record : snapshot.records()) {
        m_records.emplace(record.serial(), record.withChangedAt(now));
        m_answerBytes += record.outcome().body().size();
    }
}

KeySerial KeyLedger::issueSerial()
{
    return m_isClosed ? 0 : m_nextSerial++;
}

KeySerial KeyLedger::serialOfChild(const std::string &derivedName)
{
    const auto found = m_children.find(derivedName);
    return found == m_children.end() ? issueSerial() : found->second;
}

SubmissionDecision KeyLedger::submit(KeySerial serial,
                                     const Fingerprint &fingerprint,
                                     const std::string &derivedName,
                                     TimePoint deadline,
                                     TimePoint now)
{
    const auto found = m_records.find(serial);
    if (found != m_records.end()) {
        return resolveDuplicate(found->second, fingerprint);
    }
    if (serial < m_watermark) {
        return answer(tooOld("the key is older than the records that its owner keeps"));
    }
    if (m_isClosed) {
        return verdict(SubmissionVerdict::Closed);
    }
    if (serial >= m_nextSerial) {
        return answer(CallOutcome::notRun(Reason::BadRequest, "the ticket was never issued"));
    }
    if (deadline <= now) {
        return answer(CallOutcome::notRun(Reason::DeadlineExceeded, "the deadline passed before the call was run"));
    }
    if (!derivedName.empty() && !m_isInFlight(parentOfChildKey(derivedName))) {
        return answer(CallOutcome::notRun(Reason::Cancelled, "the parent call of this child call has finished"));
    }
    if (!evictIfFull()) {
        return answer(CallOutcome::notRun(Reason::Overload, "the key's owner has no space for another key record"));
    }
    return start(serial, fingerprint, derivedName, now);
}

SubmissionDecision
KeyLedger::start(KeySerial serial, const Fingerprint &fingerprint, const std::string &derivedName, TimePoint now)
{
    // evictIfFull() may have raised the watermark above this key.
    if (serial < m_watermark) {
        return answer(tooOld("the key is older than the records that its owner keeps"));
    }
    const auto [record, isNew] = m_records.emplace(serial,
                                                   KeyRecord()
                                                       .withSerial(serial)
                                                       .withFingerprint(fingerprint)
                                                       .withState(KeyState::Running)
                                                       .withChangedAt(now)
                                                       .withDerivedName(derivedName));
    invariant(isNew && !m_isClosed, "a key starts at most once");
    if (!derivedName.empty()) {
        const bool isOnlyChild = m_children.emplace(derivedName, serial).second;
        invariant(isOnlyChild, "a derived key has one record");
    }
    ++m_running;
    return verdict(SubmissionVerdict::Start);
}

void KeyLedger::finish(KeySerial serial, const CallOutcome &outcome, TimePoint now)
{
    const auto found = m_records.find(serial);
    const bool isRunning = found != m_records.end() && found->second.state() == KeyState::Running;
    invariant(isRunning, "a started key finishes once");
    --m_running;
    if (outcome.state() == CallState::NotRun) {
        erase(found);
        return;
    }
    const bool isStored = outcome.body().size() <= m_limits.maxAnswerBytesEach();
    const CallOutcome stored = isStored ? outcome : tooOld("the call ran, but its answer is too long to be stored");
    found->second = found->second.withState(KeyState::Finished).withOutcome(stored).withChangedAt(now);
    m_answerBytes += stored.body().size();
}

void KeyLedger::expire(TimePoint now)
{
    if (m_checkpoints.back().m_nextSerial < m_nextSerial) {
        m_checkpoints.push_back({now, m_nextSerial});
    }
    while (!m_checkpoints.empty() && m_checkpoints.front().m_at + m_limits.lifetime() <= now) {
        m_watermark = std::max(m_watermark, m_checkpoints.front().m_nextSerial);
        m_checkpoints.pop_front();
    }
    if (m_checkpoints.empty()) {
        m_checkpoints.push_back({now, m_nextSerial});
    }
    for (auto record = m_records.begin(); record != m_records.end();) {
        const bool isOld = record->second.changedAt() + m_limits.lifetime() <= now;
        record = isOld && isEvictable(record->second) ? evict(record) : std::next(record);
    }
}

void KeyLedger::close()
{
    m_isClosed = true;
}

LedgerSnapshot KeyLedger::snapshot(TimePoint now) const
{
    invariant(m_isClosed, "only a closed ledger is transferred");
    KeyRecords records;
    for (const auto &[serial, record] : m_records) {
        const bool isFinished = record.state() == KeyState::Finished;
        const CallOutcome outcome = isFinished
            ? record.outcome()
            : CallOutcome::unknown(Reason::KeyOwnerGone, "the key's owner stopped while the call ran");
        records.push_back(record.withState(KeyState::Finished).withOutcome(outcome).withChangedAt(now));
    }
    return LedgerSnapshot()
        .withOwner(m_owner)
        .withWatermark(m_watermark)
        .withNextSerial(m_nextSerial)
        .withRecords(std::move(records));
}

bool KeyLedger::evictIfFull()
{
    const auto isFull = [this] {
        return m_records.size() >= m_limits.maxRecords() || m_answerBytes > m_limits.maxAnswerBytes();
    };
    auto record = m_records.begin();
    while (isFull() && record != m_records.end()) {
        record = isEvictable(record->second) ? evict(record) : std::next(record);
    }
    return m_records.size() < m_limits.maxRecords();
}

bool KeyLedger::isEvictable(const KeyRecord &record) const
{
    const std::string &child = record.derivedName();
    return record.state() == KeyState::Finished && (child.empty() || !m_isInFlight(parentOfChildKey(child)));
}

KeyLedger::Records::iterator KeyLedger::erase(Records::iterator record)
{
    m_answerBytes -= record->second.outcome().body().size();
    m_children.erase(record->second.derivedName());
    return m_records.erase(record);
}

KeyLedger::Records::iterator KeyLedger::evict(Records::iterator record)
{
    m_watermark = std::max(m_watermark, record->first + 1);
    return erase(record);
}

} // namespace fescuepond
