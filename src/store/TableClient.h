#pragma once

#include "core/Counters.h"
#include "core/TableTypes.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <string>
#include <vector>

namespace banyanlock
{

/// Client of the platform's table service (JSON over HTTP). Callbacks run on the event loop.
class TableClient
{
public:
    /// @param url URL of the service.
    /// @param loop Event loop on which callbacks run.
    /// @param http Client that performs the exchanges.
    /// @param counters Counters of reads, writes, conflicts and failures.
    TableClient(std::string url, EventLoop &loop, HttpClient &http, Counters &counters);

    /// Commits a transaction.
    /// @param transaction Row version checks, and the writes to apply if all of them hold.
    /// @param callback Called once with the result.
    void commit(const TableTransaction &transaction, std::function<void(CommitResult)> callback);

    /// Reads one row.
    /// @param table Table of the row.
    /// @param key Key of the row.
    /// @param callback Called once with the result.
    void read(const std::string &table, const std::string &key, std::function<void(RowResult)> callback);

    /// Reads the rows of the given tables that were written after a version.
    /// @param tables Tables to read.
    /// @param since Version returned by an earlier scan; zero reads all rows.
    /// @param callback Called once with the result.
    void scan(const std::vector<std::string> &tables, std::uint64_t since, std::function<void(ScanResult)> callback);

private:
    void send(HttpRequest request, std::function<void(HttpReply)> callback);

    std::string m_url;
    EventLoop &m_loop;
    HttpClient &m_http;
    Counters &m_counters;
};

} // namespace banyanlock
