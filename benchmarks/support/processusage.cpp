// Processor time of a running process, from its clock, and its memory and thread count, from /proc.

#include "benchmarks/support/processusage.h"

#include <unistd.h>

#include <chrono>
#include <ctime>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace fescuepond::benchmark
{

namespace
{

// Indexes, from 0, of the fields of /proc/PID/stat that follow the command name; see proc(5).
constexpr std::size_t ThreadsField = 17;
constexpr std::size_t ResidentPagesField = 21;
constexpr double BytesPerMegabyte = 1e6;

} // namespace

double processorSecondsOf(pid_t id)
{
    clockid_t clock{};
    timespec time{};
    if (clock_getcpuclockid(id, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return 0;
    }
    const auto total = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return std::chrono::duration<double>(total).count();
}

ProcessUsage usageOf(pid_t id)
{
    std::ifstream stream("/proc/" + std::to_string(id) + "/stat");
    std::string text;
    std::getline(stream, text);
    // The command name is enclosed in parentheses and may contain any characters, parentheses too.
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    std::istringstream words(text.substr(nameEnd + 2));
    std::vector<std::string> fields;
    std::string word;
    while (words >> word) {
        fields.push_back(word);
    }
    const auto pageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
    ProcessUsage usage;
    usage.processorSeconds = processorSecondsOf(id);
    usage.residentMegabytes = std::stod(fields.at(ResidentPagesField)) * pageBytes / BytesPerMegabyte;
    usage.threads = std::stoi(fields.at(ThreadsField));
    return usage;
}

} // namespace fescuepond::benchmark
