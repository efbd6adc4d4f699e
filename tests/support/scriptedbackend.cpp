// A backend server inside the test process whose responses have a chosen size and that may read requests slowly.

#include "tests/support/scriptedbackend.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

namespace fescuepond::test
{

namespace
{

constexpr long PollMicroseconds = 10'000;
constexpr int AcceptBacklog = 256;
constexpr std::size_t PieceBytes = 65'536;
constexpr std::string_view SectionEnd = "\r\n\r\n";

/// The Content-Length of a header section; 0 if it has none.
std::size_t contentLength(std::string_view section)
{
    constexpr std::string_view Name = "\r\nContent-Length: ";
    const auto at = section.find(Name);
    return at == std::string_view::npos ? 0 : std::stoul(std::string(section.substr(at + Name.size())));
}

void sendAll(Poco::Net::StreamSocket &socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        bytes.remove_prefix(static_cast<std::size_t>(socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()))));
    }
}

} // namespace

ScriptedBackend::ScriptedBackend(std::size_t listBytes)
    : m_listBytes(listBytes)
    , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0), AcceptBacklog)
    , m_thread([this] {
        acceptAll();
    })
{
}

ScriptedBackend::~ScriptedBackend()
{
    m_isStopped = true;
    m_thread.join();
    for (std::thread &thread : m_connections) {
        thread.join();
    }
}

std::string ScriptedBackend::address() const
{
    return m_listener.address().toString();
}

bool ScriptedBackend::hasRun(const std::string &path) const
{
    const std::lock_guard guard(m_mutex);
    return m_paths.contains(path);
}

void ScriptedBackend::setStatusLine(const std::string &line)
{
    const std::lock_guard guard(m_mutex);
    m_statusLine = line;
}

void ScriptedBackend::acceptAll()
{
    while (!m_isStopped) {
        if (m_listener.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            m_connections.emplace_back([this, socket = m_listener.acceptConnection()]() mutable {
                serve(socket);
            });
        }
    }
}

void ScriptedBackend::serve(Poco::Net::StreamSocket &socket)
{
    std::string held;
    try {
        while (true) {
            const std::string path = readRequest(socket, held);
            if (path.empty()) {
                return;
            }
            std::string statusLine;
            {
                const std::lock_guard guard(m_mutex);
                m_paths.insert(path);
                statusLine = m_statusLine;
            }
            const std::string body = path.starts_with("/list/") ? std::string(m_listBytes, 'a') : "ran " + path;
            statusLine.append("\r\nContent-Length: ").append(std::to_string(body.size())).append(SectionEnd);
            sendAll(socket, statusLine + body);
        }
    } catch (const Poco::Exception &) {
        // The node closed the connection.
    }
}

std::string ScriptedBackend::readRequest(Poco::Net::StreamSocket &socket, std::string &held) const
{
    std::size_t end = std::string::npos;
    while ((end = held.find(SectionEnd)) == std::string::npos) {
        if (!receiveSome(socket, held)) {
            return {};
        }
    }
    const std::string section = held.substr(0, end);
    held.erase(0, end + SectionEnd.size());
    std::size_t missing = contentLength(section);
    while (true) {
        const std::size_t taken = std::min(missing, held.size());
        held.erase(0, taken);
        missing -= taken;
        if (missing == 0) {
            break;
        }
        if (!receiveSome(socket, held)) {
            return {};
        }
    }
    const std::size_t begin = section.find(' ') + 1;
    return section.substr(begin, section.find(' ', begin) - begin);
}

bool ScriptedBackend::receiveSome(Poco::Net::StreamSocket &socket, std::string &held) const
{
    while (!socket.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
        if (m_isStopped) {
            return false;
        }
    }
    std::array<char, PieceBytes> piece;
    const int count = m_isStopped ? 0 : socket.receiveBytes(piece.data(), piece.size());
    held.append(piece.data(), static_cast<std::size_t>(std::max(count, 0)));
    std::this_thread::sleep_for(m_readPause.load());
    return count > 0;
}

} // namespace fescuepond::test
