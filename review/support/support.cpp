// Support for the scripts of the review.

#include "review/support/support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace review
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr int Backlog = 512;
constexpr long long ReportIntervalMs = 1500;

SteadyClock::time_point startTime()
{
    static const auto time = SteadyClock::now();
    return time;
}

long long wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

sockaddr_in addressOf(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, Loopback, &address.sin_addr);
    return address;
}

/// A listening socket, or -1 if the port isn't free.
int tryListen(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    const sockaddr_in address = addressOf(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && ::listen(descriptor, Backlog) == 0) {
        return descriptor;
    }
    ::close(descriptor);
    return -1;
}

int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto begin = text.find_first_not_of(" \t");
    const auto end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

/// The value after `key` in a query string; empty if it is missing.
std::string queryValue(const std::string &query, const std::string &key)
{
    std::istringstream parts(query);
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.starts_with(key + "=")) {
            return part.substr(key.size() + 1);
        }
    }
    return {};
}

unsigned long long numberIn(const std::string &text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

/// The end of the JSON value that begins at `begin`.
std::size_t endOfValue(const std::string &json, std::size_t begin)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = begin; i < json.size(); ++i) {
        const char c = json[i];
        if (isInString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                isInString = false;
                if (depth == 0) {
                    return i + 1;
                }
            }
            continue;
        }
        isInString = c == '"';
        depth += c == '{' || c == '[' ? 1 : 0;
        if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
            return i;
        }
        depth -= c == '}' || c == ']' ? 1 : 0;
        if (depth == 0 && (c == '}' || c == ']')) {
            return i + 1;
        }
    }
    return json.size();
}

/// The text of a member of a JSON object, wherever it stands at the top level or in `metadata`.
std::string memberOf(const std::string &json, const std::string &name)
{
    const std::string key = "\"" + name + "\"";
    const auto at = json.find(key);
    if (at == std::string::npos) {
        return {};
    }
    auto begin = json.find(':', at + key.size()) + 1;
    while (begin < json.size() && json[begin] == ' ') {
        ++begin;
    }
    return json.substr(begin, endOfValue(json, begin) - begin);
}

std::string unquoted(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

} // namespace

long long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - startTime()).count();
}

