#pragma once

#include "RowsModel.h"
#include "core/Random.h"
#include "http/HttpServer.h"

#include <list>
#include <map>
#include <string>

namespace banyanlock
{

/// Faults of the platform's store, as a whole.
struct RowsFaults {
    bool down = false; ///< It answers nobody.
    bool busy = false; ///< It turns everybody away.
    double lostAnswers = 0.0; ///< Share of transactions that take effect without an answer.
    double lateWrites = 0.0; ///< Share of transactions that take effect seconds later, without an answer.
    Duration delay{}; ///< Time that each answer takes longer.
};

/// The users' platform's store over HTTP, as their page describes it, on rows in memory.
class RowsServer
{
public:
    /// @param loop Loop to run on.
    /// @param endpoint Where it listens.
    /// @param random Which answers are lost.
    RowsServer(EventLoop &loop, const Endpoint &endpoint, Random &random);

    /// @return The rows.
    RowsModel &rows()
    {
        return m_rows;
    }

    /// @return The faults that are set.
    RowsFaults &faults()
    {
        return m_faults;
    }

    /// Writes a row as the operator, which faults do not touch.
    /// @param table Table of the row.
    /// @param key Key of the row.
    /// @param value Value of the row.
    void write(const std::string &table, const std::string &key, const std::string &value);

    /// Has a row kept under another key than the one that its writer gives.
    /// @param key Key that the writer gives.
    /// @param alias Key that the row is kept under.
    void setAlias(const std::string &key, const std::string &alias)
    {
        m_aliases[key] = alias;
    }

    /// Drops the history of changes.
    void forgetHistory()
    {
        m_rows.historyFrom = m_rows.version;
    }

private:
    struct Follower {
        std::string table;
        std::uint64_t after = 0;
        TimePoint until{};
        HttpServer::Responder respond;
    };

    void serve(const ServerRequest &request, const HttpServer::Responder &respond);
    void commit(const ServerRequest &request, const HttpServer::Responder &respond);
    ServerResponse read(const ServerRequest &request) const;
    void answer(const HttpServer::Responder &respond, ServerResponse response);
    void answerFollowers(TimePoint now);

    EventLoop &m_loop;
    Random &m_random;
    Counters m_counters;
    RowsModel m_rows;
    RowsFaults m_faults;
    std::map<std::string, std::string> m_aliases;
    std::list<Follower> m_followers;
    HttpServer m_server;
};

} // namespace banyanlock
