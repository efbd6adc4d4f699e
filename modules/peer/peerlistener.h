// Accepts connections from other nodes.
//
// A protocol error affects only the connection on which it occurs: malformed bytes, an oversized message or a missing
// hello close that connection and nothing else.

#pragma once

#include "modules/peer/peerserver.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>

namespace fescuepond
{

/// May be used only on the event loop's thread.
class PeerListener final : private kj::TaskSet::ErrorHandler
{
public:
    PeerListener(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer &timer, const PeerServices &services);

private:
    kj::Promise<void> acceptNext();
    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&error) override;

    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Timer &m_timer;
    const PeerServices &m_services;
    const std::uint64_t m_maxMessageBytes;
    std::size_t m_connectionCount = 0;
    kj::TaskSet m_connections;
    kj::Promise<void> m_accepting;
};

} // namespace fescuepond