void sleepMs(long long duration)
{
    std::this_thread::sleep_for(milliseconds(duration));
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

int freePort()
{
    // Below the range from which the operating system takes the ports of clients.
    constexpr int First = 12'000;
    constexpr int Last = 30'000;
    static std::mt19937 random(std::random_device{}());
    static std::set<int> taken;
    while (true) {
        const int port = std::uniform_int_distribution<int>(First, Last)(random);
        const int descriptor = tryListen(port);
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        if (descriptor >= 0 && taken.insert(port).second) {
            return port;
        }
    }
}

std::string loopback(int port)
{
    return std::string(Loopback) + ":" + std::to_string(port);
}

Record::Record(const std::string &folder)
    : m_path(folder + "/record.txt")
{
    const std::ofstream emptied(m_path, std::ios::trunc);
    startTime();
}

void Record::add(const std::string &line)
{
    const std::lock_guard guard(m_mutex);
    std::ofstream(m_path, std::ios::app) << nowMs() << " ms " << line << '\n';
}

std::string HttpMessage::header(const std::string &name) const
{
    const auto found = headers.find(toLower(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpMessage::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string HttpMessage::target() const
{
    const auto begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int HttpMessage::status() const
{
    return static_cast<int>(numberIn(startLine.substr(startLine.find(' ') + 1)));
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
    , m_number([] {
        static std::atomic<unsigned long long> last = 0;
        return ++last;
    }())
{
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

ConnectionPtr Connection::open(int port, const SocketOptions &options)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(options.receiveBuffer));
    }
    if (options.segment > 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof(options.segment));
    }
    const timeval limit{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = addressOf(port);
    auto connection = std::make_shared<Connection>(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return nullptr;
    }
    const int isOn = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    const timeval none{0, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
    return connection;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

int Connection::receive(char *bytes, int limit, milliseconds timeout)
{
    pollfd entry{m_descriptor, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0) {
        return -1;
    }
    const auto count = ::recv(m_descriptor, bytes, static_cast<std::size_t>(limit), 0);
    return count <= 0 ? 0 : static_cast<int>(count);
}

bool Connection::fill(SteadyClock::time_point until)
{
    std::array<char, 65536> piece;
    const auto left = std::chrono::duration_cast<milliseconds>(until - SteadyClock::now());
    const int count = receive(piece.data(), static_cast<int>(piece.size()), std::max(left, milliseconds(0)));
    m_wasClosed = count == 0;
    if (count <= 0) {
        return false;
    }
    m_buffer.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<HttpMessage> Connection::receiveMessage(milliseconds timeout)
{
    const auto until = SteadyClock::now() + timeout;
    std::size_t headEnd = m_buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
        headEnd = m_buffer.find("\r\n\r\n");
    }
    HttpMessage message;
    std::istringstream lines(m_buffer.substr(0, headEnd));
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        message.headers[toLower(line.substr(0, colon))] =
            colon == std::string::npos ? std::string() : trimmed(line.substr(colon + 1));
    }
    const std::size_t bodyBegin = headEnd + 4;
    const std::size_t length = numberIn(message.header("content-length"));
    while (m_buffer.size() < bodyBegin + length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message.body = m_buffer.substr(bodyBegin, length);
    m_buffer.erase(0, bodyBegin + length);
    return message;
}

void Connection::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

HttpServer::HttpServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(tryListen(freePort()))
    , m_port(portOf(m_listener))
    , m_acceptor([this] {
        accept();
    })
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (m_isStopped.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard guard(m_mutex);
        for (const ConnectionPtr &connection : m_connections) {
            connection->shutDown();
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void HttpServer::accept()
{
    while (!m_isStopped) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int isOn = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::lock_guard guard(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            serve(connection);
        });
    }
}

void HttpServer::serve(const ConnectionPtr &connection)
{
    constexpr milliseconds IdleLimit(60'000);
    while (!m_isStopped) {
        const auto request = connection->receiveMessage(IdleLimit);
        if (!request) {
            break;
        }
        const auto response = m_handler(*request, *connection);
        if (m_isStopped || !response || !connection->send(*response)) {
            break;
        }
    }
    connection->shutDown();
    const std::lock_guard guard(m_mutex);
    m_connections.remove(connection);
}

std::string httpResponse(int status, const std::string &body, const std::map<std::string, std::string> &headers)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << " x\r\n";
    for (const auto &[name, value] : headers) {
        text << name << ": " << value << "\r\n";
    }
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return text.str();
}

Store::Store()
    : m_server(std::make_unique<HttpServer>([this](const HttpMessage &request, Connection &) {
        return std::optional(handle(request));
    }))
{
}

void Store::stop()
{
    m_isStopped = true;
    m_server->stop();
}

void Store::writeDesiredState(const std::string &spec)
{
    const std::lock_guard guard(m_mutex);
    Object &object = m_kinds["config"]["main"];
    object = {++m_revision, spec};
    m_changes.push_back({m_revision, "config", "main", object, false});
}

std::string objectText(const std::string &name, unsigned long long revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
        + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
}

std::string Store::handle(const HttpMessage &request)
{
    const std::string target = request.target();
    const auto question = target.find('?');
    const std::string path = target.substr(0, question);
    const std::string query = question == std::string::npos ? std::string() : target.substr(question + 1);
    constexpr std::string_view Prefix = "/objects/";
    if (!path.starts_with(Prefix)) {
        return httpResponse(404, "{}");
    }
    const std::string rest = path.substr(Prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method() == "GET") {
        return read(kind, name, query);
    }
    return request.method() == "DELETE" ? remove(kind, name, query) : write(request, kind, name);
}

std::string Store::read(const std::string &kind, const std::string &name, const std::string &query)
{
    const std::string from = queryValue(query, "watch");
    if (name.empty() && !from.empty()) {
        return changes(kind, numberIn(from), static_cast<long long>(numberIn(queryValue(query, "wait_ms"))));
    }
    const std::lock_guard guard(m_mutex);
    if (name.empty()) {
        return list(kind);
    }
    const auto found = m_kinds[kind].find(name);
    return found == m_kinds[kind].end()
        ? httpResponse(404, "{}")
        : httpResponse(200, objectText(name, found->second.revision, found->second.spec));
}

std::string Store::list(const std::string &kind)
{
    std::string items;
    for (const auto &[name, object] : m_kinds[kind]) {
        items += (items.empty() ? "" : ",") + objectText(name, object.revision, object.spec);
    }
    return httpResponse(200,
                        R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(m_revision) + "}");
}

std::string Store::changes(const std::string &kind, unsigned long long from, long long waitMs)
{
    constexpr long long StepMs = 5;
    const long long until = nowMs() + waitMs;
    while (true) {
        std::string events;
        unsigned long long at = 0;
        {
            const std::lock_guard guard(m_mutex);
            at = m_revision;
            for (const Change &change : m_changes) {
                if (change.kind != kind || change.revision <= from) {
                    continue;
                }
                events += (events.empty() ? R"({"object":)" : R"(,{"object":)")
                    + objectText(change.name, change.object.revision, change.object.spec) + R"(,"deleted":)"
                    + (change.isDeleted ? "true}" : "false}");
            }
        }
        if (!events.empty() || nowMs() >= until || m_isStopped) {
            return httpResponse(200, R"({"events":[)" + events + R"(],"at":)" + std::to_string(at) + "}");
        }
        sleepMs(StepMs);
    }
}

std::string Store::write(const HttpMessage &request, const std::string &kind, std::string name)
{
    const bool isNew = request.method() == "POST";
    if (isNew) {
        name = unquoted(memberOf(request.body, "name"));
    }
    const unsigned long long expected = isNew ? 0 : numberIn(memberOf(request.body, "revision"));
    const std::string spec = memberOf(request.body, "spec");
    const std::lock_guard guard(m_mutex);
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    if (!isNew && found == objects.end()) {
        return httpResponse(404, "{}");
    }
    const bool isConflict = found != objects.end() && (isNew || (expected != 0 && expected != found->second.revision));
    if (isConflict) {
        return httpResponse(409, objectText(name, found->second.revision, found->second.spec));
    }
    Object &object = objects[name];
    object = {++m_revision, spec};
    m_changes.push_back({m_revision, kind, name, object, false});
    return httpResponse(200, objectText(name, object.revision, object.spec));
}

std::string Store::remove(const std::string &kind, const std::string &name, const std::string &query)
{
    const unsigned long long expected = numberIn(queryValue(query, "revision"));
    const std::lock_guard guard(m_mutex);
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return httpResponse(404, "{}");
    }
    if (expected != 0 && expected != found->second.revision) {
        return httpResponse(409, objectText(name, found->second.revision, found->second.spec));
    }
    const Object object{++m_revision, found->second.spec};
    m_changes.push_back({m_revision, kind, name, object, true});
    objects.erase(found);
    return httpResponse(200, objectText(name, object.revision, object.spec));
}

Target::Target(Record &record, std::string service, std::string instance)
    : m_record(record)
    , m_service(std::move(service))
    , m_instance(std::move(instance))
    , m_bornMs(wallClockMs())
    , m_server(std::make_unique<HttpServer>([this](const HttpMessage &request, Connection &connection) {
        return run(request, connection);
    }))
{
}

Target::~Target()
{
    stop();
}

std::optional<std::string> Target::run(const HttpMessage &request, Connection &)
{
    if (request.target() == "/health") {
        return httpResponse(200, "", {{"Fescuepond-Instance-Id", m_instance}});
    }
    const std::string expected = request.header("Fescuepond-Expect-Instance");
    if (!expected.empty() && expected != m_instance) {
        m_record.add(m_instance + ": 421 to " + request.header("Fescuepond-Attempt-Id"));
        return httpResponse(421, "", {{"Fescuepond-Instance-Id", m_instance}, {"Fescuepond-Not-Executed", "1"}});
    }
    const Arrival arrival{
        nowMs(), request.header("Fescuepond-Attempt-Id"), request.method(), request.target(), request.body};
    m_record.add(m_instance + ": runs " + arrival.attempt + " " + request.startLine + ", body of "
                 + std::to_string(request.body.size()) + " bytes");
    {
        const std::lock_guard guard(m_mutex);
        m_arrivals.push_back(arrival);
    }
    sleepMs(m_workMs);
    return httpResponse(200,
                        std::string(m_answerBytes, 'a'),
                        {{"Fescuepond-Attempt-Id", arrival.attempt},
                         {"Fescuepond-Response-Signature", "sig." + arrival.attempt},
                         {"Fescuepond-Instance-Id", m_instance}});
}

std::string Target::reportBytes(const std::string &state, long long sequence) const
{
    const std::string body = R"({"service":")" + m_service + R"(","address":")" + loopback(port())
        + R"(","zone":"zone-a","version":"v1","slots":64,"state":")" + state + R"(","cold_left_s":0,"sequence":)"
        + std::to_string(sequence) + R"(,"born":)" + std::to_string(m_bornMs) + "}";
    return "PUT /instances/" + m_instance + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Target::report(int controlPort, const std::string &state, long long sequence)
{
    constexpr milliseconds AckLimit(1000);
    const auto connection = Connection::open(controlPort);
    m_sequence = std::max<long long>(m_sequence, sequence);
    if (!connection || !connection->send(reportBytes(state, sequence))) {
        m_record.add(m_instance + ": report " + state + " " + std::to_string(sequence) + " could not be sent");
        return false;
    }
    const auto answer = connection->receiveMessage(AckLimit);
    m_record.add(m_instance + ": report " + state + ", sequence " + std::to_string(sequence) + " -> "
                 + (answer ? std::to_string(answer->status()) : "no answer"));
    return answer && answer->status() == 200;
}

bool Target::deregister(int controlPort)
{
    constexpr milliseconds AckLimit(1000);
    const auto connection = Connection::open(controlPort);
    if (!connection || !connection->send("DELETE /instances/" + m_instance + " HTTP/1.1\r\nHost: control\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->receiveMessage(AckLimit);
    m_record.add(m_instance + ": DELETE -> " + (answer ? std::to_string(answer->status()) : "no answer"));
    return answer && answer->status() == 200;
}

void Target::startReports(int controlPort)
{
    m_isReporting = true;
    m_reporter = std::thread([this, controlPort] {
        long long next = 0;
        while (m_isReporting) {
            if (nowMs() >= next) {
                report(controlPort, "ready", m_sequence + 1);
                next = nowMs() + ReportIntervalMs;
            }
            sleepMs(10);
        }
    });
}

void Target::stopReports()
{
    m_isReporting = false;
    if (m_reporter.joinable()) {
        m_reporter.join();
    }
}

std::vector<Arrival> Target::arrivals()
{
    const std::lock_guard guard(m_mutex);
    return m_arrivals;
}

void Target::stop()
{
    stopReports();
    m_server->stop();
}

Node::Node(const std::string &folder, std::string name, std::string service, int targetPort, int storePort)
    : m_folder(folder)
    , m_name(std::move(name))
    , m_service(std::move(service))
{
    std::ofstream(m_folder + "/" + m_name + ".conf")
        << "environment: fleet\nname: " << m_name << "\nservice: " << m_service
        << "\nzone: zone-a\nregion: region-a\nentry_address: " << loopback(m_ports.outbound)
        << "\npeer_address: " << loopback(m_ports.inbound) << "\nreadiness_address: " << loopback(m_ports.ready)
        << "\nregistration_address: " << loopback(m_ports.control)
        << "\noperator_address: " << loopback(m_ports.operators) << "\nbackend_address: " << loopback(targetPort)
        << "\nbackend_reports: true\nplatform_address: " << loopback(storePort)
        << "\nmax_body_bytes: 8388608\nrequest_read_timeout_ms: 5000\nleave_grace_ms: 2200\n"
           "drain_timeout_ms: 30000\nstop_limit_s: 6\nbackend_drain_s: 2\nbackend_report_interval_s: 1.5\n"
           "retry_ratio: 0.2\nretry_slack: 48\nretry_window_s: 10\n";
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    const std::string log = m_folder + "/" + m_name + ".log";
    const char *path = std::getenv("PATH");
    std::string program = "target/fescuepond";
    std::string verb = "node";
    std::string configuration = "FESCUEPOND_CONFIG=" + m_folder + "/" + m_name + ".conf";
    std::string searchPath = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    const std::array<char *, 3> arguments = {program.data(), verb.data(), nullptr};
    const std::array<char *, 3> environment = {configuration.data(), searchPath.data(), nullptr};
    constexpr mode_t LogMode = 0644;
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
    m_process = fork();
    if (m_process == 0) {
        // Only calls that are safe between fork and exec.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(arguments[0], arguments.data(), environment.data());
        _exit(ExitCouldNotRun);
    }
    ::close(output);
}

void Node::signal(int number) const
{
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

void Node::kill()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

bool Node::isRunning()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process > 0;
}

std::size_t Node::memory() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return file ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

bool Node::isReady() const
{
    constexpr milliseconds ReadyLimit(1000);
    const auto connection = Connection::open(m_ports.ready);
    if (!connection || !connection->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->receiveMessage(ReadyLimit);
    return answer && answer->status() == 200;
}

bool Node::waitUntilReady(milliseconds limit) const
{
    const long long until = nowMs() + limit.count();
    while (nowMs() < until) {
        if (isReady()) {
            return true;
        }
        sleepMs(20);
    }
    return false;
}

bool startOneByOne(const std::vector<Node *> &nodes)
{
    constexpr milliseconds StartLimit(15'000);
    return std::all_of(nodes.begin(), nodes.end(), [StartLimit](Node *node) {
        node->start();
        return node->waitUntilReady(StartLimit);
    });
}

Folder::Folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        std::_Exit(ExitCouldNotRun);
    }
    m_path = path;
}

Folder::~Folder()
{
    std::error_code error;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_path, error);
    } else {
        std::fprintf(stderr, "kept %s\n", m_path.c_str());
    }
}

std::string newAttempt()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard guard(mutex);
    std::ostringstream text;
    text << std::hex << random();
    return text.str();
}

std::string bytesOf(const ClientRequest &request)
{
    std::ostringstream text;
    text << request.method << ' ' << request.path << " HTTP/1.1\r\nHost: " << request.host
         << "\r\nFescuepond-Attempt-Id: " << request.attempt << "\r\nFescuepond-Deadline-Ms: " << request.deadlineMs
         << "\r\n";
    if (request.method != "GET") {
        text << "Content-Length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    return text.str();
}

std::optional<HttpMessage> send(int port, const ClientRequest &request, milliseconds timeout)
{
    const auto connection = Connection::open(port);
    if (!connection || !connection->send(bytesOf(request))) {
        return std::nullopt;
    }
    return connection->receiveMessage(timeout);
}

bool waitUntilServed(int port, ClientRequest request, milliseconds limit)
{
    constexpr milliseconds AnswerLimit(1000);
    const long long until = nowMs() + limit.count();
    while (nowMs() < until) {
        request.attempt = newAttempt();
        const auto answer = send(port, request, AnswerLimit);
        if (answer && answer->status() == 200) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

void limitRun(unsigned seconds)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) {
        std::_Exit(ExitCouldNotRun);
    });
    alarm(seconds);
}

} // namespace review
