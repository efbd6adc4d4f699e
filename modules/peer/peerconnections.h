// Connections to other nodes, one per address, opened on demand.

#pragma once

#include "core/kernel/clock.h"
#include "modules/peer/peerconnection.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>

namespace fescuepond
{

/// Properties of the local node that its outgoing connections use.
struct PeerIdentity {
    std::string name;
    const Clock &clock;
    std::uint64_t maxMessageBytes; ///< Longer messages are rejected.
};

/// May be used only on the event loop's thread.
class PeerConnections
{
public:
    PeerConnections(kj::AsyncIoContext &io, PeerIdentity identity);

    /// Returns the connection to `address` and opens one if none is usable. Fails if that takes longer than the
    /// connection time-out.
    kj::Promise<kj::Own<PeerConnection>> get(const std::string &address);
    /// Makes the next get() open a new connection.
    void discard(const std::string &address, PeerConnection &connection);
    std::size_t size() const
    {
        return m_open.size();
    }

private:
    struct Entry {
        kj::ForkedPromise<kj::Own<PeerConnection>> m_promise;
        std::uint64_t m_generation;
        PeerConnection *m_connection; ///< Null until open; kept alive by m_promise.
        bool m_hasFailed; ///< The connection could not be opened.
    };

    kj::Promise<kj::Own<PeerConnection>> open(const std::string &address, std::uint64_t generation);
    kj::Promise<kj::Own<PeerConnection>> exchangeHello(kj::Own<PeerConnection> connection);
    /// The entry of `address` if it has this generation; null if it was replaced or removed.
    Entry *find(const std::string &address, std::uint64_t generation);

    kj::AsyncIoContext &m_io;
    const PeerIdentity m_identity;
    std::map<std::string, Entry> m_open;
    std::uint64_t m_nextGeneration = 1;
};

} // namespace fescuepond
