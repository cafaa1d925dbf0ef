#include "RowsServer.h"

#include "JsonAnswer.h"
#include "core/SettingKey.h"
#include "platform/Base64.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr int statusBadRequest = 400;
constexpr int statusGone = 410;
constexpr int statusConflict = 412;
constexpr int statusUnavailable = 503;

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

TableTransaction transactionOf(const Json &body)
{
    TableTransaction transaction;
    for (const Json &check : body.at("expectedRev")) {
        transaction.checks.push_back({check.at("table"), check.at("key"), check.at("rowVersion")});
    }
    for (const Json &put : body.at("puts")) {
        transaction.writes.push_back({put.at("table"), put.at("key"), platform::decodeBase64(put.at("value"))});
    }
    for (const Json &removal : body.at("remove")) {
        transaction.writes.push_back({removal.at("table"), removal.at("key"), std::nullopt});
    }
    return transaction;
}

std::int64_t numberIn(const ServerRequest &request, const char *name)
{
    std::int64_t number = 0;
    parseSettingNumber(request.parameter(name), number);
    return number;
}

} // namespace

RowsServer::RowsServer(EventLoop &loop, const Endpoint &endpoint, Random &random)
    : m_loop(loop)
    , m_random(random)
    , m_server(loop, HttpServerLimits(), m_counters, [this](const ServerRequest &request, const HttpServer::Responder &respond) {
        serve(request, respond);
    })
{
    const Result<Done> listening = m_server.listen(endpoint);
    if (!isOk(listening)) {
        throw std::runtime_error(errorOf(listening).detail);
    }
    constexpr Duration look = fromMilliseconds(10);
    m_loop.repeat(look, [this](TimePoint now) {
        answerFollowers(now);
    });
}

void RowsServer::write(const std::string &table, const std::string &key, const std::string &value)
{
    TableTransaction transaction;
    transaction.writes = {{table, key, value}};
    m_rows.commit(transaction);
}

void RowsServer::answer(const HttpServer::Responder &respond, ServerResponse response)
{
    m_loop.timers().subscribe(EventLoop::now() + m_faults.delay, [respond, response = std::move(response)](TimePoint) {
        respond(response);
    });
}

void RowsServer::serve(const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (m_faults.down) {
        return;
    }
    if (m_faults.busy) {
        answer(respond, jsonAnswer(statusUnavailable, Json::object()));
    } else if (request.path == "/api/rows-tx") {
        commit(request, respond);
    } else if (request.path == "/api/rows-get") {
        answer(respond, read(request));
    } else if (request.path == "/api/rows-feed") {
        m_followers.push_back({request.parameter("table"), static_cast<std::uint64_t>(numberIn(request, "after")),
                               EventLoop::now() + fromMilliseconds(numberIn(request, "waitMs")), respond});
    } else {
        answer(respond, jsonAnswer(statusBadRequest, Json::object()));
    }
}

void RowsServer::commit(const ServerRequest &request, const HttpServer::Responder &respond)
{
    TableTransaction transaction;
    try {
        transaction = transactionOf(Json::parse(request.body));
        for (RowWrite &write : transaction.writes) {
            const auto alias = m_aliases.find(write.key);
            write.key = alias == m_aliases.end() ? write.key : alias->second;
        }
    } catch (const Json::exception &) {
        answer(respond, jsonAnswer(statusBadRequest, Json::object()));
        return;
    }
    if (m_random.chance(m_faults.lateWrites)) {
        const Duration late = fromMilliseconds(1000 + m_random.below(4000));
        m_loop.timers().subscribe(EventLoop::now() + late, [this, transaction = std::move(transaction)](TimePoint) {
            m_rows.commit(transaction);
        });
        return;
    }
    const CommitResult result = m_rows.commit(transaction);
    if (m_random.chance(m_faults.lostAnswers)) {
        return;
    }
    if (result.state == CommitState::Rejected) {
        answer(respond, jsonAnswer(statusBadRequest, Json::object()));
        return;
    }
    const bool committed = result.state == CommitState::Committed;
    Json body{{"rowVersion", m_rows.version}};
    if (!committed) {
        body["rows"] = rowsJson(result.rows);
    }
    answer(respond, jsonAnswer(committed ? 200 : statusConflict, body));
}

ServerResponse RowsServer::read(const ServerRequest &request) const
{
    constexpr std::int64_t longestPage = 500;
    const std::string table = request.parameter("table");
    const std::string startKey = request.parameter("startKey");
    const std::int64_t asked = numberIn(request, "limit");
    const std::int64_t limit = asked == 0 ? longestPage : std::min(asked, longestPage);
    std::vector<TableRow> page;
    bool more = false;
    for (auto row = m_rows.rows.lower_bound({table, startKey}); row != m_rows.rows.end() && row->first.first == table; ++row) {
        if (row->second.erased) {
            continue;
        }
        more = static_cast<std::int64_t>(page.size()) == limit;
        if (more) {
            break;
        }
        page.push_back(row->second);
    }
    return jsonAnswer(200, {{"rows", rowsJson(page)}, {"hasMore", more}, {"rowVersion", m_rows.version}});
}

void RowsServer::answerFollowers(TimePoint now)
{
    for (auto follower = m_followers.begin(); follower != m_followers.end();) {
        const bool lost = follower->after < m_rows.historyFrom;
        const std::vector<TableRow> changed = lost ? std::vector<TableRow>() : m_rows.changedAfter(follower->table, follower->after);
        if (m_faults.down) {
            follower = m_followers.erase(follower); // its connection stays silent
        } else if (lost || !changed.empty() || now >= follower->until) {
            answer(follower->respond, jsonAnswer(lost ? statusGone : 200, {{"rows", rowsJson(changed)}, {"rowVersion", m_rows.version}}));
            follower = m_followers.erase(follower);
        } else {
            ++follower;
        }
    }
}

} // namespace banyanlock
