// Waits for something that comes about in other processes.

#pragma once

#include <chrono>
#include <functional>

namespace fescuepond::test
{

/// Whether `condition` holds within `limit`; it is asked again and again until it does.
bool eventually(std::chrono::milliseconds limit, const std::function<bool()> &condition);

} // namespace fescuepond::test
