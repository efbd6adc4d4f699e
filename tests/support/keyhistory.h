// Checks a history of requests that must run at most once.
//
// Compares the outcomes that callers received for each key with the executions in the journals of the backend
// stand-ins. The body of a request is its key, so that the "begin" line of a journal names the key that was run.

#pragma once

#include "tests/support/fleet.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace fescuepond::test
{

class KeyHistory
{
public:
    /// Records one submission of `key` and the reply that its caller received. Thread-safe.
    void recordSubmission(const std::string &key, const HttpReply &reply);

    /// Describes each violation of the history in one sentence. Violations are: a key was run more than once; an
    /// answered key was not run exactly once; a key was run although every submission had the outcome "not-run"; the
    /// last submission of a key has no outcome; two answers to one key differ.
    std::vector<std::string> violations(const std::vector<const FleetNode *> &nodes) const;

    /// Number of submissions by outcome; the outcome is empty if the caller timed out.
    std::map<std::string, int> outcomes() const;

private:
    struct Key {
        std::map<std::string, int> m_outcomes;
        std::string m_lastOutcome;
        std::set<std::string> m_answers; ///< Distinct bodies of the replies with outcome "answered".
    };

    void check(const std::string &name, const Key &key, int executions, std::vector<std::string> &found) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Key> m_keys;
};

/// Number of executions at the backend stand-ins of `nodes`, by request body.
std::map<std::string, int> executionsByBody(const std::vector<const FleetNode *> &nodes);

} // namespace fescuepond::test
