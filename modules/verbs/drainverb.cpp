// `fescuepond drain`: starts a planned stop of nodes and optionally waits until they have stopped.

#include "core/verbs/verb.h"
#include "modules/verbs/operatorclient.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <thread>

DECLARE_int32(timeout_ms);
DEFINE_int32(wait_ms, 0, "Maximum wait until the nodes have stopped, in milliseconds; 0: don't wait.");

namespace fescuepond
{

namespace
{

constexpr auto ProbeInterval = std::chrono::milliseconds(100);

/// Whether a process accepts connections at `address`.
bool isListening(const std::string &address)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address),
                       Poco::Timespan(std::chrono::microseconds(std::chrono::milliseconds(FLAGS_timeout_ms)).count()));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

/// Waits until the node at `address` has closed its operator listener; false if it still listens at time `deadline`.
bool waitUntilStopped(const std::string &address, std::chrono::steady_clock::time_point deadline)
{
    while (isListening(address)) {
        if (std::chrono::steady_clock::now() >= deadline) {
            fmt::print(stderr, "{}: still runs after {} ms\n", address, FLAGS_wait_ms);
            return false;
        }
        std::this_thread::sleep_for(ProbeInterval);
    }
    fmt::print("{}: has ended\n", address);
    return true;
}

ExitCode run(const Arguments &addresses)
{
    if (addresses.empty()) {
        fmt::print(stderr, "usage: fescuepond drain [--wait_ms=MS] OPERATOR_ADDRESS...\n");
        return ExitCode::Usage;
    }
    ExitCode code = ExitCode::Done;
    Arguments draining;
    for (const std::string &address : addresses) {
        if (requestOperatorListener(address, "POST", "/drain")) {
            fmt::print("{}: draining\n", address);
            draining.push_back(address);
        } else {
            code = ExitCode::Unreachable;
        }
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_wait_ms);
    for (const std::string &address : draining) {
        const bool hasTimedOut = FLAGS_wait_ms > 0 && !waitUntilStopped(address, deadline);
        if (hasTimedOut && code == ExitCode::Done) {
            code = ExitCode::Findings;
        }
    }
    return code;
}

const VerbRegistration registration(
    {"drain", "[--wait_ms=MS] OPERATOR_ADDRESS...", "Starts a planned stop of nodes.", {"wait_ms", "timeout_ms"}, run});

} // namespace

} // namespace fescuepond
