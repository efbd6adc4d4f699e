// Processor time, memory and thread count of a running process, from /proc.

#include "benchmarks/support/processusage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace fescuepond::benchmark
{

namespace
{

// Indexes, from 0, of the fields of /proc/PID/stat that follow the command name; see proc(5).
constexpr std::size_t UserTimeField = 11;
constexpr std::size_t SystemTimeField = 12;
constexpr std::size_t ThreadsField = 17;
constexpr std::size_t ResidentPagesField = 21;
constexpr double BytesPerMegabyte = 1e6;

} // namespace

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
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto pageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
    ProcessUsage usage;
    usage.processorSeconds = (std::stod(fields.at(UserTimeField)) + std::stod(fields.at(SystemTimeField))) / ticks;
    usage.residentMegabytes = std::stod(fields.at(ResidentPagesField)) * pageBytes / BytesPerMegabyte;
    usage.threads = std::stoi(fields.at(ThreadsField));
    return usage;
}

} // namespace fescuepond::benchmark
