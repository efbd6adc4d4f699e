// Connections to other nodes, one for each address, opened when first needed.

#pragma once

#include "modules/peer/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <string>

namespace fescuepond
{

/// An open connection after the exchange of versions.
struct PeerConnection : public kj::Refcounted {
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream))
        , m_client(*m_stream)
        , m_peer(m_client.bootstrap().castAs<wire::Peer>())
    {
    }

    kj::Own<PeerConnection> addRef()
    {
        return kj::addRef(*this);
    }

    // Declared in the order in which each needs the one before.
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyClient m_client;
    wire::Peer::Client m_peer;
    bool m_failed = false; ///< No new request uses it; those on it may still end.
};

/// All functions only on the event loop's thread.
class PeerConnections
{
public:
    PeerConnections(kj::AsyncIoContext &io, std::string ownName);

    /// The connection to `address`, opened if there is none. Fails when it can't be opened in time.
    kj::Promise<kj::Own<PeerConnection>> get(const std::string &address);
    /// The next get() opens a new connection.
    void discard(const std::string &address, const PeerConnection &connection);
    std::size_t size() const
    {
        return m_open.size();
    }

private:
    struct Entry {
        kj::ForkedPromise<kj::Own<PeerConnection>> m_promise;
        std::uint64_t m_number;
        PeerConnection *m_connection; ///< Null until it is open.
    };

    kj::Promise<kj::Own<PeerConnection>> open(const std::string &address, std::uint64_t number);
    kj::Promise<kj::Own<PeerConnection>> greet(kj::Own<PeerConnection> connection);

    kj::AsyncIoContext &m_io;
    const std::string m_ownName;
    std::map<std::string, Entry> m_open;
    std::uint64_t m_nextNumber = 1;
};

} // namespace fescuepond
