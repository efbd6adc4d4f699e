// Connections to other nodes, one for each address, opened when first needed.

#pragma once

#include "core/kernel/clock.h"
#include "modules/peer/peerconnection.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>

namespace fescuepond
{

/// What a node says of itself when it opens a connection.
struct PeerIdentity {
    std::string name;
    const Clock &clock;
    std::uint64_t maxMessageBytes; ///< Longer messages are refused.
};

/// All functions only on the event loop's thread.
class PeerConnections
{
public:
    PeerConnections(kj::AsyncIoContext &io, PeerIdentity identity);

    /// The connection to `address`, opened if there is none that is usable. Fails when it can't be opened in time.
    kj::Promise<kj::Own<PeerConnection>> get(const std::string &address);
    /// The next get() opens a new connection.
    void discard(const std::string &address, PeerConnection &connection);
    std::size_t size() const
    {
        return m_open.size();
    }

private:
    struct Entry {
        kj::ForkedPromise<kj::Own<PeerConnection>> m_promise;
        std::uint64_t m_generation;
        PeerConnection *m_connection; ///< Null until it is open; kept alive by m_promise.
        bool m_hasFailed; ///< It could not be opened.
    };

    kj::Promise<kj::Own<PeerConnection>> open(const std::string &address, std::uint64_t number);
    kj::Promise<kj::Own<PeerConnection>> exchangeHello(kj::Own<PeerConnection> connection);
    /// The entry that was made with this number, unless it has been replaced.
    Entry *find(const std::string &address, std::uint64_t number);

    kj::AsyncIoContext &m_io;
    const PeerIdentity m_identity;
    std::map<std::string, Entry> m_open;
    std::uint64_t m_nextGeneration = 1;
};

} // namespace fescuepond
