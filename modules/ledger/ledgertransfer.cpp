// Transfer of a leaving node's ledgers to a successor.

#include "modules/ledger/ledgertransfer.h"

#include "core/kernel/eventlog.h"
#include "core/settings/stopplan.h"
#include "modules/peer/wireencoding.h"

#include <kj/exception.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr Duration IdleCheckInterval = std::chrono::milliseconds(50);
/// Reserved at the end of the drain time for the transfer itself, but never more than half of the drain time.
constexpr Duration TransferTime = std::chrono::seconds(3);
constexpr Duration BatchTimeout = std::chrono::milliseconds(700);
constexpr Duration AnnounceTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxRecordsPerBatch = 64;
constexpr int MaxCommits = 3;
constexpr std::size_t MaxStagedLedgers = 64;

std::size_t answerSize(const CallOutcome &outcome)
{
    std::size_t length = outcome.body().size() + outcome.detail().size();
    for (const auto &[name, value] : outcome.headers()) {
        length += name.size() + value.size();
    }
    return length;
}

/// Number of records from `first` on for one batch. No record is added once the answers have `maxBytes` in total: the
/// limit of a message between nodes is a little more than twice that.
std::size_t batchSize(const KeyRecords &records, std::size_t first, std::size_t maxBytes)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (first + count < records.size() && count < MaxRecordsPerBatch && bytes < maxBytes) {
        bytes += answerSize(records[first + count].outcome());
        ++count;
    }
    return count;
}

bool isAccepted(const std::optional<std::string> &bytes)
{
    const auto reply = bytes ? decodeRecordsReply(*bytes) : std::nullopt;
    return reply && reply->accepted();
}

} // namespace

LedgerTransfer::LedgerTransfer(Kernel &kernel,
                               PeerMessages &messages,
                               const Membership &membership,
                               const CallsInFlight &calls,
                               LedgerTable &ledgers,
                               KeyForwarder &forwarder)
    : m_kernel(kernel)
    , m_messages(messages)
    , m_membership(membership)
    , m_calls(calls)
    , m_ledgers(ledgers)
    , m_forwarder(forwarder)
{
}

void LedgerTransfer::begin()
{
    const Duration limit = stopPlan(m_kernel.settings()).drainTimeout;
    m_closeAt = m_kernel.clock().now() + limit - std::min(TransferTime, limit / 2);
    m_kernel.timers().once(m_kernel.clock().now() + IdleCheckInterval, [this] {
        closeWhenIdle();
    });
}

void LedgerTransfer::closeWhenIdle()
{
    const bool isIdle = m_ledgers.running() == 0 && m_calls.size() == 0;
    if (!isIdle && m_kernel.clock().now() < m_closeAt) {
        m_kernel.timers().once(m_kernel.clock().now() + IdleCheckInterval, [this] {
            closeWhenIdle();
        });
        return;
    }
    m_pending = m_ledgers.close();
    Event("key_handover_started").with("homes", m_pending.size()).with("idle", isIdle);
    transferNext();
}

void LedgerTransfer::transferNext()
{
    if (m_pending.empty()) {
        m_isFinished = true;
        return;
    }
    Members successors = successorsOf(m_membership.self(), m_membership.all());
    std::reverse(successors.begin(), successors.end());
    const auto transfer = std::make_shared<Transfer>(Transfer{m_pending.back(), successors, {}, MaxCommits});
    m_pending.pop_back();
    trySuccessor(transfer);
}

void LedgerTransfer::trySuccessor(const TransferPointer &transfer)
{
    const bool isOutOfTime = m_kernel.clock().now() > m_closeAt + TransferTime;
    if (transfer->m_successors.empty() || isOutOfTime) {
        Event("key_handover_failed")
            .with("home", transfer->m_snapshot.owner().toString())
            .with("records", transfer->m_snapshot.records().size());
        transferNext();
        return;
    }
    transfer->m_address = transfer->m_successors.back().peerAddress();
    transfer->m_successors.pop_back();
    sendBatch(transfer, 0);
}

void LedgerTransfer::sendBatch(const TransferPointer &transfer, std::size_t first)
{
    const std::size_t maxBytes = m_kernel.settings().maxBodyBytes();
    const std::size_t count = batchSize(transfer->m_snapshot.records(), first, maxBytes);
    if (count == 0) {
        commit(transfer);
        return;
    }
    m_messages.ask(transfer->m_address,
                   PeerTopic::KeyRecords,
                   encodeRecordBatch(transfer->m_snapshot, first, count),
                   BatchTimeout,
                   [this, transfer, first, count](const std::optional<std::string> &reply) {
                       if (isAccepted(reply)) {
                           sendBatch(transfer, first + count);
                       } else {
                           trySuccessor(transfer);
                       }
                   });
}

