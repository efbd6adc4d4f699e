// The thread that runs KJ's event loop.

#include "modules/peer/eventloop.h"

#include <kj/async.h>

namespace fescuepond
{

EventLoop::EventLoop() = default;

EventLoop::~EventLoop() noexcept
{
    stop([] {});
}

void EventLoop::start(Task onStart)
{
    m_thread = std::thread([this, onStart = std::move(onStart)] {
        run(onStart);
    });
}

void EventLoop::post(Task task)
{
    m_mailbox.locked([&](Mailbox &mailbox) {
        if (mailbox.m_isStopped) {
            return;
        }
        mailbox.m_tasks.push_back(std::move(task));
        if (mailbox.m_wake) {
            mailbox.m_wake->fulfill();
            mailbox.m_wake = nullptr;
        }
    });
}

void EventLoop::stop(Task onStop)
{
    if (!m_thread.joinable()) {
        return;
    }
    post(std::move(onStop));
    m_mailbox.locked([](Mailbox &mailbox) {
        mailbox.m_isStopped = true;
        if (mailbox.m_wake) {
            mailbox.m_wake->fulfill();
            mailbox.m_wake = nullptr;
        }
    });
    m_thread.join();
}

void EventLoop::run(const Task &onStart)
{
    auto io = kj::setupAsyncIo();
    m_io = &io;
    onStart();
    serveMailbox().wait(io.waitScope);
}

kj::Promise<void> EventLoop::serveMailbox()
{
    std::deque<Task> tasks;
    bool isStopped = false;
    kj::Promise<void> wake = nullptr;
    m_mailbox.locked([&](Mailbox &mailbox) {
        tasks.swap(mailbox.m_tasks);
        isStopped = mailbox.m_isStopped;
        if (tasks.empty() && !isStopped) {
            auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
            mailbox.m_wake = kj::mv(pair.fulfiller);
            wake = kj::mv(pair.promise);
        }
    });
    if (!tasks.empty()) {
        for (const Task &task : tasks) {
            task();
        }
        return kj::evalLater([this] {
            return serveMailbox();
        });
    }
    if (isStopped) {
        return kj::READY_NOW;
    }
    return wake.then([this] {
        return serveMailbox();
    });
}

} // namespace fescuepond
