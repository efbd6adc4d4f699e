// What the cases of the second review share: the platform's part (settings, starts, limits, liveness), a target and a
// client, all as the users' pages describe them. Everything listens on 127.0.0.1.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int NotRun = 2;

/// Ends all processes that the case has started, and the case with this exit code. Nothing is destroyed: the threads of
/// the targets still run.
[[noreturn]] void finish(int exitCode);
/// Ends the case with NotRun.
[[noreturn]] void giveUp(const std::string &reason);

void sleepFor(double seconds);
/// Seconds since the start of the case.
double elapsed();

/// The file record.txt of the case. Each line begins with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

int freePort();

/// A process that the case starts. It is killed when the object is destroyed.
class Process
{
public:
    /// `environment` has entries NAME=VALUE. `descriptorLimit`: of open files; 0: as inherited.
    Process(const std::vector<std::string> &arguments,
            const std::vector<std::string> &environment,
            const std::string &outputPath,
            std::size_t descriptorLimit = 0);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const
    {
        return m_id;
    }
    bool isRunning();
    void signal(int number) const;
    /// Waits until the process has ended.
    void wait();
    /// Anonymous resident memory, in MiB; 0 if the process has ended. Pages of files aren't counted.
    double memoryMb() const;

private:
    pid_t m_id = 0;
    bool m_hasEnded = false;
};

struct Answer {
    int status = 0; ///< 0: none.
    std::string head;
    std::string body;
    bool isComplete = false;
};

/// A client's connection.
class Connection
{
public:
    /// Nothing if the connection isn't established within a second.
    static std::unique_ptr<Connection> open(int port, int receiveBufferBytes = 0);
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Waits for `limit` seconds at most until all bytes are taken.
    bool send(const std::string &bytes, double limit = 10);
    /// Waits for an answer for `limit` seconds at most. `pause`, in seconds, precedes each read of `chunkBytes`.
    Answer receive(double limit, std::size_t chunkBytes = 65'536, double pause = 0);

private:
    int m_socket;
};

/// The id of a new client attempt.
std::string newAttemptId();
/// The head of a client's request. `fields` are further lines, each with CR LF.
std::string requestHead(const std::string &method,
                        const std::string &path,
                        const std::string &attempt,
                        int deadlineMs,
                        const std::string &fields);

struct Route {
    std::string name;
    std::string prefix;
    std::string kind; ///< safe or unsafe
    double timeoutSeconds;
    std::string service;
};

/// The host of all routes.
constexpr const char *Host = "orders.example";

/// The platform's store: the project's own stand-in.
class Store
{
public:
    /// `programs`: the folder of the programs that build-2.sh builds.
    Store(const std::string &programs, const std::string &folder);
    const std::string &address() const
    {
        return m_address;
    }
    /// Writes the first desired state.
    void publish(const std::vector<Route> &routes, const std::vector<std::string> &services);

private:
    std::unique_ptr<Process> m_process;
    std::string m_address;
};

/// A target beside a node. Reports itself to the node and answers requests.
class Target
{
public:
    struct Request {
        std::string line; ///< Method, path and version.
        std::string attempt;
        std::size_t bodyBytes;
    };
    Target(std::string id, std::string service, std::string zone, int slots = 60);

    int port() const
    {
        return m_port;
    }
    const std::string &service() const
    {
        return m_service;
    }
    const std::string &zone() const
    {
        return m_zone;
    }
    /// Begins to report to the node whose registration listener has this port.
    void reportTo(int registrationPort);
    void setRegistrationPort(int port)
    {
        m_registrationPort = port;
    }
    void stopReports()
    {
        m_isReporting = false;
    }
    /// A report that can be sent later.
    std::string nextReport();
    /// Sends a report of nextReport(). Whether the node has acknowledged it.
    bool sendReport(const std::string &report) const;
    /// Whether the node has acknowledged it.
    bool deregister() const;
    /// Ends like a process that exits: closes all connections.
    void end();
    /// Requests that have arrived and are not answered.
    int running() const
    {
        return m_running;
    }

    std::atomic<double> readBytesPerSecond = 0; ///< Of a request's body; 0: as fast as it arrives.
    std::atomic<double> workSeconds = 0.05;
    std::atomic<std::size_t> answerBytes = 5000; ///< The mean of the site files.
    /// Called when a request has arrived.
    std::function<void(const Request &)> onArrival;
    /// Called when a request has run.
    std::function<void(const Request &)> onRun;

private:
    void accept();
    void serve(int socket);
    void reportRepeatedly();

    const std::string m_id;
    const std::string m_service;
    const std::string m_zone;
    const int m_slots;
    const std::uint64_t m_bornMs;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<int> m_registrationPort = 0;
    int m_sequence = 0;
    std::atomic<bool> m_isReporting = true;
    std::atomic<bool> m_hasEnded = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::set<int> m_sockets; ///< Of open connections; protected by m_mutex.
};

/// The node beside a target, with the settings that the platform makes of deploy/settings.yaml.
class Node
{
public:
    static constexpr int MemoryLimitMb = 260;
    static constexpr std::size_t DescriptorLimit = 4100;

    Node(std::string name, const Target &target, const Store &store, std::string folder);
    /// Starts the process, as the platform does also after it has ended.
    void start();
    /// Starts the process on other ports, if another program has taken one of them before it could.
    void startElsewhere();
    bool isReady() const;
    int entryPort() const
    {
        return m_entryPort;
    }
    int registrationPort() const
    {
        return m_registrationPort;
    }
    const std::string &name() const
    {
        return m_name;
    }
    Process &process()
    {
        return *m_process;
    }

private:
    const std::string m_name;
    const std::string m_folder;
    const std::string m_fixedSettings; ///< Those without a port of the node.
    int m_entryPort = 0;
    int m_readyPort = 0;
    int m_registrationPort = 0;
    std::unique_ptr<Process> m_process;
};

/// A machine: a target and its node.
struct Machine {
    Target *target = nullptr; ///< Lives as long as the case.
    std::unique_ptr<Node> node;
};

Machine startMachine(const std::string &name,
                     const std::string &service,
                     const std::string &zone,
                     const Store &store,
                     const std::string &folder);
/// Waits until all nodes are ready and targets of all services can be reached. Gives up after 20 s.
void waitUntilReady(const std::vector<Machine> &machines);

/// Counts requests for the rule on unanswered ones: of the requests that are still unanswered at their route's
/// `timeout_s`, more than half have no answer half a second later.
class UnansweredCount
{
public:
    static constexpr double Grace = 0.5;
    /// The rule speaks of shares, so fewer late requests than these don't count as broken.
    static constexpr int FewestLate = 20;

    /// `answeredAfter`: seconds from the last byte of the request; nothing if no answer arrived.
    void add(double timeoutSeconds, std::optional<double> answeredAfter);
    int total() const
    {
        return m_total;
    }
    bool isRuleBroken() const;
    std::string summary() const;

private:
    mutable std::mutex m_mutex;
    int m_total = 0;
    int m_late = 0; ///< Unanswered at the time-out.
    int m_unanswered = 0; ///< Of these, without an answer after Grace.
};

/// What run.sh passes to a case.
struct Arguments {
    bool hasTrouble;
    std::string programs; ///< Folder of the programs that build-2.sh builds.
    std::string folder; ///< Temporary folder.
    std::string recordPath;
};
Arguments parseArguments(int argc, char **argv);

} // namespace review
