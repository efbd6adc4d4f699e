// History checker for requests that may run at most once.
//
// Joins what callers saw of each key with what the backend servers' journals say of it. A request's body is its key, so
// a journal's "begin" line names the key that began.

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
    /// Records one submission of `key` and how it ended at its caller. May be called from several threads.
    void recordSubmission(const std::string &key, const HttpReply &reply);

    /// Everything in which the history is wrong, one sentence each:
    /// a key began more than once; an answered key did not begin exactly once; a key of which every submission was
    /// "not-run" began; the last submission of a key has no outcome at its caller; two answers to one key differ.
    std::vector<std::string> violations(const std::vector<const FleetNode *> &nodes) const;

    /// Submissions by outcome; the empty outcome is a caller's own timeout.
    std::map<std::string, int> outcomes() const;

private:
    struct Key {
        std::map<std::string, int> m_outcomes;
        std::string m_lastOutcome;
        std::set<std::string> m_answers; ///< Bodies of the answers.
    };

    void check(const std::string &name, const Key &key, int executions, std::vector<std::string> &found) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Key> m_keys;
};

/// How often each body began at the backend servers of `nodes`.
std::map<std::string, int> executionsByBody(const std::vector<const FleetNode *> &nodes);

} // namespace fescuepond::test
