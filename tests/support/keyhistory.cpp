// Checks a history of requests that must run at most once.

#include "tests/support/keyhistory.h"

#include <sstream>

namespace fescuepond::test
{

void KeyHistory::recordSubmission(const std::string &key, const HttpReply &reply)
{
    const std::lock_guard guard(m_mutex);
    Key &entry = m_keys[key];
    ++entry.m_outcomes[reply.outcome()];
    entry.m_lastOutcome = reply.outcome();
    if (reply.outcome() == "answered") {
        entry.m_answers.insert(reply.body);
    }
}

std::vector<std::string> KeyHistory::violations(const std::vector<const FleetNode *> &nodes) const
{
    const std::map<std::string, int> executions = executionsByBody(nodes);
    const std::lock_guard guard(m_mutex);
    std::vector<std::string> found;
    for (const auto &[name, key] : m_keys) {
        const auto count = executions.find(name);
        check(name, key, count == executions.end() ? 0 : count->second, found);
    }
    return found;
}

void KeyHistory::check(const std::string &name, const Key &key, int executions, std::vector<std::string> &found) const
{
    const std::string counted = "key " + name + " was run " + std::to_string(executions) + " times";
    const bool isAnswered = !key.m_answers.empty();
    const bool isNotRun = key.m_outcomes.size() == 1 && key.m_outcomes.contains("not-run");
    if (executions > 1) {
        found.push_back(counted);
    }
    if (isAnswered && executions != 1) {
        found.push_back(counted + " and was answered");
    }
    if (isNotRun && executions != 0) {
        found.push_back(counted + " and was reported as not run");
    }
    if (key.m_lastOutcome.empty()) {
        found.push_back("key " + name + " has no outcome: its last submission timed out");
    }
    if (key.m_answers.size() > 1) {
        found.push_back("key " + name + " has different answers");
    }
}

std::map<std::string, int> KeyHistory::outcomes() const
{
    const std::lock_guard guard(m_mutex);
    std::map<std::string, int> sum;
    for (const auto &[name, key] : m_keys) {
        for (const auto &[outcome, count] : key.m_outcomes) {
            sum[outcome] += count;
        }
    }
    return sum;
}

std::map<std::string, int> executionsByBody(const std::vector<const FleetNode *> &nodes)
{
    std::map<std::string, int> executions;
    for (const FleetNode *node : nodes) {
        for (const std::string &line : node->journalLines("begin")) {
            std::istringstream words(line);
            std::string begin;
            std::string call;
            std::string method;
            std::string path;
            std::string body;
            words >> begin >> call >> method >> path >> body;
            ++executions[body];
        }
    }
    return executions;
}

} // namespace fescuepond::test
