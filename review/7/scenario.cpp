// A departure that a node has acknowledged is undone by a late report once the node has been restarted.
//
// The target beside the node north-1 deregisters, goes on serving for LeavingTime and exits. With the disruption, the
// node is killed and started again after it has acknowledged this, and the target's last report before it arrives late;
// without it, neither. Clients on another machine place orders all the while.

#include "review/support-2/harness.h"

#include <atomic>
#include <csignal>
#include <cstdio>

namespace
{

using namespace review;

constexpr double DrainBound = 2; ///< bounds.drain_s
constexpr double StableWindow = 3; ///< bounds.stable_window_s
constexpr double WarmUp = 3;
constexpr double KillDelay = 0.5; ///< After the acknowledgement.
constexpr double RestartDelay = 0.3;
constexpr double ReportDelay = 3; ///< How late the report is.
constexpr double LeavingTime = 9; ///< From the acknowledgement to the target's exit.
constexpr double TimeAfterExit = 2;
constexpr int Clients = 4;
constexpr double WorkTime = 0.11; ///< The mean of order-place in the site file.
constexpr double OrderPause = 0.2;
constexpr int DeadlineMs = 2000;

struct Order {
    double sentAt;
    int status;
};

/// What was sent and what reached the target that leaves.
class Journal
{
public:
    void sent(const std::string &attempt, const Order &order)
    {
        const std::lock_guard guard(m_mutex);
        m_orders[attempt] = order;
    }
    void arrived(const std::string &attempt)
    {
        const std::lock_guard guard(m_mutex);
        m_arrivals[attempt] = elapsed();
    }
    /// Counts orders that reached the target later than `bound`, of those sent later than `inTouchAt`.
    std::pair<int, int> lateAndFailed(double bound, double inTouchAt)
    {
        const std::lock_guard guard(m_mutex);
        int late = 0;
        int failed = 0;
        for (const auto &[attempt, arrivedAt] : m_arrivals) {
            const auto order = m_orders.find(attempt);
            const bool isLate = order != m_orders.end() && arrivedAt > bound && order->second.sentAt > inTouchAt;
            late += isLate ? 1 : 0;
            failed += isLate && order->second.status != 200 ? 1 : 0;
        }
        return {late, failed};
    }

private:
    std::mutex m_mutex;
    std::map<std::string, Order> m_orders;
    std::map<std::string, double> m_arrivals;
};

void placeOrders(int port, const std::atomic<bool> &hasEnded, Record &record, Journal &journal)
{
    while (!hasEnded) {
        sleepFor(OrderPause);
        const auto connection = Connection::open(port);
        if (!connection) {
            continue;
        }
        const std::string attempt = newAttemptId();
        const double sentAt = elapsed();
        connection->send(requestHead("POST", "/order/1", attempt, DeadlineMs, "Content-Length: 5\r\n") + "order");
        const int status = connection->receive(DeadlineMs / 1000.0).status;
        journal.sent(attempt, {sentAt, status});
        record.line("order " + attempt + " sent at " + std::to_string(sentAt) + " status " + std::to_string(status));
    }
}

[[noreturn]] void run(const Arguments &arguments)
{
    Record record(arguments.recordPath);
    Store store(arguments.programs, arguments.folder);
    store.publish({{"r-order", "/order/", "unsafe", DeadlineMs / 1000.0, "orders"}}, {"orders", "desk"});
    std::vector<Machine> machines;
    machines.push_back(startMachine("north-1", "orders", "north", store, arguments.folder));
    machines.push_back(startMachine("south-1", "orders", "south", store, arguments.folder));
    machines.push_back(startMachine("north-2", "desk", "north", store, arguments.folder));
    Journal journal;
    Target &leaving = *machines.front().target;
    Node &node = *machines.front().node;
    leaving.onArrival = [&](const Target::Request &request) {
        journal.arrived(request.attempt);
        record.line("order " + request.attempt + " reaches the target that leaves");
    };
    for (const Machine &machine : machines) {
        machine.target->workSeconds = WorkTime;
    }
    waitUntilReady(machines);

    std::atomic<bool> hasEnded = false;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&] {
            placeOrders(machines.back().node->entryPort(), hasEnded, record, journal);
        });
        // So that the clients' orders don't run at the same moments.
        sleepFor((WorkTime + OrderPause) / Clients);
    }
    sleepFor(WarmUp);
    leaving.stopReports();
    const std::string lastReport = leaving.nextReport();
    if (!arguments.hasTrouble) {
        leaving.sendReport(lastReport);
    }
    // A target leaves when it has nothing to do.
    while (leaving.running() > 0) {
        sleepFor(0.001);
    }
    if (!leaving.deregister()) {
        giveUp("the node doesn't acknowledge that its target leaves");
    }
    const double acknowledgedAt = elapsed();
    record.line("the node has acknowledged that its target leaves");
    double startedAt = acknowledgedAt;
    if (arguments.hasTrouble) {
        sleepFor(KillDelay);
        node.process().signal(SIGKILL);
        node.process().wait();
        sleepFor(RestartDelay);
        node.start();
        startedAt = elapsed();
        record.line("the node was killed and is started again");
        sleepFor(acknowledgedAt + ReportDelay - elapsed());
        record.line(std::string("the late report arrives: ")
                    + (leaving.sendReport(lastReport) ? "acknowledged" : "not acknowledged"));
    }
    sleepFor(acknowledgedAt + LeavingTime - elapsed());
    leaving.end();
    record.line("the target exits");
    sleepFor(TimeAfterExit);
    hasEnded = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const auto [late, failed] = journal.lateAndFailed(acknowledgedAt + DrainBound, startedAt + StableWindow);
    const std::string summary = std::to_string(late) + " orders reached the target later than drain_s after the ack, "
        + std::to_string(failed) + " of these were not answered with 200";
    record.line(summary);
    record.line(late > 0 ? "rule broken" : "rule held");
    std::printf("%s: %s\n", late > 0 ? "rule broken" : "rule held", summary.c_str());
    finish(late > 0 ? RuleBroken : RuleHeld);
}

} // namespace

int main(int argc, char **argv)
{
    run(parseArguments(argc, argv));
}
