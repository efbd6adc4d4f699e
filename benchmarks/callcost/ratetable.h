// Measures the cost of a call as the slope of a line fitted over several call rates, with the memory at each rate.

#pragma once

namespace fescuepond::benchmark
{

/// Measures at each rate for `seconds`, with `connections` connections, and prints the table and the fitted lines.
/// Returns the exit code of the program.
int printRateTable(int seconds, int connections, int serviceMs);

} // namespace fescuepond::benchmark
