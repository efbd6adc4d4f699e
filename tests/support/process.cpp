// Starts, signals and waits for a child process of a test.

#include "tests/support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace fescuepond::test
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr auto LineTimeout = std::chrono::seconds(10);
constexpr auto ExitTimeout = std::chrono::seconds(5);
constexpr int SignalExitBase = 128;
constexpr int OutputMode = 0600;

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments, std::string outputFile)
    : m_outputFile(std::move(outputFile))
{
    std::vector<char *> argv = {const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, OutputMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_id, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

Process::~Process()
{
    if (m_exitCode) {
        return;
    }
    signal(SIGKILL);
    wait(ExitTimeout);
}

void Process::signal(int number) const
{
    if (!m_exitCode) {
        ::kill(m_id, number);
    }
}

void Process::pause() const
{
    signal(SIGSTOP);
    siginfo_t state{};
    // WNOWAIT leaves an exit status to be collected by wait().
    while (::waitid(P_PID, static_cast<id_t>(m_id), &state, WSTOPPED | WEXITED | WNOWAIT) != 0 && errno == EINTR) { }
}

std::optional<int> Process::wait(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!m_exitCode) {
        int status = 0;
        if (waitpid(m_id, &status, WNOHANG) == m_id) {
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() > end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return m_exitCode;
}

std::string Process::output() const
{
    std::ifstream stream(m_outputFile);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::size_t Process::peakMemoryMb() const
{
    constexpr std::size_t KilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes / KilobytesPerMegabyte;
        }
    }
    return 0;
}

std::size_t Process::descriptorCount() const
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_id) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string Process::waitForLine(const std::string &text) const
{
    const auto end = std::chrono::steady_clock::now() + LineTimeout;
    while (std::chrono::steady_clock::now() < end) {
        std::istringstream lines(output());
        std::string line;
        while (std::getline(lines, line)) {
            if (line.find(text) != std::string::npos) {
                return line;
            }
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return {};
}

DescriptorLimit::DescriptorLimit(std::size_t count)
{
    getrlimit(RLIMIT_NOFILE, &m_former);
    const rlimit lowered = {count, m_former.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
}

DescriptorLimit::~DescriptorLimit()
{
    setrlimit(RLIMIT_NOFILE, &m_former);
}

std::string valueIn(const std::string &line, const std::string &key)
{
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        if (word.starts_with(key + "=")) {
            return word.substr(key.size() + 1);
        }
    }
    return {};
}

} // namespace fescuepond::test
