// Support for the scripts of the review: sockets, HTTP messages, small servers, processes and the record of a run.
//
// The stand-ins follow the users' pages. All addresses are loopback addresses with ports that were free at the start.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;

/// Milliseconds since the program was started.
long long nowMs();
void sleepMs(long long duration);
/// Whether the disruption is to be played: false with TROUBLE=0.
bool hasTrouble();
/// A loopback port that nobody listens on.
int freePort();
std::string loopback(int port);

/// Lines of record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &folder);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::string m_path;
};

struct HttpMessage {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// Options of a client's socket.
struct SocketOptions {
    int receiveBuffer = 0; ///< Bytes; 0: that of the operating system.
    int segment = 0; ///< Maximum segment size, which is 1,460 bytes on an Ethernet link; 0: that of loopback.
};

/// A TCP connection. Movable through a shared pointer only.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Unlike the address of the object, never used again.
    unsigned long long number() const
    {
        return m_number;
    }

    /// Null if the connection was refused or took too long.
    static std::shared_ptr<Connection> open(int port, const SocketOptions &options = {});

    bool send(const std::string &bytes);
    /// Receives up to `limit` bytes; -1: nothing within `timeout`, 0: closed or reset.
    int receive(char *bytes, int limit, milliseconds timeout);
    /// The next message; nothing if the connection ends or `timeout` passes before it is complete.
    std::optional<HttpMessage> receiveMessage(milliseconds timeout);
    /// Whether the last receiveMessage() ended because the remote side had closed the connection.
    bool wasClosed() const
    {
        return m_wasClosed;
    }
    void shutDown();

private:
    bool fill(SteadyClock::time_point until);

    const int m_descriptor;
    const unsigned long long m_number;
    std::string m_buffer;
    bool m_wasClosed = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// An HTTP server with one thread for each connection.
class HttpServer
{
public:
    /// Returns the bytes of the response; nothing: the connection is closed without one.
    using Handler = std::function<std::optional<std::string>(const HttpMessage &, Connection &)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    int port() const
    {
        return m_port;
    }
    /// Ends the listener and all connections, as the end of its process would.
    void stop();

private:
    void accept();
    void serve(const ConnectionPtr &connection);

    const Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::list<ConnectionPtr> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

std::string httpResponse(int status,
                         const std::string &body,
                         const std::map<std::string, std::string> &headers = {{"Content-Type", "application/json"}});

/// The platform's store: objects by kind and name, lists, conditional writes, and watches that wait.
class Store
{
public:
    Store();
    int port() const
    {
        return m_server->port();
    }
    /// The operator writes the desired state. Returns when the store has acknowledged it.
    void writeDesiredState(const std::string &spec);
    void stop();

private:
    struct Object {
        unsigned long long revision = 0;
        std::string spec; ///< As JSON.
    };
    struct Change {
        unsigned long long revision = 0;
        std::string kind;
        std::string name;
        Object object;
        bool isDeleted = false;
    };

    std::string handle(const HttpMessage &request);
    std::string read(const std::string &kind, const std::string &name, const std::string &query);
    std::string list(const std::string &kind);
    std::string changes(const std::string &kind, unsigned long long from, long long waitMs);
    std::string write(const HttpMessage &request, const std::string &kind, std::string name);
    std::string remove(const std::string &kind, const std::string &name, const std::string &query);

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Change> m_changes;
    unsigned long long m_revision = 7;
    std::atomic<bool> m_isStopped = false;
    std::unique_ptr<HttpServer> m_server;
};

/// A request that reached a target.
struct Arrival {
    long long atMs = 0;
    std::string attempt;
    std::string method;
    std::string path;
    std::string body;
};

/// An application target: runs each request at once, for `workMs`, and answers with the signature and the instance's
/// name. It reports its state to its node.
class Target
{
public:
    Target(Record &record, std::string service, std::string instance);
    ~Target();
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    int port() const
    {
        return m_server->port();
    }
    const std::string &instance() const
    {
        return m_instance;
    }
    void setWork(long long workMs)
    {
        m_workMs = workMs;
    }
    void setAnswerBytes(std::size_t bytes)
    {
        m_answerBytes = bytes;
    }
    /// Sends one report and returns whether it was acknowledged.
    bool report(int controlPort, const std::string &state, long long sequence);
    bool deregister(int controlPort);
    /// Reports `ready` every 1.5 seconds until stopped.
    void startReports(int controlPort);
    void stopReports();
    long long lastSequence() const
    {
        return m_sequence;
    }
    std::vector<Arrival> arrivals();
    void stop();

private:
    std::optional<std::string> run(const HttpMessage &request, Connection &connection);
    std::string reportBytes(const std::string &state, long long sequence) const;

    Record &m_record;
    const std::string m_service;
    const std::string m_instance;
    const long long m_bornMs;
    std::atomic<long long> m_workMs = 10;
    std::atomic<std::size_t> m_answerBytes = 200;
    std::atomic<long long> m_sequence = 0;
    std::atomic<bool> m_isReporting = false;
    std::thread m_reporter;
    std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::unique_ptr<HttpServer> m_server;
};

/// The addresses of a node, all on loopback.
struct NodePorts {
    int outbound = freePort();
    int inbound = freePort();
    int ready = freePort();
    int control = freePort();
    int operators = freePort();
};

/// One `target/fescuepond node`, with settings as the template of the deploy file gives them for a small site.
class Node
{
public:
    Node(const std::string &folder, std::string name, std::string service, int targetPort, int storePort);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const NodePorts &ports() const
    {
        return m_ports;
    }
    const std::string &name() const
    {
        return m_name;
    }
    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    bool isRunning();
    /// Resident memory in bytes; 0 if the process has ended.
    std::size_t memory() const;
    /// Whether `GET /ready` gives 200.
    bool isReady() const;
    bool waitUntilReady(milliseconds limit) const;

private:
    const std::string m_folder;
    const std::string m_name;
    const std::string m_service;
    const NodePorts m_ports;
    pid_t m_process = -1;
};

/// Starts nodes one after the other, each once the one before is ready, so that each finds the others in the store.
bool startOneByOne(const std::vector<Node *> &nodes);

/// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder();
    ~Folder();
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/// One request of a client, as the users' pages write it.
struct ClientRequest {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string attempt;
    long long deadlineMs = 5000;
    std::string body;
};

std::string newAttempt();
std::string bytesOf(const ClientRequest &request);
/// Sends one request on a new connection; nothing if there was no complete answer in time.
std::optional<HttpMessage> send(int port, const ClientRequest &request, milliseconds timeout);
/// Sends requests until one is answered with 200.
bool waitUntilServed(int port, ClientRequest request, milliseconds limit);

/// Ends the program with ExitCouldNotRun after this time; children end with it.
void limitRun(unsigned seconds);

} // namespace review
