// The open connections to the platform's store go silent, while new ones work; then the operator drops a route and
// moves another one to a different service.

#include "review/support/support.h"

#include <array>
#include <cstdio>
#include <utility>

using namespace review;

namespace
{

constexpr long long StableWindowMs = 3000;
constexpr long long ConfigMs = 2000;
/// The machines are in touch again by then.
constexpr long long ChangeAfterSilenceMs = StableWindowMs + 700;
constexpr long long PlayMs = 9000;

std::string desiredState(const std::string &version, const std::string &priceService, bool hasLedger)
{
    const std::string ledger = R"(,["r-ledger","ledger.example","/ledger/","safe",1,1.5,1,null,2,"pricing"])";
    return R"({"version":")" + version
        + R"(","routes":{"columns":["name","host","path_prefix","kind","timeout_s","aim_s","priority","traffic_split",)"
        + R"("max_attempts","service"],"rows":[["r-price","price.example","/price/","safe",1,1.5,1,null,2,")"
        + priceService + R"("])" + (hasLedger ? ledger : "") + "]},"
        + R"("services":{"columns":["name","health_path","max_connections","protocol","tls"],)"
        + R"("rows":[["pricing","/health",532,"h1",false],["quarry","/health",532,"h1",false]]},)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
        + R"("base_version":"00000001"})";
}

/// Forwards connections to a port. Those that are open when it is told so go silent for good.
class Relay
{
public:
    explicit Relay(int target)
        : m_target(target)
        , m_server(std::make_unique<HttpServer>([this](const HttpMessage &request, Connection &connection) {
            return forward(request, connection);
        }))
    {
    }
    int port() const
    {
        return m_server->port();
    }
    /// Returns how many connections went silent.
    std::size_t silenceOpenConnections()
    {
        const std::lock_guard guard(m_mutex);
        for (auto &[number, isSilent] : m_isSilent) {
            isSilent = true;
        }
        return m_isSilent.size();
    }
    void stop()
    {
        m_isOver = true;
        m_server->stop();
    }

private:
    bool isSilent(const Connection &connection)
    {
        const std::lock_guard guard(m_mutex);
        return m_isSilent.emplace(connection.number(), false).first->second;
    }

    std::optional<std::string> forward(const HttpMessage &request, Connection &connection)
    {
        constexpr milliseconds AnswerLimit(30'000);
        std::optional<HttpMessage> answer;
        if (!isSilent(connection)) {
            const auto upstream = Connection::open(m_target);
            std::string bytes = request.startLine + "\r\n";
            for (const auto &[name, value] : request.headers) {
                bytes.append(name).append(": ").append(value).append("\r\n");
            }
            bytes.append("\r\n").append(request.body);
            if (!upstream || !upstream->send(bytes)) {
                return std::nullopt;
            }
            answer = upstream->receiveMessage(AnswerLimit);
        }
        // A silent connection is neither answered nor closed, also if it went silent while the store was at work.
        std::array<char, 4096> piece;
        while (isSilent(connection) && !m_isOver) {
            if (connection.receive(piece.data(), piece.size(), milliseconds(20)) == 0) {
                return std::nullopt;
            }
        }
        if (!answer) {
            return std::nullopt;
        }
        return httpResponse(answer->status(), answer->body);
    }

    const int m_target;
    std::atomic<bool> m_isOver = false;
    std::mutex m_mutex;
    std::map<unsigned long long, bool> m_isSilent; ///< By the number of the connection.
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

int main(int, char **argv)
{
    limitRun(100);
    Record record(argv[1]);
    Folder folder;
    Store store;
    Relay relay(store.port());
    store.writeDesiredState(desiredState("00000007", "pricing", true));
    Target pricing(record, "pricing", "i-price");
    Target quarry(record, "quarry", "i-quarry");
    Target quarryToo(record, "quarry", "i-quarry-2");
    Node first(folder.path(), "node-a", "pricing", pricing.port(), relay.port());
    Node second(folder.path(), "node-b", "quarry", quarry.port(), relay.port());
    Node third(folder.path(), "node-c", "quarry", quarryToo.port(), relay.port());
    if (!startOneByOne({&first, &second, &third})) {
        return ExitCouldNotRun;
    }
    pricing.startReports(first.ports().control);
    quarry.startReports(second.ports().control);
    quarryToo.startReports(third.ports().control);
    const std::array<int, 3> entries = {first.ports().outbound, second.ports().outbound, third.ports().outbound};
    for (const int port : entries) {
        if (!waitUntilServed(port, {.host = "price.example", .path = "/price/list"}, milliseconds(15'000))) {
            return ExitCouldNotRun;
        }
    }
    sleepMs(6000);
    store.writeDesiredState(desiredState("00000009", "pricing", true));
    record.add("operator: version 00000009 acknowledged, the same routes");
    sleepMs(1000);
    if (hasTrouble()) {
        const std::size_t count = relay.silenceOpenConnections();
        record.add("connections to the store that went silent: " + std::to_string(count));
    }
    sleepMs(ChangeAfterSilenceMs);
    store.writeDesiredState(desiredState("0000000c", "quarry", false));
    const long long ackMs = nowMs();
    record.add("operator: version 0000000c acknowledged: price goes to quarry, ledger is dropped");

    int old = 0;
    int sent = 0;
    while (nowMs() < ackMs + PlayMs) {
        for (const int port : entries) {
            for (const std::string name : {"price", "ledger"}) {
                std::string host = name;
                host.append(".example");
                std::string path = "/";
                path.append(name).append("/list");
                const ClientRequest request{.host = std::move(host), .path = std::move(path), .attempt = newAttempt()};
                const long long sentMs = nowMs();
                const auto answer = send(port, request, milliseconds(1500));
                const std::string instance = answer ? answer->header("Fescuepond-Instance-Id") : std::string();
                const bool isOld = answer && answer->status() == 200 && instance == "i-price";
                const bool isJudged = sentMs > ackMs + ConfigMs;
                sent += isJudged ? 1 : 0;
                old += isJudged && isOld ? 1 : 0;
                std::string line = "client: ";
                line.append(name).append(" ").append(request.attempt).append(", sent ");
                line.append(std::to_string(sentMs - ackMs)).append(" ms after the ack -> ");
                line.append(answer ? std::to_string(answer->status()) : "nothing").append(" ").append(instance);
                record.add(line);
            }
        }
        sleepMs(200);
    }
    const std::string summary = "requests sent later than config_s after the ack: " + std::to_string(sent)
        + ", handled as only the older version allows: " + std::to_string(old);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    relay.stop();
    store.stop();
    return old > 0 ? ExitBroken : ExitHeld;
}
