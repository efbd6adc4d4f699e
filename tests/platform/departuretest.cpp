// Departures that a node has acknowledged, with real processes. Guards against requests that reach a target later than
// its departure allows, since the node that acknowledged it was killed and its successor took a late report for a new
// start; and against new starts that get no work.

#include "tests/platform/fleetenvironment.h"

#include <array>
#include <cstdlib>
#include <numeric>
#include <random>
#include <vector>

namespace fescuepond::test
{

namespace
{

/// As by default: backend_drain_ms. No request reaches a target later after the acknowledgement.
constexpr auto DrainTime = seconds(2);
constexpr auto SampleInterval = milliseconds(20);
/// How long requests are sent to see that none reaches the target.
constexpr auto ObservationTime = milliseconds(1500);
/// A new start gets work this soon after its report, which leaves room for a busy machine.
constexpr auto NewStartLimit = seconds(1);
constexpr auto ReportInterval = milliseconds(500);

std::uint64_t nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

class Departure : public FleetEnvironment
{
protected:
    Departure()
        : FleetEnvironment("backend_report_interval_s: " + std::to_string(ReportInterval.count() / 1000.0) + "\n")
        , m_desk(m_fleet.addNode(
              {.name = "desk-1",
               .service = "desk",
               .zone = "a",
               .settings = {"environment: fleet", "entry_address: 127.0.0.1:0", "backend_reports: true"},
               .backendAddress = "127.0.0.1:1",
               .startsBackend = false}))
    {
        m_callers = entryOf(m_desk);
    }

    bool send(const TargetReport &report) const
    {
        return sendHttp(m_registration, reportCall(report)).status == 200;
    }

    bool deregister(const std::string &instance = "i-1") const
    {
        return sendHttp(m_registration, deregistrationCall(instance)).status == 200;
    }

    static std::string entryOf(const FleetNode &node)
    {
        return valueIn(node.process->waitForLine("event=listening listener=entry"), "address");
    }

    /// A request of a client beside the other node; returns the status of the response.
    int sendRequest(const std::string &path = "/read/x")
    {
        HttpCall call;
        call.path = path;
        call.host = "a.example";
        call.headers = {{"Fescuepond-Attempt-Id", "a1"}, {"Fescuepond-Deadline-Ms", "900"}};
        return sendHttp(callers(), call).status;
    }

    /// Whether a request reaches the target within `limit`.
    bool getsWork(std::chrono::milliseconds limit = MaxWait)
    {
        const int before = m_target.m_requests;
        return eventually(limit, [&] {
            sendRequest();
            return m_target.m_requests > before;
        });
    }

    /// Sends requests for a while; returns how many of them reach the target.
    int requestsThatReachTheTarget(std::chrono::milliseconds time = ObservationTime)
    {
        const int before = m_target.m_requests;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            sendRequest();
            std::this_thread::sleep_for(SampleInterval);
        }
        return m_target.m_requests - before;
    }

    void kill()
    {
        m_node->signal(SIGKILL);
        EXPECT_TRUE(m_node->wait(MaxWait));
    }

    void restart()
    {
        kill();
        startNode();
    }

    void setStoreAway(bool isAway)
    {
        m_fleet.setPlatformMode(isAway ? "down=1" : "up");
    }

    /// The target is ready and gets work.
    void beginServing()
    {
        ASSERT_TRUE(send(TargetReport()));
        ASSERT_TRUE(getsWork());
    }

    /// Until the time of the first departure has passed.
    static void waitForDrain()
    {
        std::this_thread::sleep_for(DrainTime);
    }

    void expectNoWork()
    {
        EXPECT_EQ(requestsThatReachTheTarget(), 0);
    }

    /// The target ends, and starts again under its name. The new start gets work at once.
    void expectWorkForANewStart()
    {
        EXPECT_TRUE(send({.sequence = 1, .born = nowMs()}));
        EXPECT_TRUE(getsWork(NewStartLimit));
    }

    std::string callers()
    {
        const std::lock_guard guard(m_mutex);
        return m_callers;
    }

    FleetNode &m_desk; ///< The node beside the clients.
    std::mutex m_mutex;
    std::string m_callers; ///< Its entry; protected by m_mutex.
};

/// How a target departs.
struct DepartureKind {
    const char *name;
    bool (*depart)(const std::function<bool(const TargetReport &)> &send, const std::function<bool()> &deregister);
};

/// So that the names of the tests don't contain addresses.
std::ostream &operator<<(std::ostream &out, const DepartureKind &kind)
{
    return out << kind.name;
}

constexpr std::array Kinds = {
    DepartureKind{"Deregisters",
                  [](const auto &, const auto &deregister) {
                      return deregister();
                  }},
    DepartureKind{"ReportsThatItDrains",
                  [](const auto &send, const auto &) {
                      return send({.state = "draining", .sequence = 10});
                  }},
};

class DepartureOfEachKind : public Departure, public testing::WithParamInterface<DepartureKind>
{
protected:
    bool depart()
    {
        return GetParam().depart(
            [this](const TargetReport &report) {
                return send(report);
            },
            [this] {
                return deregister();
            });
    }
    /// Sent before the departure.
    const TargetReport m_lateReport = {.sequence = 9};
};

} // namespace

