// `fescuepond explain`: assembles the trace of one request from the logs of any number of nodes.

#include "core/verbs/verb.h"
#include "servers/explanation/requesttrace.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace fescuepond
{

namespace
{

void readLines(std::istream &stream, LogLines &lines)
{
    std::string text;
    while (std::getline(stream, text)) {
        if (auto line = parseLogLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
}

Result<LogLines> readLogs(const Arguments &files)
{
    LogLines lines;
    if (files.empty()) {
        readLines(std::cin, lines);
    }
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            return failure(fmt::format("can't read '{}'", file));
        }
        readLines(stream, lines);
    }
    return lines;
}

void print(const RequestTrace &trace)
{
    for (std::size_t i = 0; i < trace.lines().size(); ++i) {
        fmt::print("{} {}\n", trace.decidingLine() == i ? '>' : ' ', trace.lines()[i].text());
    }
    fmt::print("cause: {}\n", trace.cause());
    if (!trace.isComplete()) {
        fmt::print("incomplete: lines are missing; give the logs of all nodes, and look for log_lines_suppressed\n");
    }
}

ExitCode run(const Arguments &arguments)
{
    if (arguments.empty()) {
        fmt::print(stderr, "usage: fescuepond explain ID [FILE...]\n");
        return ExitCode::Usage;
    }
    return reportFindings([&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(lines, readLogs(Arguments(arguments.begin() + 1, arguments.end())));
        const RequestTrace trace = traceRequest(lines, arguments.front());
        print(trace);
        return trace.isComplete() ? ExitCode::Done : ExitCode::Findings;
    });
}

const VerbRegistration
    registration({"explain",
                  "ID [FILE...]",
                  "Traces the request with this attempt id in logs and prints the cause of its outcome.",
                  {},
                  run});

} // namespace

} // namespace fescuepond
