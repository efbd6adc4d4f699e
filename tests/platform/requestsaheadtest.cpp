// Requests that a client sends on a connection before the response to the one before them. Guards against responses out
// of order, against requests that are run though they stand behind a response that closes the connection, against a
// client whose disconnect isn't noticed behind them, and against deadlines that start only when a request is read.

#include "tests/platform/fleetenvironment.h"
#include "tests/support/rawconnection.h"

#include <gtest/gtest.h>

#include <csignal>

namespace fescuepond::test
{

namespace
{

class RequestsAhead : public FleetEnvironment
{
protected:
    RequestsAhead()
    {
        EXPECT_EQ(report(1, "ready").status, 200);
    }

    /// The attempt identifiers of the responses in `received`, in order.
    static std::vector<std::string> attemptsIn(const std::string &received)
    {
        constexpr std::string_view Name = "fescuepond-attempt-id: ";
        std::vector<std::string> attempts;
        for (auto at = received.find(Name); at != std::string::npos; at = received.find(Name, at)) {
            at += Name.size();
            attempts.push_back(received.substr(at, received.find('\r', at) - at));
        }
        return attempts;
    }
};

} // namespace

TEST_F(RequestsAhead, ResponsesComeInTheOrderOfTheRequests)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 50;
    std::string requests;
    std::vector<std::string> attempts;
    for (int i = 0; i < 8; ++i) {
        attempts.push_back("a" + std::to_string(i));
        requests += requestBytes("/read/" + std::to_string(i), attempts.back());
    }
    // Cut inside a request, so that a part of it is held until the rest arrives.
    connection.send(requests.substr(0, requests.size() / 2));
    std::this_thread::sleep_for(milliseconds(20));
    connection.send(requests.substr(requests.size() / 2));
    connection.receiveUntil("attempt-id: a7", MaxWait);
    EXPECT_EQ(attemptsIn(connection.received()), attempts);
}

TEST_F(RequestsAhead, TheyDoNotWaitForEachOther)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 500;
    std::string requests;
    std::vector<std::string> attempts;
    for (int i = 0; i < 4; ++i) {
        attempts.push_back("a" + std::to_string(i));
        requests += requestBytes("/read/" + std::to_string(i), attempts.back());
    }
    connection.send(requests);
    EXPECT_TRUE(eventually(milliseconds(450), [this] {
        return m_target.m_requests == 4;
    }));
    connection.receiveUntil("attempt-id: a3", MaxWait);
    EXPECT_EQ(attemptsIn(connection.received()), attempts);
}

TEST_F(RequestsAhead, AResponseWaitsForTheOnesBeforeIt)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 700;
    connection.send(requestBytes("/read/slow", "slow"));
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_requests == 1;
    }));
    m_target.m_workTime = 0;
    connection.send(requestBytes("/read/fast", "fast") + requestBytes("/nowhere/x", "none"));
    connection.receiveUntil("HTTP/1.1 404", MaxWait);
    EXPECT_EQ(attemptsIn(connection.received()), (std::vector<std::string>{"slow", "fast"}));
    EXPECT_LT(connection.received().find("fast"), connection.received().find("HTTP/1.1 404"));
}

TEST_F(RequestsAhead, NothingIsRunBehindARequestThatMayChangeSomething)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 500;
    connection.send(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: b1\r\n"
        "Fescuepond-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"
        + requestBytes("/read/x", "a1"));
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(m_target.m_requests, 1);
    connection.receiveUntil("attempt-id: a1", MaxWait);
    EXPECT_EQ(attemptsIn(connection.received()), (std::vector<std::string>{"b1", "a1"}));
}

TEST_F(RequestsAhead, CallerThatWaitsToSendItsBodyIsNotToldSoInsideAnotherResponse)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 400;
    connection.send(requestBytes("/read/x", "a1")
                    + "POST /read/y HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: a2\r\n"
                      "Fescuepond-Deadline-Ms: 1500\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(200));
    connection.receiveMoreThan(0, milliseconds(0));
    EXPECT_EQ(connection.received(), "");
    connection.send("body");
    connection.receiveUntil("attempt-id: a2", MaxWait);
    EXPECT_TRUE(connection.received().starts_with("HTTP/1.1 200")) << connection.received();
    EXPECT_EQ(attemptsIn(connection.received()), (std::vector<std::string>{"a1", "a2"}));
}

TEST_F(RequestsAhead, MoreThanAreHeldAreServedToo)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 200;
    const std::string padding(30'000, 'x');
    std::vector<std::string> attempts = {"a0"};
    connection.send(requestBytes("/read/0", "a0"));
    std::this_thread::sleep_for(milliseconds(50));
    for (int i = 1; i < 6; ++i) {
        attempts.push_back("a" + std::to_string(i));
        const std::string head = "POST /read/x HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: " + attempts.back()
            + "\r\nFescuepond-Deadline-Ms: 5000\r\nContent-Length: 30000\r\n\r\n";
        connection.send(head + padding);
    }
    connection.receiveUntil("attempt-id: a5", MaxWait);
    EXPECT_EQ(attemptsIn(connection.received()), attempts);
}

TEST_F(RequestsAhead, ClientThatLeavesIsNoticedBehindThem)
{
    m_target.m_holdsRequests = true;
    {
        RawConnection connection(m_entry);
        // The second request waits for this one.
        connection.send(
            "POST /read/x HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: a1\r\n"
            "Fescuepond-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody");
        EXPECT_TRUE(eventually(MaxWait, [this] {
            return m_target.m_requests == 1;
        }));
        connection.send(requestBytes("/read/y", "a2", 20'000));
        std::this_thread::sleep_for(milliseconds(100));
    }
    EXPECT_TRUE(eventually(milliseconds(1000), [this] {
        return m_target.m_wasDisconnected.load();
    }));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(m_target.m_requests, 1) << "a request of a client that had left was sent on";
}

TEST_F(RequestsAhead, TheirDeadlinesStartWhenTheyArrive)
{
    RawConnection connection(m_entry);
    m_target.m_workTime = 800;
    // The second request waits for this one.
    connection.send(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: b1\r\n"
        "Fescuepond-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody");
    std::this_thread::sleep_for(milliseconds(100));
    connection.send(requestBytes("/read/y", "a2", 1500));
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_requests == 2;
    }));
    EXPECT_LE(std::stoi(m_target.header("Fescuepond-Deadline-Ms")), 1500 - 600);
}

TEST_F(RequestsAhead, RequestsBehindAResponseThatClosesAreNotRunAndTheResponseArrives)
{
    m_target.m_workTime = 600;
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 4; ++i) {
        connections.push_back(std::make_unique<RawConnection>(m_entry));
        connections.back()->send(requestBytes("/read/x", "first" + std::to_string(i)));
    }
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_requests == 4;
    }));
    m_node->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto &connection : connections) {
        for (int i = 0; i < 20; ++i) {
            connection->send(requestBytes("/read/behind", "behind"));
        }
    }
    for (std::size_t i = 0; i < connections.size(); ++i) {
        EXPECT_TRUE(connections[i]->isClosedWithin(MaxWait));
        EXPECT_EQ(attemptsIn(connections[i]->received()), std::vector<std::string>{"first" + std::to_string(i)});
    }
    EXPECT_EQ(m_target.m_requests, 4);
}

} // namespace fescuepond::test
