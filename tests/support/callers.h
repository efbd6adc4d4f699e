// Caller threads that keep a small fleet busy, and counts of how their requests ended.
//
// A caller holds one keep-alive connection. It goes on to the next node when an answer closes the connection, when the
// connection was closed while it was idle, or when a node takes no connections; none of these is a request cut off.

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

/// How the requests of all callers ended.
struct CallCounts {
    int answered = 0; ///< Status 200.
    int cut = 0; ///< Sent, but no whole answer came.
    std::map<std::string, int> failed; ///< By status, outcome and reason.
    std::chrono::steady_clock::time_point lastFailure; ///< When a request last was cut or failed.

    int failedTotal() const;
    std::string toString() const;
};

class Callers
{
public:
    /// Starts `threads` callers that send `call` to the addresses, each with a pause between its requests.
    Callers(HttpCall call, std::vector<std::string> addresses, int threads, std::chrono::milliseconds pause);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void setAddresses(std::vector<std::string> addresses);
    CallCounts counts() const;
    /// Ends the callers after their current request.
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
