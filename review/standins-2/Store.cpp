#include "Store.h"

#include "Record.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace review
{
namespace
{

using Json = nlohmann::json;

constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::chrono::milliseconds answerTime(4);
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxCallBytes = 1000000;
constexpr std::size_t maxRowBytes = 65536;
constexpr std::size_t maxPageRows = 500;

std::uint64_t numberIn(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

std::string textIn(const HttpRequest &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

} // namespace

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t begin = 0; begin < bytes.size(); begin += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - begin);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[begin + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= count ? digits[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
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
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

Store::Store(const std::string &address, std::uint16_t port)
    : m_server(address, port, [this](const HttpRequest &request) {
        return serve(request);
    })
{
}

void Store::put(const std::string &table, const std::string &key, const Json &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {value.dump(), ++m_version, false};
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {"", ++m_version, true};
    m_changed.notify_all();
}

std::string Store::valueOf(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() || found->second.erased ? "" : found->second.value;
}

void Store::setFilter(Filter filter)
{
    const std::lock_guard lock(m_mutex);
    m_filter = std::move(filter);
}

HttpAnswer Store::serve(const HttpRequest &request)
{
    Filter filter;
    {
        const std::lock_guard lock(m_mutex);
        filter = m_filter;
    }
    if (filter) {
        if (const std::optional<HttpAnswer> answer = filter(request)) {
            return *answer;
        }
    }
    std::this_thread::sleep_for(answerTime);
    if (request.path == "/api/rows-tx") {
        return transact(request.body);
    }
    if (request.path == "/api/rows-get") {
        return read(request);
    }
    if (request.path == "/api/rows-feed") {
        return follow(request);
    }
    return {400, "{}"};
}

Json Store::rowJson(const RowId &id, const Row &row) const
{
    Json json{{"table", id.first}, {"part", ""}, {"key", id.second}, {"rowVersion", row.version}};
    if (row.erased) {
        json["deleted"] = true;
    } else {
        json["value"] = encodeBase64(row.value);
    }
    return json;
}

Json Store::documentWith(Json rows) const
{
    return {{"rows", std::move(rows)}, {"rowVersion", m_version}, {"nowMs", elapsedMilliseconds()}};
}

HttpAnswer Store::transact(const std::string &text)
{
    const Json body = Json::parse(text);
    const Json checks = body.value("expectedRev", Json::array());
    const Json puts = body.value("puts", Json::array());
    const Json removals = body.value("remove", Json::array());
    if (text.size() > maxCallBytes || checks.size() + puts.size() + removals.size() > maxEntries) {
        return {400, "{}"};
    }
    const auto idOf = [](const Json &row) {
        return RowId(row.at("table"), row.at("key"));
    };
    for (const Json *list : {&puts, &removals}) {
        for (const Json &row : *list) {
            if (row.at("table") == "op" || row.at("table") == "servers") {
                return {403, "{}"};
            }
        }
    }
    for (const Json &row : puts) {
        if (row.at("value").get_ref<const std::string &>().size() > maxRowBytes) {
            return {400, "{}"};
        }
    }
    const std::lock_guard lock(m_mutex);
    bool holds = true;
    Json current = Json::array();
    for (const Json &check : checks) {
        const auto found = m_rows.find(idOf(check));
        const bool exists = found != m_rows.end() && !found->second.erased;
        holds = holds && check.at("rowVersion").get<std::uint64_t>() == (exists ? found->second.version : 0);
        if (exists) {
            current.push_back(rowJson(found->first, found->second));
        }
    }
    if (!holds) {
        return {412, documentWith(std::move(current)).dump()};
    }
    ++m_version;
    for (const Json &row : puts) {
        m_rows[idOf(row)] = {decodeBase64(row.at("value")), m_version, false};
    }
    for (const Json &row : removals) {
        const auto found = m_rows.find(idOf(row));
        if (found != m_rows.end() && !found->second.erased) {
            found->second = {"", m_version, true};
        }
    }
    m_changed.notify_all();
    return {200, Json{{"rowVersion", m_version}, {"nowMs", elapsedMilliseconds()}}.dump()};
}

HttpAnswer Store::read(const HttpRequest &request)
{
    const std::string table = textIn(request, "table");
    const std::uint64_t asked = numberIn(request, "limit");
    const std::size_t limit = asked == 0 ? maxPageRows : std::min<std::size_t>(asked, maxPageRows);
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (auto row = m_rows.lower_bound({table, textIn(request, "startKey")}); row != m_rows.end() && row->first.first == table; ++row) {
        if (row->second.erased) {
            continue;
        }
        if (rows.size() == limit || bytes > maxCallBytes - maxRowBytes) {
            more = true;
            break;
        }
        bytes += row->second.value.size();
        rows.push_back(rowJson(row->first, row->second));
    }
    Json body = documentWith(std::move(rows));
    body["hasMore"] = more;
    return {200, body.dump()};
}

HttpAnswer Store::follow(const HttpRequest &request)
{
    const std::string table = textIn(request, "table");
    const std::uint64_t after = numberIn(request, "after");
    const auto until
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min<std::uint64_t>(numberIn(request, "waitMs"), 30000));
    std::unique_lock lock(m_mutex);
    for (;;) {
        std::vector<std::pair<std::uint64_t, Json>> changed;
        for (auto row = m_rows.lower_bound({table, ""}); row != m_rows.end() && row->first.first == table; ++row) {
            if (row->second.version > after) {
                changed.emplace_back(row->second.version, rowJson(row->first, row->second));
            }
        }
        if (!changed.empty() || std::chrono::steady_clock::now() >= until || m_server.isStopping()) {
            std::ranges::stable_sort(changed, {}, &std::pair<std::uint64_t, Json>::first);
            Json rows = Json::array();
            for (auto &[version, row] : changed) {
                rows.push_back(std::move(row));
            }
            return {200, documentWith(std::move(rows)).dump()};
        }
        m_changed.wait_until(lock, std::min(until, std::chrono::steady_clock::now() + std::chrono::milliseconds(50)));
    }
}

} // namespace review
