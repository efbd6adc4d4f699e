// The thread that runs KJ's event loop, with a mailbox for tasks from other threads.
//
// Cap'n Proto RPC objects may be used only on this thread, so other threads post tasks to the mailbox. The loop blocks
// in a poll system call until a task is posted or a socket is ready.

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

    /// Starts the thread; `onStart` runs on it first.
    void start(Task onStart);
    /// Runs `task` on the loop's thread. Tasks posted after stop() are dropped.
    void post(Task task);
    /// Runs the tasks posted before and then `onStop` on the loop's thread, and joins the thread.
    void stop(Task onStop);

    /// Call only on the loop's thread.
    kj::AsyncIoContext &io()
    {
        return *m_io;
    }

private:
    struct Mailbox {
        std::deque<Task> m_tasks;
        kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake; ///< Null unless the loop waits for a task.
        bool m_isStopped = false;
    };

    void run(const Task &onStart);
    kj::Promise<void> serveMailbox();

    SharedTable<Mailbox> m_mailbox{LockRank::PeerConnections};
    kj::AsyncIoContext *m_io = nullptr;
    std::thread m_thread;
};

} // namespace fescuepond
