// A table shared by several worker threads. Its content can be accessed only under its lock, whose rank in the lock
// order is given on construction.

#pragma once

#include "core/kernel/lockorder.h"

#include <mutex>
#include <utility>

namespace fescuepond
{

template<typename Content>
class SharedTable
{
public:
    template<typename... Args>
    explicit SharedTable(LockRank rank, Args &&...args)
        : m_mutex(rank)
        , m_content(std::forward<Args>(args)...)
    {
    }

    /// Calls `function` with the content under the lock and returns its result.
    template<typename Function>
    decltype(auto) locked(Function &&function)
    {
        const std::lock_guard guard(m_mutex);
        return std::forward<Function>(function)(m_content);
    }

    template<typename Function>
    decltype(auto) locked(Function &&function) const
    {
        const std::lock_guard guard(m_mutex);
        return std::forward<Function>(function)(std::as_const(m_content));
    }

private:
    mutable RankedMutex m_mutex;
    Content m_content;
};

} // namespace fescuepond
