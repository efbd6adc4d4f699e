// The ledger of one owner: decides for each submission of a key whether it starts, waits or is answered from the
// record.
//
// A key is started only here, and only when the ledger proves that it never was: it has no record and its serial is not
// below the watermark. Records go away in two ways: an outcome "not run" erases the record, since the key may still be
// started; eviction raises the watermark above the record's serial, so the key can never be started again.

#pragma once

#include "servers/ledger/keyrecord.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace fescuepond
{

/// Bounds of a ledger.
class KeyLimits
{
    FESCUEPOND_FIELD(std::size_t, maxRecords, withMaxRecords);
    FESCUEPOND_FIELD(std::size_t, maxAnswerBytes, withMaxAnswerBytes); ///< Bodies of kept answers together.
    FESCUEPOND_FIELD(std::size_t, maxAnswerBytesEach, withMaxAnswerBytesEach); ///< A longer answer is not kept.
    FESCUEPOND_FIELD(Duration, lifetime, withLifetime); ///< Records and unused tickets are kept for this time.

public:
    friend auto operator<=>(const KeyLimits &, const KeyLimits &) = default;
};

enum class SubmissionVerdict {
    Start, ///< Run the call, then report its end.
    Wait, ///< It runs; its end answers this submission too.
    Answer, ///< The outcome is here.
    Closed, ///< It never started, and this ledger starts nothing any more.
};

/// What happens with one submission of a key.
class SubmissionDecision
{
    FESCUEPOND_FIELD(SubmissionVerdict, verdict, withVerdict);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set with Answer.

public:
    friend auto operator<=>(const SubmissionDecision &, const SubmissionDecision &) = default;
};

/// Whether the local backend server runs a call at this moment. A child's record is kept while its parent runs; once
/// the parent has ended, no call is taken for its child any more.
using IsInFlight = std::function<bool(const CallId &)>;

class KeyLedger
{
public:
    KeyLedger(Incarnation owner, KeyLimits limits, IsInFlight isInFlight, TimePoint now);
    /// The ledger of a owner that has handed over. Running records must have ended.
    KeyLedger(const LedgerSnapshot &snapshot, KeyLimits limits, IsInFlight isInFlight, TimePoint now);

    const Incarnation &owner() const
    {
        return m_owner;
    }
    /// A serial for a new key; 0 when the ledger is closed.
    KeySerial issueSerial();
    /// The serial of a child's key: that of its record, or a new one.
    KeySerial serialOfChild(const std::string &derivedName);

    /// Decides on a submission of key `serial`; with Start, the record is Running from then on.
    SubmissionDecision submit(KeySerial serial,
                              const Fingerprint &fingerprint,
                              const std::string &derivedName,
                              TimePoint deadline,
                              TimePoint now);
    /// The started call has ended. Called exactly once for each Start.
    void finish(KeySerial serial, const CallOutcome &outcome, TimePoint now);
    /// Evicts what is older than the lifetime.
    void expire(TimePoint now);

    /// From now on nothing starts here; what runs may end.
    void close();
    bool isClosed() const
    {
        return m_isClosed;
    }
    /// What a successor gets. The ledger must be closed: a snapshot of an open one would allow two starts.
    LedgerSnapshot snapshot(TimePoint now) const;

    std::size_t running() const
    {
        return m_running;
    }
    std::size_t size() const
    {
        return m_records.size();
    }
    std::size_t answerBytes() const
    {
        return m_answerBytes;
    }
    KeySerial watermark() const
    {
        return m_watermark;
    }
    /// Whether no key of this owner can be started or answered from a record any more.
    bool isExhausted() const
    {
        return m_records.empty() && m_watermark >= m_nextSerial;
    }

private:
    using Records = std::map<KeySerial, KeyRecord>;
    /// All serials below `m_nextSerial` were issued by `m_at`.
    struct IssueCheckpoint {
        TimePoint m_at;
        KeySerial m_nextSerial;
    };

    SubmissionDecision
    start(KeySerial serial, const Fingerprint &fingerprint, const std::string &derivedName, TimePoint now);
    /// Evicts the oldest records while the limits are passed; false when that does not help.
    bool evictIfFull();
    bool isEvictable(const KeyRecord &record) const;
    Records::iterator erase(Records::iterator record);
    Records::iterator evict(Records::iterator record);

    Incarnation m_owner;
    KeyLimits m_limits;
    IsInFlight m_isInFlight;
    KeySerial m_nextSerial = 1;
    KeySerial m_watermark = 1; ///< Never falls. A key below it without a record is never started.
    Records m_records; ///< Of keys that were started; all serials are below m_nextSerial.
    std::unordered_map<std::string, KeySerial> m_children; ///< Has exactly the derived names in m_records.
    std::deque<IssueCheckpoint> m_checkpoints; ///< Ascending in both fields.
    std::size_t m_running = 0; ///< Records in state Running.
    std::size_t m_answerBytes = 0; ///< Sum over the bodies in m_records.
    bool m_isClosed = false; ///< Never becomes false again.
};

} // namespace fescuepond
