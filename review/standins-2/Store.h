#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace review
{

std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);

/// The platform's store: rows, transactions and the feed of changes, as PROTOCOL.md describes them. It answers after 4 ms.
class Store
{
public:
    /// Decides about a call of the system before it is carried out; an answer replaces the usual one.
    using Filter = std::function<std::optional<HttpAnswer>(const HttpRequest &)>;

    Store(const std::string &address, std::uint16_t port);

    void start()
    {
        m_server.start();
    }

    /// Writes a row as the operator does.
    void put(const std::string &table, const std::string &key, const nlohmann::json &value);

    /// Removes a row as the operator does.
    void remove(const std::string &table, const std::string &key);

    /// @return Value of a row; empty if it does not exist.
    std::string valueOf(const std::string &table, const std::string &key);

    /// Sets the filter of calls.
    void setFilter(Filter filter);

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool erased = false;
    };
    using RowId = std::pair<std::string, std::string>; // table and key

    HttpAnswer serve(const HttpRequest &request);
    HttpAnswer transact(const std::string &text);
    HttpAnswer read(const HttpRequest &request);
    HttpAnswer follow(const HttpRequest &request);
    nlohmann::json rowJson(const RowId &id, const Row &row) const;
    nlohmann::json documentWith(nlohmann::json rows) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<RowId, Row> m_rows;
    std::uint64_t m_version = 0;
    Filter m_filter;
    HttpServer m_server;
};

} // namespace review
