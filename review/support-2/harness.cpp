// The parts that the cases of the second review share.

#include "review/support-2/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>

namespace review
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr std::size_t BufferBytes = 65'536;
constexpr double ReportInterval = 1.5;
constexpr double StartLimit = 20;

const Clock::time_point start = Clock::now();

/// The processes that were started and have not been waited for.
class RunningProcesses
{
public:
    void add(pid_t id)
    {
        const std::lock_guard guard(m_mutex);
        m_ids.insert(id);
    }
    void remove(pid_t id)
    {
        const std::lock_guard guard(m_mutex);
        m_ids.erase(id);
    }
    void endAll()
    {
        const std::lock_guard guard(m_mutex);
        for (const pid_t id : m_ids) {
            ::kill(id, SIGKILL);
            waitpid(id, nullptr, 0);
        }
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_ids;
};

RunningProcesses &runningProcesses()
{
    static RunningProcesses processes;
    return processes;
}

std::string formatted(const char *format, double number)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, number);
    return text.data();
}

sockaddr_in loopbackAddress(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, Loopback, &address.sin_addr);
    return address;
}

int portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/// Listens on a free port below those that the system gives to clients: no connection can take it meanwhile.
int listeningSocket()
{
    constexpr int FirstPort = 15'000;
    constexpr int LastPort = 32'000;
    constexpr int Attempts = 1000;
    constexpr int Backlog = 512;
    static std::mutex mutex;
    static std::mt19937 generator{std::random_device{}()};
    static std::set<int> given;
    const std::lock_guard guard(mutex);
    std::uniform_int_distribution<int> draw(FirstPort, LastPort);
    for (int i = 0; i < Attempts; ++i) {
        const int port = draw(generator);
        if (given.contains(port)) {
            continue;
        }
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopbackAddress(port);
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
            && listen(socket, Backlog) == 0) {
            given.insert(port);
            return socket;
        }
        close(socket);
    }
    giveUp("no port to listen on");
}

/// Waits until the socket is ready or `until` has passed.
bool waitFor(int socket, short events, Clock::time_point until)
{
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd entry = {socket, events, 0};
        const int count = ::poll(&entry, 1, static_cast<int>(std::max<decltype(left)>(left, 0)));
        if (count > 0) {
            return true;
        }
        if (count == 0 || errno != EINTR) {
            return false;
        }
    }
}

