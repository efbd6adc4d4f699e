// Load generator: caller threads that send requests to a fleet in a loop and count the results.
//
// Each caller holds one keep-alive connection. It connects to the next node if a response closes the connection, if the
// connection was closed while it was idle, or if a node accepts no connection; none of these counts as an incomplete
// request.

#pragma once

#include "tests/support/fleet.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescuepond::test
{

/// Results of the requests of all callers.
struct CallCounts {
    int answered = 0; ///< Status 200.
    int incomplete = 0; ///< Requests that were sent and got no complete response.
    std::map<std::string, int> failed; ///< Keyed by status, outcome and reason.
    std::chrono::steady_clock::time_point lastFailure; ///< Time of the last incomplete or failed request.

    int failedTotal() const;
    std::string toString() const;
};

class Callers
{
public:
    /// Starts `threads` callers that send `call` to the addresses; each waits `pause` between its requests.
    Callers(HttpCall call, std::vector<std::string> addresses, int threads, std::chrono::milliseconds pause);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void setAddresses(std::vector<std::string> addresses);
    CallCounts counts() const;
    /// Stops the callers after their current request and returns the final counts.
    CallCounts stop();

private:
    void run(std::size_t number);
    std::string address(std::size_t number) const;
    void count(int status, const HttpReply &reply);

    const HttpCall m_call;
    const std::chrono::milliseconds m_pause;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_addresses;
    CallCounts m_counts;
    std::vector<std::thread> m_threads;
};

} // namespace fescuepond::test
