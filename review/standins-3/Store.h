#pragma once

#include "Net.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace review
{

/// The platform's metadata store, as far as the programs of a pool use it: rows in the empty part.
class Store
{
public:
    /// Called after a transaction has taken effect and before it is answered, with the name of the caller.
    using Observer = std::function<void(const std::string &, const nlohmann::json &)>;

    /// Opens a port for one caller.
    /// @param caller Name of the caller.
    /// @return The port.
    int addPort(const std::string &caller);

    /// Writes a row for the operator.
    /// @param table Table.
    /// @param key Key.
    /// @param text Value.
    void put(const std::string &table, const std::string &key, const std::string &text);

    /// @param table Table.
    /// @param key Key.
    /// @return Value of the row, decoded; empty if it does not exist.
    std::string text(const std::string &table, const std::string &key);

    /// Stores a row under another key, as an address translation between a process and its callers does.
    /// @param key Key that the caller writes.
    /// @param stored Key of the row.
    void translate(const std::string &key, const std::string &stored);

    /// @param observer Observer of transactions.
    void observe(Observer observer);

private:
    struct Row {
        std::string value; // in Base64
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    Response serve(const std::string &caller, const Request &request);
    Response transact(const std::string &caller, const Request &request);
    Response get(const Request &request);
    Response feed(const Request &request);
    nlohmann::json rowJson(const Key &key, const Row &row) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::map<std::string, std::string> m_translated;
    std::uint64_t m_version = 100;
    Observer m_observer;
};

/// @param text Text to encode.
/// @return The text in Base64.
std::string encodeBase64(const std::string &text);

/// @param text Text in Base64.
/// @return The decoded text.
std::string decodeBase64(const std::string &text);

} // namespace review
