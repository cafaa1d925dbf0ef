#pragma once

#include "http/HttpServer.h"
#include "runtime/HttpClient.h"
#include "runtime/LoopHttp.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace review
{

/// Resources of an executor or a task.
struct Room {
    std::int64_t cpu = 0; ///< In thousandths of a core.
    std::int64_t memMb = 0; ///< Memory.
    std::int64_t gpu = 0; ///< Accelerators.
};

/// What a task does once it runs; looked up by its name.
struct TaskNature {
    banyanlock::Duration work{}; ///< How long it works.
    bool fails = false; ///< It, or the first member of its gang, ends `failed` after its work.
    Room room; ///< What it holds.
    std::uint32_t members = 1; ///< Tasks of its gang.
    banyanlock::Duration step{}; ///< How much longer each task works than the one before it, up to the hundredth.
};

/// One start of a task, as the executor saw it.
struct Start {
    std::string task; ///< ID.K.STEP.INDEX.
    std::uint32_t run = 0; ///< Number of the run.
    std::string spec; ///< The text that came with the order.
    std::string executor; ///< Where.
    banyanlock::TimePoint at{}; ///< When it began.
    banyanlock::TimePoint endedAt{}; ///< When it ended.
    std::string how; ///< How it ended; empty while it runs.
    bool noted = false; ///< `lastSeen` has reached the end while no lease had lapsed since.
    bool lapsedSince = false; ///< The executor's lease lapsed after the end, before it was noted.
};

class Executor;

/// All executors of a play, with what they saw.
struct Fleet {
    std::vector<std::unique_ptr<Executor>> executors; ///< The executors.
    std::list<Start> starts; ///< All starts, in order.
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> present; ///< Members of a gang's run that are present, by gang and run.
    std::function<TaskNature(const std::string &)> nature; ///< Nature of a task, by its name.
    std::function<void(const std::string &)> record; ///< Receives a line for each start and end.
    std::string lateTask; ///< Task whose next start gets no answer and is carried out later; empty for none.
    banyanlock::TimePoint lateAt{}; ///< When that start is carried out.
};

/// An executor over HTTP as its page describes it: leases on its own clock, fencing tokens, lists of runs and ends (500 at a time). It does
/// not guard its capacity.
class Executor
{
public:
    /// @param loop Loop to run on.
    /// @param http Client for heartbeats.
    /// @param fleet All executors.
    /// @param id Its id.
    /// @param endpoint Where it accepts calls.
    /// @param control Where its heartbeats go.
    /// @param zone Its zone.
    /// @param labels Its kind and rack.
    Executor(banyanlock::EventLoop &loop, banyanlock::HttpClient &http, Fleet &fleet, std::string id, const banyanlock::Endpoint &endpoint,
             std::string control, std::string zone, std::vector<std::string> labels);

    /// @return Its id.
    const std::string &id() const
    {
        return m_id;
    }

    /// Sets what it can hold.
    /// @param room Its capacity.
    void setRoom(const Room &room)
    {
        m_room = room;
    }

    /// @return Its capacity.
    const Room &room() const
    {
        return m_room;
    }

    /// @return What its runs hold.
    Room used() const;

    /// @return Whether a run of the task is on it.
    /// @param job Id of a job.
    bool runsJob(const std::string &job) const;

    /// Crashes and starts again under the same id, with what the clock of its machine says now as the time of its birth.
    /// @param clockOffsetMs Offset of that machine's time of day, in milliseconds.
    void restart(std::int64_t clockOffsetMs);

    /// Loses power: everything is gone, and nothing is answered until `restart`.
    void losePower();

    /// Ends a run because another member of its gang has ended.
    /// @param task Name of the task.
    /// @param run Number of the run.
    void breakRun(const std::string &task, std::uint32_t run);

    /// @return Labels: kind and rack.
    const std::vector<std::string> &labels() const
    {
        return m_labels;
    }

private:
    using RunKey = std::pair<std::string, std::uint32_t>;
    struct Ended {
        std::uint64_t number = 0;
        RunKey run;
        std::string how;
        Start *start = nullptr;
    };
    struct Waiting {
        banyanlock::HttpServer::Responder respond;
        banyanlock::TimePoint until{};
    };
    struct Running {
        Start *start = nullptr;
        TaskNature nature;
        banyanlock::TimePoint wholeAt{};
        bool whole = false;
    };

    void serve(const banyanlock::ServerRequest &request, const banyanlock::HttpServer::Responder &respond);
    void start(const nlohmann::json &body, const banyanlock::HttpServer::Responder &respond);
    void stop(const nlohmann::json &body, const banyanlock::HttpServer::Responder &respond);
    void hold(const nlohmann::json &body, const banyanlock::HttpServer::Responder &respond);
    void answerHold(const banyanlock::HttpServer::Responder &respond);
    void answer(const banyanlock::HttpServer::Responder &respond, int status, nlohmann::json body) const;
    void advance(banyanlock::TimePoint now);
    void end(const RunKey &run, const std::string &how);
    void endLife();
    void breakOthers(const RunKey &run, std::uint32_t members);
    void heartbeat();
    std::int64_t clock() const;

    banyanlock::EventLoop &m_loop;
    banyanlock::LoopHttp m_http;
    Fleet &m_fleet;
    std::string m_id;
    std::string m_control;
    std::string m_address;
    std::string m_zone;
    std::vector<std::string> m_labels;
    Room m_room{128'000, 262'144, 8};
    std::int64_t m_born = 0;
    banyanlock::TimePoint m_bornAt{};
    std::uint64_t m_sequence = 0;
    std::int64_t m_leaseEnd = 0;
    bool m_lapsed = false;
    bool m_dark = false;
    banyanlock::TimePoint m_nextHeartbeat{};
    std::uint64_t m_token = 0;
    std::uint64_t m_nextEnd = 1;
    std::map<RunKey, Running> m_running;
    std::map<std::string, std::uint32_t> m_closed;
    std::list<Ended> m_ends;
    std::list<Waiting> m_waiting;
    std::list<banyanlock::HttpServer::Responder> m_unanswered; // kept, since a dropped one would close its connection
    banyanlock::Counters m_counters;
    banyanlock::HttpServer m_server;
};

} // namespace review