Clock::time_point after(double seconds)
{
    return Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/// The value of a field of a message's head; empty if it hasn't got the field.
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::string key = "\r\n" + lower(name) + ":";
    const std::size_t at = lower(head).find(key);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = head.find_first_not_of(' ', at + key.size());
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// A field that is a number; 0 if the head hasn't got it.
std::size_t numberIn(const std::string &head, const std::string &name)
{
    return std::strtoul(fieldOf(head, name).c_str(), nullptr, 10);
}

bool sendAll(int socket, const std::string &bytes, Clock::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (!waitFor(socket, POLLOUT, until)) {
            return false;
        }
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

Answer sendRequest(int port, const std::string &method, const std::string &path, const std::string &body)
{
    const auto connection = Connection::open(port);
    if (!connection) {
        return {};
    }
    connection->send(method + " " + path + " HTTP/1.1\r\nHost: platform\r\nContent-Type: application/json\r\n"
                     + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection->receive(1);
}

std::uint64_t nowMs()
{
    using std::chrono::milliseconds;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace

void finish(int exitCode)
{
    runningProcesses().endAll();
    std::fflush(stdout);
    std::_Exit(exitCode);
}

void giveUp(const std::string &reason)
{
    std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
    finish(NotRun);
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(Seconds(seconds));
}

double elapsed()
{
    return Seconds(Clock::now() - start).count();
}

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard guard(m_mutex);
    m_file << formatted("%8.3f ", elapsed()) << text << std::endl;
}

int freePort()
{
    const int socket = listeningSocket();
    const int port = portOf(socket);
    close(socket);
    return port;
}

Process::Process(const std::vector<std::string> &arguments,
                 const std::vector<std::string> &environment,
                 const std::string &outputPath,
                 std::size_t descriptorLimit)
{
    std::vector<char *> argumentPointers;
    std::vector<char *> environmentPointers;
    argumentPointers.reserve(arguments.size() + 1);
    environmentPointers.reserve(environment.size() + 1);
    for (const std::string &argument : arguments) {
        argumentPointers.push_back(const_cast<char *>(argument.c_str()));
    }
    for (const std::string &entry : environment) {
        environmentPointers.push_back(const_cast<char *>(entry.c_str()));
    }
    argumentPointers.push_back(nullptr);
    environmentPointers.push_back(nullptr);
    constexpr int Mode = 0644;
    const int output = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
    m_id = fork();
    if (m_id == 0) {
        // Only async-signal-safe functions: other threads of the case may hold locks.
        // Ends with the case, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        if (descriptorLimit > 0) {
            const rlimit limit = {descriptorLimit, descriptorLimit};
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        execve(argumentPointers.front(), argumentPointers.data(), environmentPointers.data());
        _exit(NotRun);
    }
    close(output);
    if (m_id < 0) {
        giveUp("no process could be started");
    }
    runningProcesses().add(m_id);
}

Process::~Process()
{
    if (isRunning()) {
        signal(SIGKILL);
        wait();
    }
}

bool Process::isRunning()
{
    if (!m_hasEnded) {
        m_hasEnded = waitpid(m_id, nullptr, WNOHANG) == m_id;
        if (m_hasEnded) {
            runningProcesses().remove(m_id);
        }
    }
    return !m_hasEnded;
}

void Process::signal(int number) const
{
    if (!m_hasEnded) {
        ::kill(m_id, number);
    }
}

void Process::wait()
{
    if (!m_hasEnded) {
        waitpid(m_id, nullptr, 0);
        m_hasEnded = true;
        runningProcesses().remove(m_id);
    }
}

double Process::memoryMb() const
{
    constexpr double KilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "RssAnon:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / KilobytesPerMegabyte;
        }
    }
    return 0;
}

std::unique_ptr<Connection> Connection::open(int port, int receiveBufferBytes)
{
    auto connection = std::make_unique<Connection>(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int socket = connection->m_socket;
    if (receiveBufferBytes > 0) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = loopbackAddress(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    if (!waitFor(socket, POLLOUT, after(1))) {
        return nullptr;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 ? std::move(connection) : nullptr;
}

Connection::Connection(int socket)
    : m_socket(socket)
{
}

Connection::~Connection()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

bool Connection::send(const std::string &bytes, double limit)
{
    return sendAll(m_socket, bytes, after(limit));
}

Answer Connection::receive(double limit, std::size_t chunkBytes, double pause)
{
    const auto until = after(limit);
    Answer answer;
    std::string bytes;
    std::vector<char> buffer(chunkBytes);
    std::size_t headEnd = std::string::npos;
    std::size_t wanted = 0;
    while (headEnd == std::string::npos || bytes.size() < wanted) {
        if (pause > 0) {
            sleepFor(pause);
        }
        if (!waitFor(m_socket, POLLIN, until)) {
            break;
        }
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
            break;
        }
        bytes.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        if (headEnd == std::string::npos) {
            headEnd = bytes.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                answer.head = bytes.substr(0, headEnd + 2);
                wanted = headEnd + 4 + numberIn(answer.head, "Content-Length");
                bytes.reserve(wanted);
            }
        }
    }
    if (headEnd == std::string::npos) {
        return {};
    }
    constexpr std::size_t StatusPosition = 9;
    answer.status = std::atoi(answer.head.c_str() + std::min(StatusPosition, answer.head.size()));
    answer.isComplete = bytes.size() >= wanted;
    answer.body = bytes.substr(headEnd + 4);
    return answer;
}

std::string newAttemptId()
{
    static std::atomic<std::uint64_t> next = static_cast<std::uint64_t>(getpid()) << 32U;
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(++next));
    return text.data();
}

std::string requestHead(const std::string &method,
                        const std::string &path,
                        const std::string &attempt,
                        int deadlineMs,
                        const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nFescuepond-Attempt-Id: " + attempt
        + "\r\nFescuepond-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fields + "\r\n";
}

Store::Store(const std::string &programs, const std::string &folder)
{
    const std::string output = folder + "/store.log";
    m_process = std::make_unique<Process>(
        std::vector<std::string>{programs + "/platformstandin"}, std::vector<std::string>{}, output);
    const std::string key = "address=";
    while (m_address.empty()) {
        if (elapsed() > StartLimit) {
            giveUp("the store's stand-in doesn't start");
        }
        sleepFor(0.05);
        std::ifstream file(output);
        std::string word;
        while (file >> word && m_address.empty()) {
            if (word.starts_with(key)) {
                m_address = word.substr(key.size());
            }
        }
    }
}

void Store::publish(const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    std::ostringstream state;
    state
        << R"({"metadata":{"name":"main"},"spec":{"version":"00000005","routes":{"columns":["name","host",)"
        << R"("path_prefix","kind","timeout_s","aim_s","priority","traffic_split","max_attempts","service"],"rows":[)";
    for (const Route &route : routes) {
        state << (&route == &routes.front() ? "" : ",") << "[\"" << route.name << "\",\"" << Host << "\",\""
              << route.prefix << "\",\"" << route.kind << "\"," << route.timeoutSeconds << ','
              << route.timeoutSeconds / 2 << ",1,null,2,\"" << route.service << "\"]";
    }
    state << R"(]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[)";
    for (const std::string &service : services) {
        state << (&service == &services.front() ? "" : ",") << "[\"" << service << R"(","/health",394,"h1",false])";
    }
    // The limits of the pages' own example.
    state << R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
          << R"("idle_timeout_s":15}}})";
    const int port = std::atoi(m_address.c_str() + m_address.rfind(':') + 1);
    const Answer answer = sendRequest(port, "POST", "/objects/config", state.str());
    if (answer.status < 200 || answer.status >= 300) {
        giveUp("the store's stand-in doesn't take the desired state");
    }
}

