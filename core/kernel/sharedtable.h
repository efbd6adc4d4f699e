// A table that several workers share. Its content is reached only under its lock, whose place in the lock order is
// part of its declaration.

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

    /// Runs `function` on the content under the lock and returns what it returns.
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
