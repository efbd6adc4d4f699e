// A child process started by a test. The destructor kills it by its process id.

#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond::test
{

class Process
{
public:
    /// Starts `program`; its standard output and standard error are appended to `outputFile`.
    Process(const std::string &program, const std::vector<std::string> &arguments, std::string outputFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const
    {
        return m_id;
    }
    void signal(int number) const;
    /// Sends SIGSTOP and waits until all threads of the process have stopped. The signal takes effect only when one of
    /// the threads is scheduled, which takes a while on a busy machine.
    void pause() const;
    /// Waits until the process has exited; nullopt if it has not within `limit`. Returns the exit code, or 128 + the
    /// signal that killed the process.
    std::optional<int> wait(std::chrono::milliseconds limit);
    std::string output() const;
    /// The most memory that the process has used, in MiB; 0 if it has ended.
    std::size_t peakMemoryMb() const;
    /// Open descriptors of the process; 0 if it has ended.
    std::size_t descriptorCount() const;
    /// Waits until a line of the output contains `text` and returns that line; an empty string after ten seconds.
    std::string waitForLine(const std::string &text) const;

private:
    pid_t m_id = -1;
    std::optional<int> m_exitCode;
    const std::string m_outputFile;
};

/// While it lives, processes that are started may open `count` descriptors at most.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(std::size_t count);
    ~DescriptorLimit();
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_former{};
};

/// Returns the value of `key` in a line of key=value pairs; empty if the line has no such key.
std::string valueIn(const std::string &line, const std::string &key);

} // namespace fescuepond::test
