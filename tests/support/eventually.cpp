// Polls a condition until it holds or a time limit has passed.

#include "tests/support/eventually.h"

#include <thread>

namespace fescuepond::test
{

namespace
{
constexpr std::chrono::milliseconds PollInterval(20);
} // namespace

bool eventually(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace fescuepond::test