Target::Target(std::string id, std::string service, std::string zone, int slots)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_bornMs(nowMs())
    , m_listener(listeningSocket())
    , m_port(portOf(m_listener))
{
    std::thread([this] {
        accept();
    }).detach();
}

void Target::reportTo(int registrationPort)
{
    m_registrationPort = registrationPort;
    std::thread([this] {
        reportRepeatedly();
    }).detach();
}

void Target::accept()
{
    while (!m_hasEnded) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const std::lock_guard guard(m_mutex);
        if (m_hasEnded) {
            close(socket);
            return;
        }
        m_sockets.insert(socket);
        std::thread([this, socket] {
            serve(socket);
            const std::lock_guard closing(m_mutex);
            m_sockets.erase(socket);
            close(socket);
        }).detach();
    }
}

void Target::end()
{
    const std::lock_guard guard(m_mutex);
    m_hasEnded = true;
    shutdown(m_listener, SHUT_RDWR);
    for (const int socket : m_sockets) {
        shutdown(socket, SHUT_RDWR);
    }
}

void Target::serve(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::vector<char> buffer(BufferBytes);
    std::string held;
    const auto fill = [&] {
        const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
        held.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        return count > 0;
    };
    while (true) {
        while (held.find("\r\n\r\n") == std::string::npos) {
            if (!fill()) {
                return;
            }
        }
        const std::size_t headEnd = held.find("\r\n\r\n");
        const std::string head = held.substr(0, headEnd + 2);
        held.erase(0, headEnd + 4);
        const std::size_t length = numberIn(head, "Content-Length");
        const auto begin = Clock::now();
        std::size_t taken = std::min(length, held.size());
        held.erase(0, taken);
        while (taken < length) {
            if (const double rate = readBytesPerSecond; rate > 0) {
                const auto due =
                    begin + std::chrono::duration_cast<Clock::duration>(Seconds(static_cast<double>(taken) / rate));
                std::this_thread::sleep_until(due);
            }
            if (!fill()) {
                return;
            }
            const std::size_t part = std::min(length - taken, held.size());
            held.erase(0, part);
            taken += part;
        }
        const std::string attempt = fieldOf(head, "Fescuepond-Attempt-Id");
        const Request request = {head.substr(0, head.find("\r\n")), attempt, length};
        ++m_running;
        if (onArrival) {
            onArrival(request);
        }
        sleepFor(workSeconds);
        --m_running;
        if (m_hasEnded) {
            return;
        }
        if (onRun) {
            onRun(request);
        }
        const std::size_t size = answerBytes;
        const std::string answer = "HTTP/1.1 200 OK\r\nFescuepond-Attempt-Id: " + attempt
            + "\r\nFescuepond-Response-Signature: " + m_id + "." + std::to_string(size)
            + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a');
        constexpr double LongestWrite = 60;
        if (!sendAll(socket, answer, after(LongestWrite))) {
            return;
        }
    }
}

std::string Target::nextReport()
{
    std::ostringstream report;
    report << R"({"service":")" << m_service << R"(","address":")" << Loopback << ':' << m_port << R"(","zone":")"
           << m_zone << R"(","version":"v1","slots":)" << m_slots << R"(,"state":"ready","cold_left_s":0,"sequence":)"
           << ++m_sequence << R"(,"born":)" << m_bornMs << '}';
    return report.str();
}

bool Target::sendReport(const std::string &report) const
{
    return sendRequest(m_registrationPort, "PUT", "/instances/" + m_id, report).status == 200;
}

bool Target::deregister() const
{
    return sendRequest(m_registrationPort, "DELETE", "/instances/" + m_id, {}).status == 200;
}

