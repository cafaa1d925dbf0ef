#include "rpc/RpcLoop.h"

#include <utility>

namespace banyanlock
{

RpcLoop::RpcLoop()
{
    m_thread = std::thread([this] {
        run();
    });
}

RpcLoop::~RpcLoop()
{
    stop([] {
    });
}

void RpcLoop::post(Work work)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return;
    }
    m_work.push_back(std::move(work));
    if (m_sleeping) {
        m_sleeping = false;
        m_wake->fulfill();
    }
}

void RpcLoop::stop(std::function<void()> cleanUp)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_cleanUp = std::move(cleanUp);
        if (m_sleeping) {
            m_sleeping = false;
            m_wake->fulfill();
        }
    }
    m_thread.join();
}

bool RpcLoop::takeWork(std::vector<Work> &work, kj::Own<kj::CrossThreadPromiseFulfiller<void>> &wake)
{
    const std::lock_guard lock(m_mutex);
    work.swap(m_work);
    if (work.empty() && !m_stopping) {
        m_wake = kj::mv(wake);
        m_sleeping = true;
    }
    return !m_stopping;
}

void RpcLoop::run()
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    bool running = true;
    while (running) {
        std::vector<Work> work;
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        running = takeWork(work, wake.fulfiller);
        if (running && work.empty()) {
            wake.promise.wait(io.waitScope);
            continue;
        }
        for (Work &item : work) {
            item(io);
        }
        io.waitScope.poll();
    }
    m_cleanUp();
}

} // namespace banyanlock
