// A program started by a test. It is ended, by its own id, when the object goes away.

#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond::test
{

class Process
{
public:
    /// Starts a program with its standard output and error in one file.
    Process(const std::string &program, const std::vector<std::string> &arguments, std::string outputFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const
    {
        return m_id;
    }
    void signal(int number) const;
    /// Stops the process with SIGSTOP and waits until none of its threads runs any more: the signal takes effect only
    /// once one of them was scheduled, which takes a while on a busy machine.
    void pause() const;
    /// The exit code, or nothing when it has not ended after `limit`. A process that was killed gives 128 + signal.
    std::optional<int> wait(std::chrono::milliseconds limit);
    std::string output() const;
    /// Waits until a line of the output holds `text` and returns that line; an empty string after ten seconds.
    std::string waitForLine(const std::string &text) const;

private:
    pid_t m_id = -1;
    std::optional<int> m_exitCode;
    const std::string m_outputFile;
};

/// The value of `key` in a line of key=value pairs.
std::string valueIn(const std::string &line, const std::string &key);

} // namespace fescuepond::test