void Target::reportRepeatedly()
{
    while (m_isReporting) {
        sendReport(nextReport());
        sleepFor(ReportInterval);
    }
}

Node::Node(std::string name, const Target &target, const Store &store, std::string folder)
    : m_name(std::move(name))
    , m_folder(std::move(folder))
    , m_fixedSettings(
          "environment: fleet\nname: " + m_name + "\nservice: " + target.service() + "\nzone: " + target.zone()
          + "\nregion: region\nbackend_address: " + Loopback + ":" + std::to_string(target.port())
          + "\nbackend_reports: true\nplatform_address: " + store.address()
          + "\nmax_body_bytes: 8388608\nmemory_limit_mb: " + std::to_string(MemoryLimitMb)
          + "\nrequest_read_timeout_ms: 5000\nleave_grace_ms: 2200\ndrain_timeout_ms: 30000\nstop_limit_s: 6\n"
          + "change_bound_s: 2\nrecovery_time_s: 3\nbackend_drain_s: 2\nbackend_report_interval_s: 1.5\n"
          + "retry_ratio: 0.2\nretry_slack: 48\nretry_window_s: 10\n")
{
    startElsewhere();
}

void Node::startElsewhere()
{
    const auto at = [](int port) {
        return std::string(Loopback) + ":" + std::to_string(port) + "\n";
    };
    m_entryPort = freePort();
    m_readyPort = freePort();
    m_registrationPort = freePort();
    std::ofstream(m_folder + "/" + m_name + ".yaml")
        << m_fixedSettings << "entry_address: " << at(m_entryPort) << "peer_address: " << at(freePort())
        << "readiness_address: " << at(m_readyPort) << "registration_address: " << at(m_registrationPort)
        << "operator_address: " << at(freePort());
    start();
}

void Node::start()
{
    m_process =
        std::make_unique<Process>(std::vector<std::string>{"target/fescuepond", "node"},
                                  std::vector<std::string>{"FESCUEPOND_CONFIG=" + m_folder + "/" + m_name + ".yaml"},
                                  m_folder + "/" + m_name + ".log",
                                  DescriptorLimit);
}

bool Node::isReady() const
{
    return sendRequest(m_readyPort, "GET", "/ready", {}).status == 200;
}

Machine startMachine(const std::string &name,
                     const std::string &service,
                     const std::string &zone,
                     const Store &store,
                     const std::string &folder)
{
    Machine machine;
    static std::vector<std::unique_ptr<Target>> targets;
    targets.push_back(std::make_unique<Target>("i-" + name, service, zone));
    machine.target = targets.back().get();
    machine.node = std::make_unique<Node>(name, *machine.target, store, folder);
    machine.target->reportTo(machine.node->registrationPort());
    return machine;
}

void waitUntilReady(const std::vector<Machine> &machines)
{
    for (const Machine &machine : machines) {
        // Another program may answer at the port of a node that could not start.
        while (!machine.node->process().isRunning() || !machine.node->isReady()) {
            if (elapsed() > StartLimit) {
                giveUp("a node doesn't become ready");
            }
            if (!machine.node->process().isRunning()) {
                machine.node->startElsewhere();
                machine.target->setRegistrationPort(machine.node->registrationPort());
            }
            sleepFor(0.1);
        }
    }
    // Until the targets have reported and all nodes know of it.
    constexpr double SettleTime = 4;
    sleepFor(SettleTime);
}

void UnansweredCount::add(double timeoutSeconds, std::optional<double> answeredAfter)
{
    const std::lock_guard guard(m_mutex);
    ++m_total;
    m_late += !answeredAfter || *answeredAfter > timeoutSeconds ? 1 : 0;
    m_unanswered += !answeredAfter || *answeredAfter > timeoutSeconds + Grace ? 1 : 0;
}

bool UnansweredCount::isRuleBroken() const
{
    const std::lock_guard guard(m_mutex);
    return m_late >= FewestLate && 2 * m_unanswered > m_late;
}

std::string UnansweredCount::summary() const
{
    const std::lock_guard guard(m_mutex);
    return std::to_string(m_total) + " requests, " + std::to_string(m_late) + " unanswered at timeout_s, "
        + std::to_string(m_unanswered) + " of these without an answer 0.5 s later";
}

Arguments parseArguments(int argc, char **argv)
{
    constexpr int Count = 5;
    if (argc < Count) {
        giveUp("usage: case TROUBLE PROGRAMS FOLDER RECORD");
    }
    std::signal(SIGPIPE, SIG_IGN);
    return {std::string(argv[1]) != "0", argv[2], argv[3], argv[4]};
}

} // namespace review
