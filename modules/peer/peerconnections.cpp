// Connections to other nodes, one per address.

#include "modules/peer/peerconnections.h"

#include "core/kernel/eventlog.h"
#include "modules/peer/peerclock.h"
#include "modules/peer/wireencoding.h"
#include "servers/settlement/attempttable.h"

#include <kj/debug.h>

namespace fescuepond
{

namespace
{

/// Bounds the duration of the clock exchange in hello, so that the error of deadlines stays within MaxClockError.
constexpr kj::Duration ConnectTimeout = (MaxClockError - MaxDriftError).count() * kj::NANOSECONDS;

}

PeerConnections::PeerConnections(kj::AsyncIoContext &io, PeerIdentity identity)
    : m_io(io)
    , m_identity(std::move(identity))
{
}

kj::Promise<kj::Own<PeerConnection>> PeerConnections::get(const std::string &address)
{
    const auto found = m_open.find(address);
    if (found != m_open.end()) {
        const Entry &entry = found->second;
        const bool isOpening = entry.m_connection == nullptr && !entry.m_hasFailed;
        const bool isOpen = entry.m_connection != nullptr && entry.m_connection->isUsable()
            && !entry.m_connection->needsNewReading(m_identity.clock.now());
        if (isOpening || isOpen) {
            return found->second.m_promise.addBranch();
        }
        m_open.erase(found);
    }
    const std::uint64_t generation = m_nextGeneration++;
    // Recorded here and not in the branches: each waiting request may already have been dropped.
    auto promise =
        m_io.provider->getTimer()
            .timeoutAfter(ConnectTimeout, open(address, generation))
            .catch_([this, address, generation](kj::Exception &&error) -> kj::Promise<kj::Own<PeerConnection>> {
                if (Entry *entry = find(address, generation)) {
                    entry->m_hasFailed = true;
                }
                return kj::mv(error);
            })
            .fork();
    auto branch = promise.addBranch();
    m_open.emplace(address, Entry{kj::mv(promise), generation, nullptr, false});
    return branch;
}

void PeerConnections::discard(const std::string &address, PeerConnection &connection)
{
    connection.markUnusable();
    const auto entry = m_open.find(address);
    if (entry != m_open.end() && entry->second.m_connection == &connection) {
        m_open.erase(entry);
    }
}

PeerConnections::Entry *PeerConnections::find(const std::string &address, std::uint64_t generation)
{
    const auto entry = m_open.find(address);
    const bool isSame = entry != m_open.end() && entry->second.m_generation == generation;
    return isSame ? &entry->second : nullptr;
}

kj::Promise<kj::Own<PeerConnection>> PeerConnections::open(const std::string &address, std::uint64_t generation)
{
    const TimePoint begin = m_identity.clock.now();
    return m_io.provider->getNetwork()
        .parseAddress(address)
        .then([](kj::Own<kj::NetworkAddress> parsed) {
            auto connected = parsed->connect();
            return connected.attach(kj::mv(parsed));
        })
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
            return exchangeHello(kj::refcounted<PeerConnection>(
                kj::mv(stream), m_io.provider->getTimer(), m_identity.clock, m_identity.maxMessageBytes));
        })
        .then([this, address, generation, begin](kj::Own<PeerConnection> connection) {
            if (Entry *entry = find(address, generation)) {
                entry->m_connection = connection.get();
            }
            using std::chrono::milliseconds;
            Event("peer_connected", EventSeverity::Routine)
                .with("address", address)
                .with("hello_ms", std::chrono::duration_cast<milliseconds>(m_identity.clock.now() - begin).count());
            return connection;
        });
}

kj::Promise<kj::Own<PeerConnection>> PeerConnections::exchangeHello(kj::Own<PeerConnection> connection)
{
    const TimePoint sentAt = m_identity.clock.now();
    auto request = connection->peer().helloRequest();
    request.setVersion(wire::PROTOCOL_VERSION);
    request.setName(m_identity.name);
    request.setClockNs(toWireClock(sentAt));
    request.setFetchesBodies(true);
    return request.send().then([this, sentAt, connection = kj::mv(connection)](auto response) mutable {
        KJ_REQUIRE(response.getVersion() == wire::PROTOCOL_VERSION, "the peer uses a different protocol version");
        connection->setIncarnation(decodeId<Incarnation>(response.getIncarnation()));
        connection->setBodyPlacement(response.getFetchesBodies() ? BodyPlacement::Fetched : BodyPlacement::InMessage);
        connection->addClockReading(response.getClockNs(), sentAt);
        return kj::mv(connection);
    });
}

} // namespace fescuepond
