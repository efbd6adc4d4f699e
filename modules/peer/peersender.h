// The caller's side of the peer protocol: sends calls and requests to other nodes.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/eventloop.h"
#include "modules/peer/peerconnections.h"

#include <memory>

namespace fescuepond
{

class Kernel;

class PeerSender
{
public:
    PeerSender(Kernel &kernel, EventLoop &loop);

    /// Called on the loop's thread when it starts and before it ends.
    void open();
    void close();

    void send(const Member &target, const CallRequest &call, Done done);
    void ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply);

private:
    void sendOnLoop(const std::string &address, const CallRequest &call, const Done &done);
    kj::Promise<CallOutcome> request(kj::Own<PeerConnection> connection, const CallRequest &call);
    void finish(const Done &done, const CallOutcome &outcome);

    Kernel &m_kernel;
    EventLoop &m_loop;
    // Made and destroyed on the loop's thread.
    std::unique_ptr<PeerConnections> m_connections;
};

} // namespace fescuepond