void LedgerTransfer::commit(const TransferPointer &transfer)
{
    --transfer->m_commitsLeft;
    m_messages.ask(transfer->m_address,
                   PeerTopic::KeyRecords,
                   encodeTransferCommit(transfer->m_snapshot),
                   BatchTimeout,
                   [this, transfer](const std::optional<std::string> &bytes) {
                       const auto reply = bytes ? decodeRecordsReply(*bytes) : std::nullopt;
                       // Only the first commit's rejection is conclusive: a repeated commit may follow one that took
                       // effect.
                       const bool isRejected = reply && !reply->accepted() && transfer->m_commitsLeft == MaxCommits - 1;
                       if (isRejected) {
                           trySuccessor(transfer);
                       } else if (!reply && transfer->m_commitsLeft > 0) {
                           commit(transfer);
                       } else {
                           announce(transfer->m_snapshot.owner(), transfer->m_address);
                       }
                   });
}

void LedgerTransfer::announce(const Incarnation &owner, const std::string &address)
{
    m_forwarder.recordMovedLedger(owner, address);
    Event("key_records_handed_over").with("home", owner.toString()).with("successor", address);
    const Member self = m_membership.self();
    Members others = m_membership.all();
    std::erase_if(others, [&](const Member &member) {
        return member.name() == self.name();
    });
    if (others.empty()) {
        transferNext();
        return;
    }
    m_pendingAnnouncements = others.size();
    for (const Member &member : others) {
        m_messages.ask(member.peerAddress(),
                       PeerTopic::KeyRecords,
                       encodeLedgerMoved(owner, address),
                       AnnounceTimeout,
                       [this](const std::optional<std::string> &) {
                           handleAnnounceReply();
                       });
    }
}

void LedgerTransfer::handleAnnounceReply()
{
    if (--m_pendingAnnouncements == 0) {
        transferNext();
    }
}

std::string LedgerTransfer::handle(const std::string &request)
{
    KeyRecordsReply reply;
    try {
        FlatMessageReader message(request);
        const auto root = message.root<wire::KeyRecords>();
        const auto owner = decodeId<Incarnation>(root.getHome());
        switch (root.which()) {
        case wire::KeyRecords::PART: {
            const auto records = decodeRecords(root.getPart());
            reply = reply.withAccepted(records && stage(owner, *records));
            break;
        }
        case wire::KeyRecords::COMMIT: {
            const auto commit = root.getCommit();
            const LedgerSnapshot head = LedgerSnapshot()
                                            .withOwner(owner)
                                            .withWatermark(commit.getWatermark())
                                            .withNextSerial(commit.getNextSerial());
            reply = reply.withAccepted(commitStaged(head, commit.getRecordCount()));
            break;
        }
        case wire::KeyRecords::MOVED_TO:
            m_forwarder.recordMovedLedger(owner, root.getMovedTo());
            // Discards batches received here before the owner chose another successor.
            m_staged.locked([&](Staged &staged) {
                staged.erase(owner);
            });
            reply = reply.withAccepted(true);
            break;
        case wire::KeyRecords::LOCATE:
            reply = reply.withAddress(m_ledgers.has(owner) ? m_messages.address()
                                                           : m_forwarder.movedTo(owner).value_or(std::string()));
            break;
        }
    } catch (const kj::Exception &error) {
        Event("key_records_unreadable").with("error", error.getDescription().cStr());
    }
    return encodeRecordsReply(reply);
}

bool LedgerTransfer::stage(const Incarnation &owner, const KeyRecords &records)
{
    return m_staged.locked([&](Staged &staged) {
        if (staged.size() >= MaxStagedLedgers && !staged.contains(owner)) {
            return false;
        }
        KeyRecords &known = staged[owner];
        known.insert(known.end(), records.begin(), records.end());
        return true;
    });
}

bool LedgerTransfer::commitStaged(const LedgerSnapshot &head, std::size_t recordCount)
{
    if (m_ledgers.has(head.owner())) {
        return true;
    }
    const KeyRecords records = m_staged.locked([&](Staged &staged) {
        const auto node = staged.extract(head.owner());
        return node.empty() ? KeyRecords() : node.mapped();
    });
    const LedgerSnapshot snapshot = head.withRecords(records);
    const bool isComplete = records.size() == recordCount && snapshot.isConsistent();
    if (!isComplete || !m_ledgers.adopt(snapshot)) {
        return false;
    }
    Event("key_records_taken_over").with("home", head.owner().toString()).with("records", recordCount);
    return true;
}

} // namespace fescuepond
