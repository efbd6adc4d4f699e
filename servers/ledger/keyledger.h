// The ledger of the keys that one node incarnation owns. Decides for each submission of a key (a call that arrives with
// the key) whether the call is started, waits for the running one, or is answered from the key's record.
//
// A key is started only by its owner's ledger, or by the successor that the ledger was transferred to, and only if the
// ledger can prove that the key has not run before: it has no record and its serial is not below the watermark. Records
// are removed in two ways. An outcome "not run" removes the record, since the key may be started again. Eviction raises
// the watermark above the record's serial, so that the key is never started again.

#pragma once

#include "servers/ledger/keyrecord.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace fescuepond
{

/// Capacity limits and retention time of a ledger.
class LedgerLimits
{
    FESCUEPOND_FIELD(std::size_t, maxRecords, withMaxRecords);
    FESCUEPOND_FIELD(std::size_t, maxAnswerBytes, withMaxAnswerBytes); ///< Total size of the stored answers' bodies.
    FESCUEPOND_FIELD(std::size_t, maxAnswerBytesEach, withMaxAnswerBytesEach); ///< A longer answer is not stored.
    FESCUEPOND_FIELD(Duration, lifetime, withLifetime); ///< Retention time of records and of unused tickets.

public:
    friend auto operator<=>(const LedgerLimits &, const LedgerLimits &) = default;
};

enum class SubmissionVerdict {
    Start, ///< Run the call, then call finish().
    Wait, ///< The key is running; its outcome answers this submission too.
    Answer, ///< The outcome is known.
    Closed, ///< The key has not been started, and the closed ledger starts no more keys.
};

/// What to do with one submission of a key.
class SubmissionDecision
{
    FESCUEPOND_FIELD(SubmissionVerdict, verdict, withVerdict);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set with Answer.

public:
    friend auto operator<=>(const SubmissionDecision &, const SubmissionDecision &) = default;
};

/// Whether the local backend server is running a call. A child call's record is retained while its parent runs; after
/// the parent has finished, its child calls are rejected.
using IsInFlight = std::function<bool(const CallId &)>;

class KeyLedger
{
public:
    KeyLedger(Incarnation owner, LedgerLimits limits, IsInFlight isInFlight, TimePoint now);
    /// A ledger transferred from another node. Its records must be finished.
    KeyLedger(const LedgerSnapshot &snapshot, LedgerLimits limits, IsInFlight isInFlight, TimePoint now);

    const Incarnation &owner() const
    {
        return m_owner;
    }
    /// Serial for a new key; 0 if the ledger is closed.
    KeySerial issueSerial();
    /// Serial of a child call's key: that of its existing record, or a new one.
    KeySerial serialOfChild(const std::string &derivedName);

    /// Decides on a submission of the key `serial`. With the verdict Start, the key's record is Running on return.
    SubmissionDecision submit(KeySerial serial,
                              const Fingerprint &fingerprint,
                              const std::string &derivedName,
                              TimePoint deadline,
                              TimePoint now);
    /// Records the outcome of a started call. Must be called exactly once for each verdict Start.
    void finish(KeySerial serial, const CallOutcome &outcome, TimePoint now);
    /// Evicts records that are older than the lifetime, and invalidates unused serials of that age.
    void expire(TimePoint now);

    /// Stops starting keys; running ones may finish.
    void close();
    bool isClosed() const
    {
        return m_isClosed;
    }
    /// The state to transfer to a successor. The ledger must be closed: a snapshot of an open ledger would allow both
    /// nodes to start the same key.
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
    /// Whether this ledger can neither start any of its keys nor answer one from a record.
    bool isExhausted() const
    {
        return m_records.empty() && m_watermark >= m_nextSerial;
    }

private:
    using Records = std::map<KeySerial, KeyRecord>;
    /// All serials below `m_nextSerial` were issued at or before `m_at`.
    struct IssueCheckpoint {
        TimePoint m_at;
        KeySerial m_nextSerial;
    };

    SubmissionDecision
    start(KeySerial serial, const Fingerprint &fingerprint, const std::string &derivedName, TimePoint now);
    /// Evicts the oldest records while a limit is exceeded. Returns false if there is still no space for a record.
    bool evictIfFull();
    bool isEvictable(const KeyRecord &record) const;
    Records::iterator erase(Records::iterator record);
    Records::iterator evict(Records::iterator record);

    Incarnation m_owner;
    LedgerLimits m_limits;
    IsInFlight m_isInFlight;
    KeySerial m_nextSerial = 1;
    KeySerial m_watermark = 1; ///< Never decreases. A key below it without a record is never started.
    Records m_records; ///< Of keys that were started; all serials are below m_nextSerial.
    std::unordered_map<std::string, KeySerial> m_children; ///< Has exactly the derived names in m_records.
    std::deque<IssueCheckpoint> m_checkpoints; ///< Ascending in both fields.
    std::size_t m_running = 0; ///< Number of records in state Running.
    std::size_t m_answerBytes = 0; ///< Total size of the bodies in m_records.
    bool m_isClosed = false; ///< Never reset.
};

} // namespace fescuepond
