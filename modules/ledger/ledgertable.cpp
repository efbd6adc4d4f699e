// The ledgers held by this node.

#include "modules/ledger/ledgertable.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxRecords = 32'768;
constexpr std::size_t MaxAnswerBytes = 16'777'216;
/// The part of the process's memory that stored answers may take. They leave as much to what is in transit.
constexpr std::size_t AnswerMemoryDivisor = 16;
constexpr std::size_t MaxAnswerBytesEach = 262'144;
constexpr Duration KeyLifetime = std::chrono::minutes(15);
constexpr Duration ExpireInterval = std::chrono::seconds(5);

/// A stored answer must fit into the body of a message between nodes.
LedgerLimits limits(const NodeSettings &settings)
{
    return LedgerLimits()
        .withMaxRecords(MaxRecords)
        .withMaxAnswerBytes(std::min(MaxAnswerBytes, memoryPart(settings, AnswerMemoryDivisor)))
        .withMaxAnswerBytesEach(std::min(MaxAnswerBytesEach, settings.maxBodyBytes()))
        .withLifetime(KeyLifetime);
}

std::optional<KeyLocation> toLocation(const Incarnation &owner, KeySerial serial)
{
    return serial == 0 ? std::nullopt : std::optional(KeyLocation().withOwner(owner).withSerial(serial));
}

} // namespace

LedgerTable::LedgerTable(Kernel &kernel,
                         const EntryPipeline &pipeline,
                         const CallsInFlight &calls,
                         Incarnation ownIncarnation)
    : m_kernel(kernel)
    , m_pipeline(pipeline)
    , m_calls(calls)
    , m_ownIncarnation(ownIncarnation)
    , m_limits(limits(kernel.settings()))
{
    m_table.locked([&](Table &table) {
        table.m_ledgers.emplace(ownIncarnation,
                                Entry{KeyLedger(ownIncarnation, m_limits, inFlightCheck(), kernel.clock().now()), {}});
    });
    kernel.timers().every(ExpireInterval, [this] {
        expire();
    });
}

std::optional<KeyLocation> LedgerTable::issueLocation()
{
    return m_table.locked([&](Table &table) {
        return toLocation(m_ownIncarnation, table.m_ledgers.at(m_ownIncarnation).m_ledger.issueSerial());
    });
}

std::optional<KeyLocation> LedgerTable::locationOfChild(const std::string &derivedName)
{
    return m_table.locked([&](Table &table) {
        return toLocation(m_ownIncarnation, table.m_ledgers.at(m_ownIncarnation).m_ledger.serialOfChild(derivedName));
    });
}

SubmissionResult LedgerTable::submit(const KeyLocation &location,
                                     const CallRequest &call,
                                     const std::string &derivedName,
                                     const Done &done)
{
    const Fingerprint fingerprint = fingerprintOf(call);
    const int allowance = call.context().retryAllowance();
    const auto decision = m_table.locked([&](Table &table) -> std::optional<SubmissionDecision> {
        const auto found = table.m_ledgers.find(location.owner());
        if (found == table.m_ledgers.end()) {
            return std::nullopt;
        }
        Entry &entry = found->second;
        const auto decided = entry.m_ledger.submit(
            location.serial(), fingerprint, derivedName, call.context().deadline(), m_kernel.clock().now());
        if (decided.verdict() == SubmissionVerdict::Wait) {
            entry.m_waiters[location.serial()].push_back({allowance, done});
        }
        return decided;
    });
    if (!decision) {
        return SubmissionResult::NotOwner;
    }
    switch (decision->verdict()) {
    case SubmissionVerdict::Closed:
        return SubmissionResult::Closed;
    case SubmissionVerdict::Start:
        start(location, call, done);
        break;
    case SubmissionVerdict::Answer:
        done(decision->outcome().withUnusedAllowance(allowance));
        break;
    case SubmissionVerdict::Wait:
        break;
    }
    return SubmissionResult::Accepted;
}

void LedgerTable::start(const KeyLocation &location, const CallRequest &call, const Done &done)
{
    const CallRequest located = call.withContext(call.context().withKey(location.toString()));
    m_pipeline.submitAfter(EntryStage::Key, located, [this, location, done](const CallOutcome &outcome) {
        finish(location, outcome, done);
    });
}

void LedgerTable::finish(const KeyLocation &location, const CallOutcome &outcome, const Done &done)
{
    const auto waiters = m_table.locked([&](Table &table) {
        Entry &entry = table.m_ledgers.at(location.owner());
        entry.m_ledger.finish(location.serial(), outcome, m_kernel.clock().now());
        const auto node = entry.m_waiters.extract(location.serial());
        return node.empty() ? std::vector<Waiter>() : node.mapped();
    });
    done(outcome);
    for (const Waiter &waiter : waiters) {
        waiter.m_done(outcome.withUnusedAllowance(waiter.m_retryAllowance));
    }
}

bool LedgerTable::adopt(const LedgerSnapshot &snapshot)
{
    return m_table.locked([&](Table &table) {
        if (table.m_isClosed) {
            return false;
        }
        if (!table.m_ledgers.contains(snapshot.owner())) {
            KeyLedger ledger(snapshot, m_limits, inFlightCheck(), m_kernel.clock().now());
            table.m_ledgers.emplace(snapshot.owner(), Entry{std::move(ledger), {}});
        }
        return true;
    });
}

std::vector<LedgerSnapshot> LedgerTable::close()
{
    return m_table.locked([&](Table &table) {
        table.m_isClosed = true;
        std::vector<LedgerSnapshot> snapshots;
        for (auto &[owner, entry] : table.m_ledgers) {
            entry.m_ledger.close();
            snapshots.push_back(entry.m_ledger.snapshot(m_kernel.clock().now()));
        }
        return snapshots;
    });
}

bool LedgerTable::has(const Incarnation &owner) const
{
    return m_table.locked([&](const Table &table) {
        return table.m_ledgers.contains(owner);
    });
}

std::size_t LedgerTable::running() const
{
    return m_table.locked([](const Table &table) {
        std::size_t running = 0;
        for (const auto &[owner, entry] : table.m_ledgers) {
            running += entry.m_ledger.running();
        }
        return running;
    });
}

std::size_t LedgerTable::recordCount() const
{
    return m_table.locked([](const Table &table) {
        std::size_t count = 0;
        for (const auto &[owner, entry] : table.m_ledgers) {
            count += entry.m_ledger.size();
        }
        return count;
    });
}

std::size_t LedgerTable::answerBytes() const
{
    return m_table.locked([](const Table &table) {
        std::size_t bytes = 0;
        for (const auto &[owner, entry] : table.m_ledgers) {
            bytes += entry.m_ledger.answerBytes();
        }
        return bytes;
    });
}

IsInFlight LedgerTable::inFlightCheck() const
{
    // The lock of the calls in flight comes after that of the key records in the lock order, so this may be called
    // while the latter is held.
    return [this](const CallId &callId) {
        return m_calls.find(callId).has_value();
    };
}

void LedgerTable::expire()
{
    m_table.locked([&](Table &table) {
        for (auto entry = table.m_ledgers.begin(); entry != table.m_ledgers.end();) {
            entry->second.m_ledger.expire(m_kernel.clock().now());
            const bool isExhausted = entry->first != m_ownIncarnation && entry->second.m_ledger.isExhausted();
            entry = isExhausted ? table.m_ledgers.erase(entry) : std::next(entry);
        }
    });
}

} // namespace fescuepond
