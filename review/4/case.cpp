// A target deregisters at a node that has just been restarted, and a liveness report of it that is late arrives after
// the acknowledgement.

#include "review/support/support.h"

#include <csignal>
#include <cstdio>

using namespace review;

namespace
{

constexpr const char *DesiredState =
    R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_s","aim_s","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-book","book.example","/book/","unsafe",1.2,3,0,null,2,"dispatch"]]},)"
    R"("services":{"columns":["name","health_path","max_connections","protocol","tls"],)"
    R"("rows":[["pricing","/health",532,"h1",false],["dispatch","/health",532,"h1",false]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
    R"("base_version":"00000005"})";

constexpr long long DrainMs = 2000;
constexpr long long StableWindowMs = 3000;
/// "A liveness report may arrive seconds late."
constexpr long long ReportDelayMs = 3000;
/// "It continues serving for drain_s after the ack and a little longer (at times many seconds)."
constexpr long long ServedAfterAckMs = 10'000;
constexpr int OrderClients = 4;
constexpr long long OrderWorkMs = 400;

struct Orders {
    std::mutex mutex;
    std::map<std::string, long long> sentMs;
    std::map<std::string, int> status; ///< 0: no answer.
};

void order(int port, Record &record, Orders &orders, const std::atomic<bool> &isOver)
{
    while (!isOver) {
        const ClientRequest request{.method = "POST",
                                    .host = "book.example",
                                    .path = "/book/truck",
                                    .attempt = newAttempt(),
                                    .deadlineMs = 1200,
                                    .body = "truck"};
        {
            const std::lock_guard guard(orders.mutex);
            orders.sentMs[request.attempt] = nowMs();
        }
        const auto answer = send(port, request, milliseconds(1700));
        const int status = answer ? answer->status() : 0;
        record.add("client: order " + request.attempt + " -> " + std::to_string(status));
        {
            const std::lock_guard guard(orders.mutex);
            orders.status[request.attempt] = status;
        }
        sleepMs(100);
    }
}

} // namespace

int main(int, char **argv)
{
    limitRun(100);
    Record record(argv[1]);
    Folder folder;
    Store store;
    store.writeDesiredState(DesiredState);
    Target pricing(record, "pricing", "i-price");
    Target dispatch(record, "dispatch", "i-dispatch");
    dispatch.setWork(OrderWorkMs);
    Node entry(folder.path(), "node-a", "pricing", pricing.port(), store.port());
    Node node(folder.path(), "node-b", "dispatch", dispatch.port(), store.port());
    if (!startOneByOne({&entry, &node})) {
        return ExitCouldNotRun;
    }
    const int control = node.ports().control;
    pricing.startReports(entry.ports().control);
    dispatch.startReports(control);
    const ClientRequest probe{.method = "POST", .host = "book.example", .path = "/book/truck", .body = "truck"};
    if (!waitUntilServed(entry.ports().outbound, probe, milliseconds(15'000))) {
        return ExitCouldNotRun;
    }
    sleepMs(4000);
    std::atomic<bool> isOver = false;
    Orders orders;
    std::vector<std::thread> clients;
    clients.reserve(OrderClients);
    for (int i = 0; i < OrderClients; ++i) {
        clients.emplace_back([&] {
            order(entry.ports().outbound, record, orders, isOver);
        });
    }
    sleepMs(1000);

    // The node beside the target is stopped and started again on its own, while the target continues running.
    dispatch.stopReports();
    long long startedMs = nowMs();
    if (hasTrouble()) {
        record.add("platform: SIGTERM to node-b");
        node.signal(SIGTERM);
        const long long killMs = nowMs() + 6000;
        while (node.isRunning() && nowMs() < killMs) {
            sleepMs(10);
        }
        node.kill();
        node.start();
        startedMs = nowMs();
        record.add("platform: node-b started again");
        if (!node.waitUntilReady(milliseconds(10'000))) {
            return ExitCouldNotRun;
        }
    }
    // The first report after the restart is late. Before it arrives, the target leaves as some targets do: it never
    // reports `draining`, but sends DELETE, goes on serving and exits later.
    const long long sequence = dispatch.lastSequence() + 1;
    record.add("i-dispatch: sends report ready, sequence " + std::to_string(sequence)
               + (hasTrouble() ? ", which is late" : ""));
    const long long reportSentMs = nowMs();
    if (!hasTrouble()) {
        dispatch.report(control, "ready", sequence);
    }
    sleepMs(200);
    if (!dispatch.deregister(control)) {
        return ExitCouldNotRun;
    }
    const long long ackMs = nowMs();
    if (hasTrouble()) {
        sleepMs(reportSentMs + ReportDelayMs - nowMs());
        dispatch.report(control, "ready", sequence);
    }
    sleepMs(ackMs + ServedAfterAckMs - nowMs());
    record.add("i-dispatch: exits");
    dispatch.stop();
    sleepMs(2000);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }

    int late = 0;
    int unanswered = 0;
    for (const Arrival &arrival : dispatch.arrivals()) {
        const bool isInTouch = orders.sentMs[arrival.attempt] > startedMs + StableWindowMs;
        if (arrival.atMs <= ackMs + DrainMs || (hasTrouble() && !isInTouch)) {
            continue;
        }
        ++late;
        unanswered += orders.status[arrival.attempt] == 200 ? 0 : 1;
    }
    const std::string summary = "orders that reached the target later than drain_s after the ack of its leaving: "
        + std::to_string(late) + ", not answered with 200: " + std::to_string(unanswered);
    record.add(summary);
    std::printf("%s\n", summary.c_str());
    return late > 0 ? ExitBroken : ExitHeld;
}
