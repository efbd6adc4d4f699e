// Results as CSV, as the table of targets, and as SVG plots.

#pragma once

#include "benchmarks/experiment/result.h"

#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// One line for each kind of each run, with a head line.
std::string toCsv(const std::vector<RunResult> &results);
/// One line for each graph, case and policy: the mean over the seeds and the spread.
std::string toTable(const std::vector<RunResult> &results);
/// The results that a CSV text of toCsv() holds, without the slices of time.
std::vector<RunResult> fromCsv(const std::string &text);
/// Bars of goodput in part of the ideal, for each case and policy of one graph: the mean, and the spread as a line.
std::string toSvg(const std::vector<RunResult> &results, const std::string &graph);

} // namespace fescuepond::experiment
