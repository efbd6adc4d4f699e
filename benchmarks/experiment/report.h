// Writes results as CSV, as a text table and as an SVG plot, and reads the CSV back.

#pragma once

#include "benchmarks/experiment/result.h"

#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// A header line, then one line for each kind of each run.
std::string toCsv(const std::vector<RunResult> &results);
/// One line for each graph, case and policy: mean and range over the seeds.
std::string toTable(const std::vector<RunResult> &results);
/// Reads text written by toCsv(). RunResult::completedBySlice isn't part of it.
std::vector<RunResult> fromCsv(const std::string &text);
/// A bar chart for one graph: for each case and policy the mean goodput as a fraction of the ideal, and its range over
/// the seeds as a line.
std::string toSvg(const std::vector<RunResult> &results, const std::string &graph);

} // namespace fescuepond::experiment
