#include "Store.h"

#include "core/SettingKey.h"
#include "platform/Base64.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace review
{
namespace
{

using namespace banyanlock;
using Json = nlohmann::json;

constexpr std::size_t maxRowBytes = 65536;
constexpr std::size_t maxCallBytes = 1'000'000;
constexpr std::size_t maxEntries = 100;
constexpr std::int64_t pageRows = 500;
constexpr Duration answerTime = fromMilliseconds(4);

std::int64_t numberIn(const ServerRequest &request, const char *name)
{
    std::int64_t number = 0;
    parseSettingNumber(request.parameter(name), number);
    return number;
}

Json rowsJson(const std::vector<TableRow> &rows)
{
    Json list = Json::array();
    for (const TableRow &row : rows) {
        Json json{{"table", row.table}, {"part", ""}, {"key", row.key}, {"rowVersion", row.version}};
        if (row.erased) {
            json["deleted"] = true;
        } else {
            json["value"] = platform::encodeBase64(row.value);
        }
        list.push_back(std::move(json));
    }
    return list;
}

} // namespace

Store::Store(EventLoop &loop, const Endpoint &endpoint, std::function<void(const std::string &)> record)
    : m_loop(loop)
    , m_record(std::move(record))
    , m_server(loop, HttpServerLimits(), m_counters, [this](const ServerRequest &request, const HttpServer::Responder &respond) {
        serve(request, respond);
    })
{
    const Result<Done> listening = m_server.listen(endpoint);
    if (!isOk(listening)) {
        throw std::runtime_error(errorOf(listening).detail);
    }
    m_loop.repeat(fromMilliseconds(2), [this](TimePoint now) {
        answerFollowers(now);
    });
}

void Store::write(const std::string &table, const std::string &key, const std::string &value)
{
    TableTransaction transaction;
    transaction.writes = {{table, key, value}};
    m_rows.commit(transaction);
}

void Store::answer(const HttpServer::Responder &respond, int status, const std::string &body)
{
    m_loop.timers().subscribe(EventLoop::now() + answerTime, [respond, status, body](TimePoint) {
        ServerResponse response;
        response.status = status;
        response.contentType = "application/json";
        response.body = std::make_shared<const std::string>(body);
        respond(std::move(response));
    });
}

void Store::serve(const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (m_state == StoreState::Silent) {
        m_unanswered.push_back(respond);
        return;
    }
    if (m_state == StoreState::Busy) {
        answer(respond, 503, "{}");
    } else if (request.path == "/api/rows-tx") {
        commit(request, respond);
    } else if (request.path == "/api/rows-get") {
        read(request, respond);
    } else if (request.path == "/api/rows-feed") {
        m_followers.push_back({request.parameter("table"), static_cast<std::uint64_t>(numberIn(request, "after")),
                               EventLoop::now() + fromMilliseconds(numberIn(request, "waitMs")), respond});
    } else {
        answer(respond, 404, "{}");
    }
}

void Store::commit(const ServerRequest &request, const HttpServer::Responder &respond)
{
    TableTransaction transaction;
    std::size_t largest = 0;
    try {
        const Json body = Json::parse(request.body);
        for (const Json &check : body.at("expectedRev")) {
            transaction.checks.push_back({check.at("table"), check.at("key"), check.at("rowVersion")});
        }
        for (const Json &put : body.at("puts")) {
            const std::optional<std::string> value = platform::decodeBase64(put.at("value"));
            largest = std::max(largest, value ? value->size() : maxRowBytes + 1);
            transaction.writes.push_back({put.at("table"), put.at("key"), value});
        }
        for (const Json &removal : body.at("remove")) {
            transaction.writes.push_back({removal.at("table"), removal.at("key"), std::nullopt});
        }
    } catch (const Json::exception &) {
        answer(respond, 400, "{}");
        return;
    }
    const std::size_t entries = transaction.checks.size() + transaction.writes.size();
    if (largest > maxRowBytes || entries > maxEntries || request.body.size() > maxCallBytes) {
        m_record("store refuses a transaction with 400: " + std::to_string(entries) + " entries, " + std::to_string(request.body.size())
                 + " bytes, largest row " + std::to_string(largest) + " bytes");
        answer(respond, 400, Json{{"error", "over the limits"}}.dump());
        return;
    }
    for (RowWrite &write : transaction.writes) {
        if (write.table == "op" || write.table == "servers") {
            answer(respond, 403, "{}");
            return;
        }
        const auto alias = m_aliases.find(write.key);
        write.key = alias == m_aliases.end() ? write.key : alias->second;
    }
    const CommitResult result = m_rows.commit(transaction);
    const bool committed = result.state == CommitState::Committed;
    Json body{{"rowVersion", m_rows.version}};
    if (!committed) {
        body["rows"] = rowsJson(result.rows);
    }
    answer(respond, committed ? 200 : 412, body.dump());
}

void Store::read(const ServerRequest &request, const HttpServer::Responder &respond)
{
    const std::string table = request.parameter("table");
    const std::int64_t asked = numberIn(request, "limit");
    const std::int64_t limit = asked == 0 ? pageRows : std::min(asked, pageRows);
    std::vector<TableRow> page;
    std::size_t bytes = 0;
    bool more = false;
    for (auto row = m_rows.rows.lower_bound({table, request.parameter("startKey")}); row != m_rows.rows.end() && row->first.first == table;
         ++row) {
        if (row->second.erased) {
            continue;
        }
        more = static_cast<std::int64_t>(page.size()) == limit || bytes > maxCallBytes;
        if (more) {
            break;
        }
        page.push_back(row->second);
        bytes += row->second.value.size();
    }
    answer(respond, 200, Json{{"rows", rowsJson(page)}, {"hasMore", more}, {"rowVersion", m_rows.version}}.dump());
}

void Store::answerFollowers(TimePoint now)
{
    for (auto follower = m_followers.begin(); follower != m_followers.end();) {
        const std::vector<TableRow> changed = m_rows.changedAfter(follower->table, follower->after);
        if (m_state != StoreState::Up) {
            if (m_state == StoreState::Busy) {
                answer(follower->respond, 503, "{}");
            } else {
                m_unanswered.push_back(follower->respond);
            }
            follower = m_followers.erase(follower);
        } else if (!changed.empty() || now >= follower->until) {
            answer(follower->respond, 200, Json{{"rows", rowsJson(changed)}, {"rowVersion", m_rows.version}}.dump());
            follower = m_followers.erase(follower);
        } else {
            ++follower;
        }
    }
}

} // namespace review
