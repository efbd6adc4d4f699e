// HTTP client that the verbs use to call the operator listener of a node.

#include "modules/verbs/operatorclient.h"

#include "modules/http/httpclientconnection.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>

DEFINE_int32(timeout_ms, 3000, "Maximum wait for the response of one node, in milliseconds.");

namespace fescuepond
{

namespace
{

constexpr int MinErrorStatus = 400;
constexpr std::size_t MaxResponseBytes = 64UL * 1024 * 1024;

} // namespace

std::optional<std::string>
requestOperatorListener(const std::string &address, const std::string &method, const std::string &path)
{
    try {
        const auto timeout =
            Poco::Timespan(std::chrono::microseconds(std::chrono::milliseconds(FLAGS_timeout_ms)).count());
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), timeout);
        socket.setReceiveTimeout(timeout);
        socket.setSendTimeout(timeout);
        HttpClientConnection connection(socket);
        connection.send(RequestHeader().withMethod(method).withTarget(path).withFields({{"Host", address}}), {});
        const HttpResponse response = connection.receive(method, MaxResponseBytes);
        if (response.status() < MinErrorStatus) {
            return response.body().bytes();
        }
        fmt::print(stderr, "{}: {} {} returned status {}\n", address, method, path, response.status());
    } catch (const Poco::Exception &error) {
        fmt::print(stderr, "{}: no answer: {}\n", address, error.displayText());
    }
    return std::nullopt;
}

} // namespace fescuepond
