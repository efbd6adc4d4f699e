// The thread that runs KJ's event loop, and how other threads reach it.
//
// Objects of Cap'n Proto RPC belong to this thread. Other threads post functions to a mailbox; the loop sleeps in the
// system's poll call until a function arrives or a socket is ready.

#pragma once

#include "core/kernel/sharedtable.h"

#include <kj/async-io.h>

#include <deque>
#include <functional>
#include <memory>
#include <thread>

namespace fescuepond
{

class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop() noexcept;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Starts the thread; `begin` runs on it first.
    void start(Task begin);
    /// Runs `task` on the loop's thread. Dropped after stop().
    void post(Task task);
    /// Runs `end` on the loop's thread, then ends it.
    void stop(Task end);

    /// Only on the loop's thread.
    kj::AsyncIoContext &io()
    {
        return *m_io;
    }

private:
    struct Mailbox {
        std::deque<Task> m_tasks;
        kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake; ///< Null while the loop is awake for the mailbox.
        bool m_stopped = false;
    };

    void run(const Task &begin);
    kj::Promise<void> serveMailbox();

    SharedTable<Mailbox> m_mailbox{LockRank::PeerConnections};
    kj::AsyncIoContext *m_io = nullptr;
    std::thread m_thread;
};

} // namespace fescuepond
