// Common base of the stand-ins: an HTTP server for requests, one for control commands, and the wait for a signal.

#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace fescuepond::standin
{

constexpr int MaxThreads = 1500;
constexpr int AcceptBacklog = 512;

/// Creates request handlers that share one state.
template<typename Handler, typename State>
class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(State &state)
        : m_state(state)
    {
    }
    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_state);
    }

private:
    State &m_state;
};

inline Poco::Net::HTTPServerParams::Ptr serverParams()
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(MaxThreads);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    return params;
}

/// Prints the two addresses, then serves requests and control commands until SIGTERM or SIGINT ends the process.
template<typename RequestHandler, typename ControlHandler, typename State>
[[noreturn]] void serve(const std::string &address, const std::string &control, State &state)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Poco::ThreadPool pool(2, MaxThreads);
    Poco::Net::ServerSocket requestSocket(Poco::Net::SocketAddress(address), AcceptBacklog);
    Poco::Net::ServerSocket controlSocket{Poco::Net::SocketAddress(control)};
    Poco::Net::HTTPServer requestServer(
        new HandlerFactory<RequestHandler, State>(state), pool, requestSocket, serverParams());
    Poco::Net::HTTPServer controlServer(
        new HandlerFactory<ControlHandler, State>(state), pool, controlSocket, serverParams());
    requestServer.start();
    controlServer.start();
    fmt::print("address={} control={}\n", requestSocket.address().toString(), controlSocket.address().toString());
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

} // namespace fescuepond::standin
