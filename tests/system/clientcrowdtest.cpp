// Crowds of clients that read, write or wait longer than a node can afford. Guards against a node that holds whatever
// they make it hold until it is over its memory, has no descriptors left or has no thread left to read other requests.
//
// Each test keeps its crowd until the node has come to rest under it. What is checked doesn't depend on the speed of
// the machine: the process lives, its memory and descriptors stay within their limits, an ordinary request is answered,
// and a refusal that reports a request as not run is true.

#include "tests/support/crowd.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"
#include "tests/support/scriptedbackend.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *Catalogue = R"(
service: catalogue
kinds:
  - {name: list, method: GET, path: /list/*, rank: 5, idempotent: true, deadline_ms: 30000, retries: 0}
  - {name: price, method: GET, path: /price/*, rank: 1, idempotent: true, deadline_ms: 10000, retries: 0}
  - {name: purchase, method: POST, path: /purchase/*, rank: 5, idempotent: false, deadline_ms: 30000}
  - {name: upload, method: POST, path: /upload/*, rank: 5, idempotent: true, deadline_ms: 30000, retries: 0}
)";
constexpr const char *Desk = R"(
service: desk
kinds:
  - {name: note, method: GET, path: /note/*, rank: 5, idempotent: true, deadline_ms: 10000, retries: 0}
)";
constexpr std::size_t MemoryLimitMb = 128;
constexpr std::size_t DefaultMemoryMb = 256;
constexpr std::size_t AmpleMemoryMb = 1024;
constexpr std::size_t DescriptorMaximum = 400;
constexpr std::size_t LongBytes = 8'000'000; ///< Below max_body_bytes.
constexpr int Targets = 4;
constexpr auto CrowdDuration = 15s;
constexpr auto MaxWait = 60s;

std::vector<std::string> settings(std::size_t memoryLimitMb)
{
    return {"memory_limit_mb: " + std::to_string(memoryLimitMb), "max_body_bytes: 8388608", "backend_slots: 99"};
}

/// The bytes of a request without a body.
std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: catalogue\r\n\r\n";
}

class ClientCrowd : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Catalogue, Desk}), 0);
    }

    FleetNode &addCatalogue(std::size_t memoryLimitMb, const std::string &name = "catalogue-a")
    {
        return m_fleet.addNode({.name = name,
                                .service = "catalogue",
                                .settings = settings(memoryLimitMb),
                                .backendAddress = m_backend.address(),
                                .startsBackend = false});
    }
    FleetNode &addCatalogueWithFewDescriptors()
    {
        const DescriptorLimit limit(DescriptorMaximum);
        return addCatalogue(MemoryLimitMb);
    }
    /// Targets that together deliver long responses faster than slow clients read them.
    void addAmpleCatalogues(int count)
    {
        for (int i = 0; i < count; ++i) {
            addCatalogue(AmpleMemoryMb, "catalogue-" + std::to_string(i));
        }
    }
    FleetNode &addDesk(const std::string &name, std::size_t memoryLimitMb)
    {
        return m_fleet.addNode({.name = name, .service = "desk", .settings = settings(memoryLimitMb)});
    }

    /// Sends an ordinary request until one is answered.
    static bool isAnswered(const FleetNode &node)
    {
        return eventually(MaxWait, [&] {
            return sendHttp(node.front, {.path = "/price/1", .host = "catalogue"}).outcome() == "answered";
        });
    }

    /// In calm, a single long response is still delivered whole, and a single long request is run.
    static bool servesLongBodies(const FleetNode &node)
    {
        return eventually(MaxWait,
                          [&] {
                              const HttpReply list =
                                  sendHttp(node.front, {.path = "/list/calm", .host = "catalogue", .timeout = 30s});
                              return list.outcome() == "answered" && list.body.size() == LongBytes;
                          })
            && eventually(MaxWait, [&] {
                   const HttpReply upload = sendHttp(node.front,
                                                     {.method = "POST",
                                                      .path = "/upload/calm",
                                                      .host = "catalogue",
                                                      .body = std::string(LongBytes, 'b'),
                                                      .timeout = 30s});
                   return upload.outcome() == "answered";
               });
    }

    static void expectWithinLimits(FleetNode &node, std::size_t memoryLimitMb)
    {
        const std::size_t peak = node.process->peakMemoryMb();
        EXPECT_EQ(node.process->wait(0ms), std::nullopt) << node.options.name;
        EXPECT_GT(peak, 0U) << node.options.name;
        EXPECT_LT(peak, memoryLimitMb) << node.options.name;
        RecordProperty("peak_mb_" + node.options.name, static_cast<int>(peak));
    }

    ScriptedBackend m_backend{LongBytes};
    Fleet m_fleet;
};

} // namespace

TEST_F(ClientCrowd, UnreadResponsesDoNotTakeTheEntryNodeOverItsMemory)
{
    constexpr int Clients = 100;
    addAmpleCatalogues(Targets);
    FleetNode &entry = addDesk("desk-a", MemoryLimitMb);
    ASSERT_TRUE(m_fleet.waitUntilReady(Targets + 1));
    Crowd crowd(Clients, [&](int, const std::atomic<bool> &isOver) {
        readSlowly(entry.front, get("/list/1"), isOver);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(entry));
    crowd.disperse();
    EXPECT_TRUE(isAnswered(entry));
    EXPECT_TRUE(servesLongBodies(entry));
    expectWithinLimits(entry, MemoryLimitMb);
}

TEST_F(ClientCrowd, UnreadResponsesDoNotTakeTheTargetsNodeOverItsMemory)
{
    constexpr int Clients = 100;
    FleetNode &node = addCatalogue(DefaultMemoryMb);
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    Crowd crowd(Clients, [&](int, const std::atomic<bool> &isOver) {
        readSlowly(node.front, get("/list/1"), isOver);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(node));
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    EXPECT_TRUE(servesLongBodies(node));
    expectWithinLimits(node, DefaultMemoryMb);
}

TEST_F(ClientCrowd, UnreadResponsesToRequestsSentAheadDoNotTakeTheNodeOverItsMemory)
{
    constexpr int Clients = 20;
    constexpr int Requests = 8;
    addAmpleCatalogues(Targets);
    FleetNode &entry = addDesk("desk-a", MemoryLimitMb);
    ASSERT_TRUE(m_fleet.waitUntilReady(Targets + 1));
    std::string requests;
    for (int i = 0; i < Requests; ++i) {
        requests += get("/list/" + std::to_string(i));
    }
    Crowd crowd(Clients, [&](int, const std::atomic<bool> &isOver) {
        leaveOpen(entry.front, requests, isOver, false);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(entry));
    crowd.disperse();
    EXPECT_TRUE(isAnswered(entry));
    EXPECT_TRUE(servesLongBodies(entry));
    expectWithinLimits(entry, MemoryLimitMb);
}

TEST_F(ClientCrowd, LongRequestsToASlowBackendServerDoNotTakeItsNodeOverItsMemory)
{
    constexpr int Entries = 4;
    constexpr int ClientsOfAnEntry = 10;
    FleetNode &target = addCatalogue(MemoryLimitMb);
    std::vector<FleetNode *> entries;
    entries.reserve(Entries);
    for (int i = 0; i < Entries; ++i) {
        entries.push_back(&addDesk("desk-" + std::to_string(i), AmpleMemoryMb));
    }
    ASSERT_TRUE(m_fleet.waitUntilReady(Entries + 1));
    m_backend.setReadPause(50ms);
    std::mutex mutex;
    std::map<std::string, std::string> outcomes; // By path.
    std::atomic<int> sent = 0;
    Crowd crowd(Entries * ClientsOfAnEntry, [&](int number, const std::atomic<bool> &) {
        const std::string path = "/upload/" + std::to_string(++sent);
        const HttpReply reply = sendHttp(
            entries.at(static_cast<std::size_t>(number % Entries))->front,
            {.method = "POST", .path = path, .host = "catalogue", .body = std::string(LongBytes, 'b'), .timeout = 5s});
        const std::lock_guard guard(mutex);
        outcomes[path] = reply.outcome();
    });
    std::this_thread::sleep_for(CrowdDuration);
    crowd.disperse();
    m_backend.setReadPause(0ms);
    EXPECT_TRUE(isAnswered(*entries.front()));
    EXPECT_TRUE(servesLongBodies(*entries.front()));
    expectWithinLimits(target, MemoryLimitMb);
    for (const auto &[path, outcome] : outcomes) {
        EXPECT_FALSE(outcome == "not-run" && m_backend.hasRun(path)) << path;
    }
}

TEST_F(ClientCrowd, LongRequestsWithTicketsDoNotTakeTheNodeThatIssuedThemOverItsMemory)
{
    constexpr int Entries = 4;
    constexpr int ClientsOfAnEntry = 10;
    addAmpleCatalogues(Targets);
    FleetNode &owner = addDesk("desk-owner", MemoryLimitMb);
    std::vector<FleetNode *> entries;
    entries.reserve(Entries);
    for (int i = 0; i < Entries; ++i) {
        entries.push_back(&addDesk("desk-" + std::to_string(i), AmpleMemoryMb));
    }
    ASSERT_TRUE(m_fleet.waitUntilReady(Targets + Entries + 1));
    m_backend.setReadPause(50ms);
    std::atomic<int> sent = 0;
    Crowd crowd(Entries * ClientsOfAnEntry, [&](int number, const std::atomic<bool> &) {
        std::string ticket = sendHttp(owner.front, {.path = "/.fescuepond/tickets"}).body;
        ticket.erase(std::min(ticket.size(), ticket.find('\n')));
        sendHttp(entries.at(static_cast<std::size_t>(number % Entries))->front,
                 {.method = "POST",
                  .path = "/purchase/" + std::to_string(++sent),
                  .host = "catalogue",
                  .headers = {{"X-Fescuepond-Ticket", ticket}},
                  .body = std::string(LongBytes, 'b'),
                  .timeout = 5s});
    });
    std::this_thread::sleep_for(CrowdDuration);
    crowd.disperse();
    m_backend.setReadPause(0ms);
    EXPECT_TRUE(isAnswered(owner));
    expectWithinLimits(owner, MemoryLimitMb);
}

TEST_F(ClientCrowd, IdleConnectionsLeaveRoomForNewCallers)
{
    constexpr int Clients = 60;
    constexpr int ConnectionsOfAClient = 8;
    FleetNode &node = addCatalogueWithFewDescriptors();
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    Crowd crowd(Clients * ConnectionsOfAClient, [&](int, const std::atomic<bool> &isOver) {
        leaveOpen(node.front, get("/price/1"), isOver, true);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(node));
    EXPECT_LT(node.process->descriptorCount(), DescriptorMaximum * 9 / 10);
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    expectWithinLimits(node, MemoryLimitMb);
}

TEST_F(ClientCrowd, SilentConnectionsLeaveRoomForNewCallers)
{
    constexpr int Connections = 480;
    FleetNode &node = addCatalogueWithFewDescriptors();
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    Crowd crowd(Connections, [&](int, const std::atomic<bool> &isOver) {
        leaveOpen(node.front, "", isOver, true);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(node));
    EXPECT_LT(node.process->descriptorCount(), DescriptorMaximum * 9 / 10);
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    expectWithinLimits(node, MemoryLimitMb);
}

TEST_F(ClientCrowd, HeadersWithoutEndLeaveRoomForNewCallers)
{
    constexpr int Connections = 450;
    constexpr std::size_t HeaderBytes = 60'000;
    FleetNode &node = addCatalogueWithFewDescriptors();
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    const std::string beginning =
        "GET /price/1 HTTP/1.1\r\nHost: catalogue\r\nX-Long: " + std::string(HeaderBytes, 'h');
    Crowd crowd(Connections, [&](int, const std::atomic<bool> &isOver) {
        leaveOpen(node.front, beginning, isOver, true);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(node));
    EXPECT_LT(node.process->descriptorCount(), DescriptorMaximum * 9 / 10);
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    expectWithinLimits(node, MemoryLimitMb);
}

TEST_F(ClientCrowd, HeadersSentSlowlyDoNotKeepOtherRequestsFromBeingRead)
{
    constexpr int Clients = 96;
    FleetNode &node = addCatalogue(MemoryLimitMb);
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    Crowd crowd(Clients, [&](int, const std::atomic<bool> &isOver) {
        Poco::Net::StreamSocket socket = connectTo(node.front);
        const std::string line = "X-Slow: 1\r\n";
        std::string part = "GET /price/1 HTTP/1.1\r\nHost: catalogue\r\n";
        while (!isOver) {
            socket.sendBytes(part.data(), static_cast<int>(part.size()));
            part = line;
            std::this_thread::sleep_for(100ms);
        }
    });
    std::this_thread::sleep_for(2s);
    // A body in chunks, whose end arrives later: such a request isn't read at once.
    constexpr int Attempts = 3;
    int answered = 0;
    for (int i = 0; i < Attempts; ++i) {
        Poco::Net::StreamSocket socket = connectTo(node.front);
        socket.setReceiveTimeout(Poco::Timespan(8, 0));
        const std::string head = "POST /upload/" + std::to_string(i)
            + " HTTP/1.1\r\nHost: catalogue\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
        const std::string end = "0\r\n\r\n";
        std::array<char, 4096> chunk;
        try {
            socket.sendBytes(head.data(), static_cast<int>(head.size()));
            std::this_thread::sleep_for(50ms);
            socket.sendBytes(end.data(), static_cast<int>(end.size()));
            const int count = socket.receiveBytes(chunk.data(), chunk.size());
            answered +=
                std::string(chunk.data(), static_cast<std::size_t>(std::max(count, 0))).starts_with("HTTP/1.1 200") ? 1
                                                                                                                    : 0;
        } catch (const Poco::Exception &) {
            // No answer.
        }
    }
    EXPECT_GT(answered, 0);
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    expectWithinLimits(node, MemoryLimitMb);
}

TEST_F(ClientCrowd, LongRequestsSentSlowlyDoNotTakeTheNodeOverItsMemory)
{
    constexpr int Clients = 96;
    FleetNode &node = addCatalogue(MemoryLimitMb);
    ASSERT_TRUE(m_fleet.waitUntilReady(1));
    const std::string head =
        "POST /upload/1 HTTP/1.1\r\nHost: catalogue\r\nContent-Length: " + std::to_string(LongBytes) + "\r\n\r\n";
    const std::string beginning = head + std::string(LongBytes - 1, 'b');
    Crowd crowd(Clients, [&](int, const std::atomic<bool> &isOver) {
        leaveOpen(node.front, beginning, isOver, true);
    });
    std::this_thread::sleep_for(CrowdDuration);
    EXPECT_TRUE(isAnswered(node));
    crowd.disperse();
    EXPECT_TRUE(isAnswered(node));
    EXPECT_TRUE(servesLongBodies(node));
    expectWithinLimits(node, MemoryLimitMb);
}

} // namespace fescuepond::test
