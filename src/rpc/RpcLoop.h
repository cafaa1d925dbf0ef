#pragma once

#include <functional>
#include <future>
#include <kj/async-io.h>
#include <mutex>
#include <thread>
#include <vector>

namespace banyanlock
{

/// A thread with KJ's event loop and a queue of work for it.
class RpcLoop
{
public:
    /// Work that runs on the loop's thread.
    using Work = std::function<void(kj::AsyncIoContext &)>;

    /// Starts the thread.
    RpcLoop();

    /// Ends the thread.
    ~RpcLoop();

    RpcLoop(const RpcLoop &) = delete;
    RpcLoop &operator=(const RpcLoop &) = delete;

    /// Queues work. Safe from every thread.
    /// @param work What to run.
    void post(Work work);

    /// Stops the loop after what has been queued; `cleanUp` runs last, on the loop's thread.
    /// @param cleanUp Frees what belongs to the loop.
    void stop(std::function<void()> cleanUp);

private:
    void run();
    bool takeQueuedWork(std::vector<Work> &work, kj::Maybe<kj::Promise<void>> &wakePromise);

    std::mutex m_mutex;
    std::vector<Work> m_work;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wakeFulfiller;
    bool m_sleeping = false;
    bool m_stopping = false;
    std::function<void()> m_cleanUp;
    std::thread m_thread;
};

} // namespace banyanlock