TEST_P(DepartureOfEachKind, OutlastsAKillAtTheMomentOfTheAcknowledgement)
{
    beginServing();
    ASSERT_TRUE(depart());
    restart();
    send(m_lateReport);
    waitForDrain();
    expectNoWork();
    expectWorkForANewStart();
}

TEST_P(DepartureOfEachKind, OutlastsSeveralKillsAndLateReports)
{
    beginServing();
    ASSERT_TRUE(depart());
    for (int i = 0; i < 3; ++i) {
        restart();
        send({.sequence = 7 + i});
    }
    waitForDrain();
    expectNoWork();
    expectWorkForANewStart();
}

TEST_P(DepartureOfEachKind, OutlastsAnOutageOfTheStoreAroundTheKill)
{
    beginServing();
    ASSERT_TRUE(depart());
    setStoreAway(true);
    restart();
    send(m_lateReport);
    waitForDrain();
    expectNoWork();
    setStoreAway(false);
    expectNoWork();
    expectWorkForANewStart();
}

TEST_P(DepartureOfEachKind, OutlastsAPlannedRestart)
{
    beginServing();
    ASSERT_TRUE(depart());
    m_node->signal(SIGTERM);
    ASSERT_TRUE(m_node->wait(MaxWait));
    startNode();
    send(m_lateReport);
    waitForDrain();
    expectNoWork();
    expectWorkForANewStart();
}

TEST_P(DepartureOfEachKind, OutlastsARestoreOfTheStoreFromAnEarlierCopy)
{
    beginServing();
    m_fleet.controlPlatform("/copy");
    ASSERT_TRUE(depart());
    m_fleet.controlPlatform("/restore");
    // The node sees the new era with its next call, at the latest after the wait of a watch.
    ASSERT_FALSE(m_node->waitForLine("event=store_restored").empty());
    ASSERT_TRUE(eventually(MaxWait, [this] {
        const auto object = connectStore(m_fleet.platform(), seconds(2))->get("nodes", "yard-1");
        return !object.objects().empty() && object.objects().front().value().find("i-1") != std::string::npos;
    }));
    restart();
    send(m_lateReport);
    waitForDrain();
    expectNoWork();
    expectWorkForANewStart();
}

TEST_P(DepartureOfEachKind, IsNotAcknowledgedWhileItCannotBeStored)
{
    beginServing();
    setStoreAway(true);
    EXPECT_FALSE(depart());
    std::this_thread::sleep_for(DrainTime);
    expectNoWork();
    setStoreAway(false);
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return depart();
    }));
    restart();
    send(m_lateReport);
    expectNoWork();
    expectWorkForANewStart();
}

/// Events in an order that depends on the seed; they overlap, and clients send requests all the while.
class DepartureOrders : public Departure, public testing::WithParamInterface<unsigned>
{
protected:
    DepartureOrders()
        : m_random(GetParam())
    {
        m_clients = std::thread([this] {
            while (!m_hasEnded) {
                sendRequest();
                std::this_thread::sleep_for(SampleInterval);
            }
        });
    }
    ~DepartureOrders() override
    {
        m_hasEnded = true;
        m_clients.join();
    }

    bool chance(unsigned percent)
    {
        return m_random() % 100 < percent;
    }

    using Action = void (DepartureOrders::*)();

    void act(Action action)
    {
        (this->*action)();
        std::this_thread::sleep_for(milliseconds(m_random() % 400));
    }

    /// Events without a late report.
    std::vector<Action> randomEvents(std::size_t count)
    {
        static constexpr std::array<Action, 5> Events = {&DepartureOrders::killNode,
                                                         &DepartureOrders::stopNode,
                                                         &DepartureOrders::toggleStore,
                                                         &DepartureOrders::loseResponse,
                                                         &DepartureOrders::restartOtherNode};
        std::vector<Action> events;
        for (std::size_t i = 0; i < count; ++i) {
            events.push_back(Events.at(m_random() % Events.size()));
        }
        return events;
    }

    /// At least one restart, and two late reports, of which the last one comes after it.
    std::vector<Action> eventsAfterTheDeparture()
    {
        std::vector<Action> events = randomEvents(m_random() % 4);
        const auto insert = [&](Action action, std::size_t from) {
            const std::size_t at = from + m_random() % (events.size() - from + 1);
            events.insert(events.begin() + static_cast<std::ptrdiff_t>(at), action);
            return at;
        };
        const std::size_t restart = insert(chance(70) ? &DepartureOrders::killNode : &DepartureOrders::stopNode, 0);
        insert(&DepartureOrders::sendLateReport, restart + 1);
        insert(&DepartureOrders::sendLateReport, 0);
        return events;
    }

