// Checks each acquisition of a lock against the locks that the thread holds.

#include "core/kernel/lockorder.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace fescuepond
{

namespace
{
// Ranks of the locks held by this thread, in order of acquisition; strictly increasing.
thread_local std::vector<LockRank> heldRanks;
}

void RankedMutex::lock()
{
    if (!heldRanks.empty() && heldRanks.back() >= m_rank) {
        std::fprintf(stderr,
                     "event=lock_order_violated held=%d wanted=%d\n",
                     static_cast<int>(heldRanks.back()),
                     static_cast<int>(m_rank));
        std::abort();
    }
    m_mutex.lock();
    heldRanks.push_back(m_rank);
}

void RankedMutex::unlock()
{
    heldRanks.pop_back();
    m_mutex.unlock();
}

void RankedMutex::beforeWait() const
{
    heldRanks.pop_back();
}

void RankedMutex::afterWait() const
{
    heldRanks.push_back(m_rank);
}

} // namespace fescuepond
