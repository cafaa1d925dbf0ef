#include "Store.h"

#include <algorithm>
#include <chrono>

namespace review
{
namespace
{

using Json = nlohmann::json;

constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string parameter(const Request &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::uint64_t numberIn(const Request &request, const std::string &name)
{
    const std::string text = parameter(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

std::string encodeBase64(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const auto byte = index + offset < text.size() ? static_cast<unsigned char>(text[index + offset]) : 0U;
            group = group << 8U | byte;
        }
        const std::size_t present = std::min<std::size_t>(text.size() - index, 3);
        for (std::size_t place = 0; place < 4; ++place) {
            result += place <= present ? digits[group >> (18U - 6U * place) & 63U] : '=';
        }
    }
    return result;
}

std::string decodeBase64(const std::string &text)
{
    std::string result;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const std::size_t digit = digits.find(character);
        if (digit == std::string_view::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(group >> bits & 255U);
        }
    }
    return result;
}

int Store::addPort(const std::string &caller)
{
    const int port = freePort();
    HttpServer(port, [this, caller](const Request &request) {
        return serve(caller, request);
    });
    return port;
}

void Store::put(const std::string &table, const std::string &key, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {encodeBase64(text), ++m_version, false};
    m_changed.notify_all();
}

std::string Store::text(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto row = m_rows.find({table, key});
    return row == m_rows.end() || row->second.deleted ? "" : decodeBase64(row->second.value);
}

void Store::translate(const std::string &key, const std::string &stored)
{
    const std::lock_guard lock(m_mutex);
    m_translated[key] = stored;
}

void Store::observe(Observer observer)
{
    const std::lock_guard lock(m_mutex);
    m_observer = std::move(observer);
}

Response Store::serve(const std::string &caller, const Request &request)
{
    constexpr std::int64_t latency = 4;
    sleepMs(latency);
    if (request.path == "/api/rows-tx") {
        return transact(caller, request);
    }
    if (request.path == "/api/rows-get") {
        return get(request);
    }
    return request.path == "/api/rows-feed" ? feed(request) : Response{400, "{}"};
}

Json Store::rowJson(const Key &key, const Row &row) const
{
    Json json{{"table", key.first}, {"part", ""}, {"key", key.second}, {"rowVersion", row.version}};
    if (row.deleted) {
        json["deleted"] = true;
    } else {
        json["value"] = row.value;
    }
    return json;
}

Response Store::transact(const std::string &caller, const Request &request)
{
    const Json body = Json::parse(request.body);
    std::unique_lock lock(m_mutex);
    Json present = Json::array();
    bool holds = true;
    for (const Json &check : body.value("expectedRev", Json::array())) {
        const Key key(check.at("table"), check.at("key"));
        const auto row = m_rows.find(key);
        const bool exists = row != m_rows.end() && !row->second.deleted;
        holds = holds && check.at("rowVersion").get<std::uint64_t>() == (exists ? row->second.version : 0);
        if (exists) {
            present.push_back(rowJson(key, row->second));
        }
    }
    if (!holds) {
        return {412, Json{{"rowVersion", m_version}, {"nowMs", nowMs()}, {"rows", present}}.dump()};
    }
    ++m_version;
    for (const Json &put : body.value("puts", Json::array())) {
        std::string key = put.at("key");
        if (const auto translated = m_translated.find(key); translated != m_translated.end()) {
            key = translated->second;
        }
        m_rows[{put.at("table"), key}] = {put.at("value"), m_version, false};
    }
    for (const Json &removal : body.value("remove", Json::array())) {
        const auto row = m_rows.find({removal.at("table"), removal.at("key")});
        if (row != m_rows.end()) {
            row->second = {"", m_version, true};
        }
    }
    m_changed.notify_all();
    const Response answer{200, Json{{"rowVersion", m_version}, {"nowMs", nowMs()}}.dump()};
    const Observer observer = m_observer;
    lock.unlock();
    if (observer) {
        observer(caller, body);
    }
    return answer;
}

Response Store::get(const Request &request)
{
    constexpr std::uint64_t longestPage = 500;
    const std::uint64_t asked = numberIn(request, "limit");
    const std::uint64_t limit = asked == 0 ? longestPage : std::min(asked, longestPage);
    const std::string table = parameter(request, "table");
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    bool more = false;
    for (auto row = m_rows.lower_bound({table, parameter(request, "startKey")}); row != m_rows.end() && row->first.first == table; ++row) {
        if (row->second.deleted) {
            continue;
        }
        if (rows.size() == limit) {
            more = true;
            break;
        }
        rows.push_back(rowJson(row->first, row->second));
    }
    return {200, Json{{"rowVersion", m_version}, {"nowMs", nowMs()}, {"rows", rows}, {"hasMore", more}}.dump()};
}

Response Store::feed(const Request &request)
{
    const std::string table = parameter(request, "table");
    const std::uint64_t after = numberIn(request, "after");
    const std::int64_t until = nowMs() + static_cast<std::int64_t>(numberIn(request, "waitMs"));
    std::unique_lock lock(m_mutex);
    while (true) {
        std::vector<std::pair<Key, Row>> changed;
        for (auto row = m_rows.lower_bound({table, ""}); row != m_rows.end() && row->first.first == table; ++row) {
            if (row->second.version > after) {
                changed.emplace_back(*row);
            }
        }
        if (!changed.empty() || nowMs() >= until) {
            std::ranges::stable_sort(changed, {}, [](const auto &entry) {
                return entry.second.version;
            });
            Json rows = Json::array();
            for (const auto &[key, row] : changed) {
                rows.push_back(rowJson(key, row));
            }
            return {200, Json{{"rowVersion", m_version}, {"nowMs", nowMs()}, {"rows", rows}}.dump()};
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
    }
}

} // namespace review
