#pragma once

#include "RowsModel.h"
#include "http/HttpServer.h"

#include <functional>
#include <list>
#include <string>

namespace review
{

/// What the store does with calls.
enum class StoreState : std::uint8_t {
    Up, ///< It answers.
    Silent, ///< It takes calls, does nothing and answers nobody; connections stay open.
    Busy, ///< It answers 503 and does nothing.
};

/// The platform's metadata store over HTTP, with the limits of its page: 64 KB a row, 100 entries and 1 MB a transaction, 500 rows a page.
class Store
{
public:
    /// @param loop Loop to run on.
    /// @param endpoint Where it listens.
    /// @param record Receives a line for each refused transaction.
    Store(banyanlock::EventLoop &loop, const banyanlock::Endpoint &endpoint, std::function<void(const std::string &)> record);

    /// @param state What it does from now on.
    void setState(StoreState state)
    {
        m_state = state;
    }

    /// Has a row kept under another key than the one that its writer gives; used to place a proxy before an agent.
    /// @param key Key that the writer gives.
    /// @param alias Key that the row is kept under.
    void setAlias(const std::string &key, const std::string &alias)
    {
        m_aliases[key] = alias;
    }

    /// Writes a row as the operator.
    /// @param table Table of the row.
    /// @param key Key of the row.
    /// @param value Value of the row.
    void write(const std::string &table, const std::string &key, const std::string &value);

private:
    struct Follower {
        std::string table;
        std::uint64_t after = 0;
        banyanlock::TimePoint until{};
        banyanlock::HttpServer::Responder respond;
    };

    void serve(const banyanlock::ServerRequest &request, const banyanlock::HttpServer::Responder &respond);
    void answer(const banyanlock::HttpServer::Responder &respond, int status, const std::string &body);
    void commit(const banyanlock::ServerRequest &request, const banyanlock::HttpServer::Responder &respond);
    void read(const banyanlock::ServerRequest &request, const banyanlock::HttpServer::Responder &respond);
    void answerFollowers(banyanlock::TimePoint now);

    banyanlock::EventLoop &m_loop;
    std::function<void(const std::string &)> m_record;
    banyanlock::Counters m_counters;
    banyanlock::RowsModel m_rows;
    std::map<std::string, std::string> m_aliases;
    std::list<Follower> m_followers;
    std::list<banyanlock::HttpServer::Responder> m_unanswered; // kept, since a dropped one would close its connection
    StoreState m_state = StoreState::Up;
    banyanlock::HttpServer m_server;
};

} // namespace review
