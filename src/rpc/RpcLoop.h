#pragma once

#include <functional>
#include <future>
#include <kj/async-io.h>
#include <mutex>
#include <thread>
#include <vector>

namespace banyanlock
{

/// A thread that runs KJ's event loop, with a queue through which other threads post work to it.
class RpcLoop
{
public:
    /// Work that runs on the loop's thread.
    using Work = std::function<void(kj::AsyncIoContext &)>;

    /// Starts the thread.
    RpcLoop();

    /// Stops the loop and joins its thread.
    ~RpcLoop();

    RpcLoop(const RpcLoop &) = delete;
    RpcLoop &operator=(const RpcLoop &) = delete;

    /// Queues work; thread-safe. Work that is posted after stop() is discarded.
    /// @param work Runs on the loop's thread.
    void post(Work work);

    /// Stops the loop after the work queued so far, and joins its thread; `cleanUp` runs last, on the loop's thread.
    /// @param cleanUp Frees the objects that are bound to the loop.
    void stop(std::function<void()> cleanUp);

private:
    void run();
    // Moves the queued work into `work`. If there is none, sets `wakePromise`, which post() or stop() fulfills.
    // Returns false once the loop is to stop.
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
