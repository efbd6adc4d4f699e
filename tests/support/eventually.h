// Waits for a condition that other processes bring about.

#pragma once

#include <chrono>
#include <functional>

namespace fescuepond::test
{

/// Polls `condition` until it holds; returns false if it does not within `limit`.
bool eventually(std::chrono::milliseconds limit, const std::function<bool()> &condition);

} // namespace fescuepond::test