    void killNode()
    {
        restart();
    }
    void stopNode()
    {
        m_node->signal(SIGTERM);
        // The stop may last as long as calls in flight.
        if (chance(50) || !m_node->wait(MaxWait)) {
            kill();
        }
        startNode();
    }
    void toggleStore()
    {
        m_isAway = !m_isAway;
        setStoreAway(m_isAway);
    }
    /// The next write of the store takes effect, but its writer doesn't hear of it.
    void loseResponse()
    {
        if (!m_isAway) {
            m_fleet.setPlatformMode("lose=1");
        }
    }
    void restartOtherNode()
    {
        m_fleet.restartNode(m_desk);
        const std::string entry = entryOf(m_desk);
        const std::lock_guard guard(m_mutex);
        m_callers = entry;
    }
    void sendLateReport()
    {
        send({.sequence = 5 + m_lateReports++});
    }

    std::mt19937 m_random;
    std::atomic<bool> m_hasEnded = false;
    std::thread m_clients;
    bool m_isAway = false;
    int m_lateReports = 0;
};

TEST_P(DepartureOrders, DoNotUndoADepartureOrKeepWorkFromANewStart)
{
    ASSERT_TRUE(send(TargetReport()));
    ASSERT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_requests > 0;
    }));
    for (const Action event : randomEvents(m_random() % 3)) {
        act(event);
    }
    m_isAway = false;
    setStoreAway(false);
    const bool saysDraining = chance(50);
    ASSERT_TRUE(eventually(MaxWait, [&] {
        return saysDraining ? send({.state = "draining", .sequence = 10}) : deregister();
    }));
    const auto acknowledgedAt = std::chrono::steady_clock::now();
    for (const Action event : eventsAfterTheDeparture()) {
        act(event);
    }
    std::this_thread::sleep_until(acknowledgedAt + DrainTime);
    const int before = m_target.m_requests;
    setStoreAway(false);
    // Requests arrive again, also if the clients' node has no desired state before.
    ASSERT_TRUE(eventually(MaxWait, [this] {
        return sendRequest("/none/x") == 404;
    }));
    std::this_thread::sleep_for(ObservationTime);
    EXPECT_EQ(m_target.m_requests, before);
    EXPECT_TRUE(send({.sequence = 1, .born = nowMs()}));
    EXPECT_TRUE(eventually(MaxWait, [&] {
        return m_target.m_requests > before;
    }));
}

/// The number of seeds comes from the environment for a long run by hand.
std::vector<unsigned> seeds()
{
    constexpr unsigned SeedsInCi = 6;
    const char *text = std::getenv("FESCUEPOND_DEPARTURE_SEEDS");
    std::vector<unsigned> result(text == nullptr ? SeedsInCi : static_cast<unsigned>(std::atoi(text)));
    std::iota(result.begin(), result.end(), 1U);
    return result;
}

INSTANTIATE_TEST_SUITE_P(Seeds, DepartureOrders, testing::ValuesIn(seeds()));

INSTANTIATE_TEST_SUITE_P(Target, DepartureOfEachKind, testing::ValuesIn(Kinds), [](const auto &info) {
    return std::string(info.param.name);
});

TEST_F(Departure, ThatAProcessAcknowledgedBeforeItHeardAReportOutlastsItsKill)
{
    ASSERT_TRUE(deregister());
    restart();
    send({.sequence = 9});
    expectNoWork();
    expectWorkForANewStart();
}

TEST_F(Departure, OfAnEarlierStartDoesNotKeepWorkFromANewStartThatReportsDuringAnOutageOfTheStore)
{
    beginServing();
    ASSERT_TRUE(deregister());
    setStoreAway(true);
    restart();
    expectWorkForANewStart();
}

TEST_F(Departure, ThatNobodyAcknowledgedLeavesATargetServingAfterARestartDuringAnOutageOfTheStore)
{
    beginServing();
    setStoreAway(true);
    restart();
    for (int sequence = 2; sequence <= 5; ++sequence) {
        EXPECT_TRUE(send({.sequence = sequence}));
        std::this_thread::sleep_for(ReportInterval);
    }
    EXPECT_TRUE(getsWork(NewStartLimit));
}

TEST_F(Departure, ThatNobodyAcknowledgedLeavesATargetServingRightAfterARestart)
{
    beginServing();
    restart();
    EXPECT_TRUE(send({.sequence = 2}));
    EXPECT_TRUE(getsWork(NewStartLimit));
}

} // namespace fescuepond::test
