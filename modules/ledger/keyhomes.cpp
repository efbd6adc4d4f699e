// The homes whose records this node keeps.

#include "modules/ledger/keyhomes.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxRecords = 32'768;
constexpr std::size_t MaxAnswerBytes = 16'777'216;
constexpr std::size_t MaxAnswerBytesEach = 262'144;
constexpr Duration KeyLifetime = std::chrono::minutes(15);
constexpr Duration ExpireInterval = std::chrono::seconds(5);

/// A kept answer is no longer than a body that a message between nodes may hold.
KeyLimits limits(const NodeSettings &settings)
{
    return KeyLimits()
        .withMaxRecords(MaxRecords)
        .withMaxAnswerBytes(MaxAnswerBytes)
        .withMaxAnswerBytesEach(std::min(MaxAnswerBytesEach, settings.maxBodyBytes()))
        .withLifetime(KeyLifetime);
}

std::optional<KeyPlace> toPlace(const Incarnation &home, KeySerial serial)
{
    return serial == 0 ? std::nullopt : std::optional(KeyPlace().withHome(home).withSerial(serial));
}

} // namespace

KeyHomes::KeyHomes(Kernel &kernel, const EntryPipeline &pipeline, const CallsInFlight &calls, Incarnation own)
    : m_kernel(kernel)
    , m_pipeline(pipeline)
    , m_calls(calls)
    , m_own(own)
    , m_limits(limits(kernel.settings()))
{
    m_table.locked([&](Table &table) {
        table.m_homes.emplace(own, Home{HomeLedger(own, m_limits, inFlightCheck(), kernel.clock().now()), {}});
    });
    kernel.timers().every(ExpireInterval, [this] {
        expire();
    });
}

std::optional<KeyPlace> KeyHomes::issue()
{
    return m_table.locked([&](Table &table) {
        return toPlace(m_own, table.m_homes.at(m_own).m_ledger.issue());
    });
}

std::optional<KeyPlace> KeyHomes::placeOfChild(const std::string &derivedName)
{
    return m_table.locked([&](Table &table) {
        return toPlace(m_own, table.m_homes.at(m_own).m_ledger.serialOfChild(derivedName));
    });
}

KeySubmission
KeyHomes::submit(const KeyPlace &place, const CallRequest &call, const std::string &derivedName, const Done &done)
{
    const Fingerprint fingerprint = fingerprintOf(call);
    const int allowance = call.context().retryAllowance();
    const auto decision = m_table.locked([&](Table &table) -> std::optional<SubmissionDecision> {
        const auto found = table.m_homes.find(place.home());
        if (found == table.m_homes.end()) {
            return std::nullopt;
        }
        Home &home = found->second;
        const auto decided = home.m_ledger.submit(
            place.serial(), fingerprint, derivedName, call.context().deadline(), m_kernel.clock().now());
        if (decided.verdict() == SubmissionVerdict::Wait) {
            home.m_waiters[place.serial()].push_back({allowance, done});
        }
        return decided;
    });
    if (!decision) {
        return KeySubmission::NotHome;
    }
    switch (decision->verdict()) {
    case SubmissionVerdict::Closed:
        return KeySubmission::Closed;
    case SubmissionVerdict::Start:
        start(place, call, done);
        break;
    case SubmissionVerdict::Answer:
        done(decision->outcome().withUnusedAllowance(allowance));
        break;
    case SubmissionVerdict::Wait:
        break;
    }
    return KeySubmission::Taken;
}

void KeyHomes::start(const KeyPlace &place, const CallRequest &call, const Done &done)
{
    const CallRequest placed = call.withContext(call.context().withKey(place.toString()));
    m_pipeline.submitAfter(EntryPlace::Key, placed, [this, place, done](const CallOutcome &outcome) {
        end(place, outcome, done);
    });
}

void KeyHomes::end(const KeyPlace &place, const CallOutcome &outcome, const Done &done)
{
    const auto waiters = m_table.locked([&](Table &table) {
        Home &home = table.m_homes.at(place.home());
        home.m_ledger.end(place.serial(), outcome, m_kernel.clock().now());
        const auto node = home.m_waiters.extract(place.serial());
        return node.empty() ? std::vector<Waiter>() : node.mapped();
    });
    done(outcome);
    for (const Waiter &waiter : waiters) {
        waiter.m_done(outcome.withUnusedAllowance(waiter.m_retryAllowance));
    }
}

bool KeyHomes::adopt(const HomeSnapshot &snapshot)
{
    return m_table.locked([&](Table &table) {
        if (table.m_isClosed) {
            return false;
        }
        if (!table.m_homes.contains(snapshot.home())) {
            HomeLedger ledger(snapshot, m_limits, inFlightCheck(), m_kernel.clock().now());
            table.m_homes.emplace(snapshot.home(), Home{std::move(ledger), {}});
        }
        return true;
    });
}

std::vector<HomeSnapshot> KeyHomes::close()
{
    return m_table.locked([&](Table &table) {
        table.m_isClosed = true;
        std::vector<HomeSnapshot> snapshots;
        for (auto &[incarnation, home] : table.m_homes) {
            home.m_ledger.close();
            snapshots.push_back(home.m_ledger.snapshot(m_kernel.clock().now()));
        }
        return snapshots;
    });
}

bool KeyHomes::has(const Incarnation &home) const
{
    return m_table.locked([&](const Table &table) {
        return table.m_homes.contains(home);
    });
}

std::size_t KeyHomes::running() const
{
    return m_table.locked([](const Table &table) {
        std::size_t running = 0;
        for (const auto &[incarnation, home] : table.m_homes) {
            running += home.m_ledger.running();
        }
        return running;
    });
}

std::size_t KeyHomes::recordCount() const
{
    return m_table.locked([](const Table &table) {
        std::size_t count = 0;
        for (const auto &[incarnation, home] : table.m_homes) {
            count += home.m_ledger.size();
        }
        return count;
    });
}

std::size_t KeyHomes::answerBytes() const
{
    return m_table.locked([](const Table &table) {
        std::size_t bytes = 0;
        for (const auto &[incarnation, home] : table.m_homes) {
            bytes += home.m_ledger.answerBytes();
        }
        return bytes;
    });
}

IsInFlight KeyHomes::inFlightCheck() const
{
    // The table of calls in flight comes later in the lock order, so this may run under the lock of the records.
    return [this](const CallId &callId) {
        return m_calls.find(callId).has_value();
    };
}

void KeyHomes::expire()
{
    m_table.locked([&](Table &table) {
        for (auto home = table.m_homes.begin(); home != table.m_homes.end();) {
            home->second.m_ledger.expire(m_kernel.clock().now());
            const bool isDropped = home->first != m_own && home->second.m_ledger.isExhausted();
            home = isDropped ? table.m_homes.erase(home) : std::next(home);
        }
    });
}

} // namespace fescuepond
