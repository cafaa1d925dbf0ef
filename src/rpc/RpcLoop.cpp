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
        m_wakeFulfiller->fulfill();
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
            m_wakeFulfiller->fulfill();
        }
    }
    m_thread.join();
}

bool RpcLoop::takeQueuedWork(std::vector<Work> &work, kj::Maybe<kj::Promise<void>> &wakePromise)
{
    const std::lock_guard lock(m_mutex);
    work.swap(m_work);
    if (work.empty() && !m_stopping) {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_wakeFulfiller = kj::mv(wake.fulfiller);
        wakePromise = kj::mv(wake.promise);
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
        kj::Maybe<kj::Promise<void>> wakePromise;
        running = takeQueuedWork(work, wakePromise);
        KJ_IF_MAYBE (promise, wakePromise) {
            promise->wait(io.waitScope);
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
