// The hand-over of key records to a successor, both sides of it.

#include "modules/ledger/keyhandover.h"

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
/// Kept of the drain time for the hand-over itself, but never more than half of it.
constexpr Duration HandoverTime = std::chrono::seconds(3);
constexpr Duration PartTimeout = std::chrono::milliseconds(700);
constexpr Duration AnnounceTimeout = std::chrono::milliseconds(500);
constexpr std::size_t RecordsPerPart = 64;
constexpr int MaxCommits = 3;
constexpr std::size_t MaxStagedHomes = 64;

std::size_t answerLength(const CallOutcome &outcome)
{
    std::size_t length = outcome.body().size() + outcome.detail().size();
    for (const auto &[name, value] : outcome.headers()) {
        length += name.size() + value.size();
    }
    return length;
}

/// How many records from `first` on go into one part. It ends once its answers have `mostBytes` together: a message
/// between nodes may be a little more than twice as long.
std::size_t partLength(const KeyRecords &records, std::size_t first, std::size_t mostBytes)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (first + count < records.size() && count < RecordsPerPart && bytes < mostBytes) {
        bytes += answerLength(records[first + count].outcome());
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

KeyHandover::KeyHandover(Kernel &kernel,
                         PeerMessages &messages,
                         const Membership &membership,
                         const CallsInFlight &calls,
                         KeyHomes &homes,
                         KeyForwarder &forwarder)
    : m_kernel(kernel)
    , m_messages(messages)
    , m_membership(membership)
    , m_calls(calls)
    , m_homes(homes)
    , m_forwarder(forwarder)
{
}

void KeyHandover::begin()
{
    const Duration limit = stopPlan(m_kernel.settings()).drainTimeout;
    m_closeAt = m_kernel.clock().now() + limit - std::min(HandoverTime, limit / 2);
    m_kernel.timers().once(m_kernel.clock().now() + IdleCheckInterval, [this] {
        closeWhenIdle();
    });
}

void KeyHandover::closeWhenIdle()
{
    const bool isIdle = m_homes.running() == 0 && m_calls.size() == 0;
    if (!isIdle && m_kernel.clock().now() < m_closeAt) {
        m_kernel.timers().once(m_kernel.clock().now() + IdleCheckInterval, [this] {
            closeWhenIdle();
        });
        return;
    }
    m_pending = m_homes.close();
    Event("key_handover_started").with("homes", m_pending.size()).with("idle", isIdle);
    nextHome();
}

void KeyHandover::nextHome()
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

void KeyHandover::trySuccessor(const TransferPointer &transfer)
{
    const bool isOutOfTime = m_kernel.clock().now() > m_closeAt + HandoverTime;
    if (transfer->m_successors.empty() || isOutOfTime) {
        Event("key_handover_failed")
            .with("home", transfer->m_snapshot.home().toString())
            .with("records", transfer->m_snapshot.records().size());
        nextHome();
        return;
    }
    transfer->m_address = transfer->m_successors.back().peerAddress();
    transfer->m_successors.pop_back();
    sendPart(transfer, 0);
}

void KeyHandover::sendPart(const TransferPointer &transfer, std::size_t first)
{
    const std::size_t mostBytes = m_kernel.settings().maxBodyBytes();
    const std::size_t count = partLength(transfer->m_snapshot.records(), first, mostBytes);
    if (count == 0) {
        commit(transfer);
        return;
    }
    m_messages.ask(transfer->m_address,
                   PeerTopic::KeyRecords,
                   encodeRecordsPart(transfer->m_snapshot, first, count),
                   PartTimeout,
                   [this, transfer, first, count](const std::optional<std::string> &reply) {
                       if (isAccepted(reply)) {
                           sendPart(transfer, first + count);
                       } else {
                           trySuccessor(transfer);
                       }
                   });
}

void KeyHandover::commit(const TransferPointer &transfer)
{
    --transfer->m_commitsLeft;
    m_messages.ask(transfer->m_address,
                   PeerTopic::KeyRecords,
                   encodeRecordsCommit(transfer->m_snapshot),
                   PartTimeout,
                   [this, transfer](const std::optional<std::string> &bytes) {
                       const auto reply = bytes ? decodeRecordsReply(*bytes) : std::nullopt;
                       const bool isRefused = reply && !reply->accepted() && transfer->m_commitsLeft == MaxCommits - 1;
                       if (isRefused) {
                           trySuccessor(transfer);
                       } else if (!reply && transfer->m_commitsLeft > 0) {
                           commit(transfer);
                       } else {
                           announce(transfer->m_snapshot.home(), transfer->m_address);
                       }
                   });
}

void KeyHandover::announce(const Incarnation &home, const std::string &address)
{
    m_forwarder.homeMoved(home, address);
    Event("key_records_handed_over").with("home", home.toString()).with("successor", address);
    const Member self = m_membership.self();
    Members others = m_membership.all();
    std::erase_if(others, [&](const Member &member) {
        return member.name() == self.name();
    });
    if (others.empty()) {
        nextHome();
        return;
    }
    m_unanswered = others.size();
    for (const Member &member : others) {
        m_messages.ask(member.peerAddress(),
                       PeerTopic::KeyRecords,
                       encodeMoved(home, address),
                       AnnounceTimeout,
                       [this](const std::optional<std::string> &) {
                           announced();
                       });
    }
}

void KeyHandover::announced()
{
    if (--m_unanswered == 0) {
        nextHome();
    }
}

std::string KeyHandover::handle(const std::string &request)
{
    KeyRecordsReply reply;
    try {
        FlatMessageReader message(request);
        const auto root = message.root<wire::KeyRecords>();
        const auto home = decodeId<Incarnation>(root.getHome());
        switch (root.which()) {
        case wire::KeyRecords::PART: {
            const auto records = decodeRecords(root.getPart());
            reply = reply.withAccepted(records && stage(home, *records));
            break;
        }
        case wire::KeyRecords::COMMIT: {
            const auto commit = root.getCommit();
            const HomeSnapshot head = HomeSnapshot()
                                          .withHome(home)
                                          .withWatermark(commit.getWatermark())
                                          .withNextSerial(commit.getNextSerial());
            reply = reply.withAccepted(take(head, commit.getRecordCount()));
            break;
        }
        case wire::KeyRecords::MOVED_TO:
            m_forwarder.homeMoved(home, root.getMovedTo());
            // Parts that came here before the home chose another successor.
            m_staged.locked([&](Staged &staged) {
                staged.erase(home);
            });
            reply = reply.withAccepted(true);
            break;
        case wire::KeyRecords::LOCATE:
            reply = reply.withAddress(m_homes.has(home) ? m_messages.address()
                                                        : m_forwarder.movedTo(home).value_or(std::string()));
            break;
        }
    } catch (const kj::Exception &error) {
        Event("key_records_unreadable").with("error", error.getDescription().cStr());
    }
    return encodeRecordsReply(reply);
}

bool KeyHandover::stage(const Incarnation &home, const KeyRecords &records)
{
    return m_staged.locked([&](Staged &staged) {
        if (staged.size() >= MaxStagedHomes && !staged.contains(home)) {
            return false;
        }
        KeyRecords &known = staged[home];
        known.insert(known.end(), records.begin(), records.end());
        return true;
    });
}

bool KeyHandover::take(const HomeSnapshot &head, std::size_t recordCount)
{
    if (m_homes.has(head.home())) {
        return true;
    }
    const KeyRecords records = m_staged.locked([&](Staged &staged) {
        const auto node = staged.extract(head.home());
        return node.empty() ? KeyRecords() : node.mapped();
    });
    const HomeSnapshot snapshot = head.withRecords(records);
    const bool isWhole = records.size() == recordCount && snapshot.isConsistent();
    if (!isWhole || !m_homes.adopt(snapshot)) {
        return false;
    }
    Event("key_records_taken_over").with("home", head.home().toString()).with("records", recordCount);
    return true;
}

} // namespace fescuepond
