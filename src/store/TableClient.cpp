#include "store/TableClient.h"

#include "store/TableCodec.h"

#include <utility>

namespace banyanlock
{
namespace
{

constexpr long storeTimeoutMilliseconds = 2000;
constexpr int httpOk = 200;
constexpr int httpConflict = 409;

} // namespace

TableClient::TableClient(std::string url, EventLoop &loop, HttpClient &http, Counters &counters)
    : m_url(std::move(url))
    , m_loop(loop)
    , m_http(http)
    , m_counters(counters)
{
}

void TableClient::send(HttpRequest request, std::function<void(HttpReply)> callback)
{
    request.timeoutMilliseconds = storeTimeoutMilliseconds;
    m_http.send(std::move(request), [this, callback = std::move(callback)](HttpReply reply) mutable {
        m_loop.post([this, callback = std::move(callback), reply = std::move(reply)]() mutable {
            if (reply.delivery != HttpDelivery::Complete) {
                m_counters.add(Counter::StoreFailures);
            }
            callback(std::move(reply));
        });
    });
}

void TableClient::commit(const TableTransaction &transaction, std::function<void(CommitResult)> callback)
{
    HttpRequest request;
    request.method = "POST";
    request.url = m_url + "/v1/transactions";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeTransaction(transaction);
    m_counters.add(Counter::StoreWrites, transaction.writes.size());
    send(std::move(request), [this, callback = std::move(callback)](const HttpReply &reply) {
        CommitResult result;
        if (reply.delivery == HttpDelivery::NotSent) {
            result.state = CommitState::NotSent;
        } else if (reply.delivery == HttpDelivery::Complete && reply.status == httpConflict) {
            m_counters.add(Counter::StoreConflicts);
            result.state = CommitState::Conflict;
        } else if (reply.delivery == HttpDelivery::Complete && reply.status == httpOk) {
            const Result<ScanResult> decoded = decodeScan(reply.body);
            if (isOk(decoded)) {
                result = {CommitState::Committed, valueOf(decoded).version, {}};
            }
        }
        callback(result);
    });
}

void TableClient::read(const std::string &table, const std::string &key, std::function<void(RowResult)> callback)
{
    HttpRequest request;
    request.url = m_url + "/v1/row?table=" + escapeQuery(table) + "&key=" + escapeQuery(key);
    m_counters.add(Counter::StoreReads);
    send(std::move(request), [callback = std::move(callback)](const HttpReply &reply) {
        RowResult result;
        const Result<ScanResult> decoded = decodeScan(reply.body);
        if (reply.delivery == HttpDelivery::Complete && reply.status == httpOk && isOk(decoded)) {
            result.available = true;
            if (!valueOf(decoded).rows.empty()) {
                result.row = valueOf(decoded).rows.front();
            }
        }
        callback(result);
    });
}

void TableClient::scan(const std::vector<std::string> &tables, std::uint64_t since, std::function<void(ScanResult)> callback)
{
    HttpRequest request;
    std::string names;
    for (const std::string &table : tables) {
        names += (names.empty() ? "" : ",") + table;
    }
    request.url = m_url + "/v1/rows?tables=" + escapeQuery(names) + "&since=" + std::to_string(since);
    m_counters.add(Counter::StoreReads);
    send(std::move(request), [callback = std::move(callback)](const HttpReply &reply) {
        const Result<ScanResult> decoded = decodeScan(reply.body);
        const bool valid = reply.delivery == HttpDelivery::Complete && reply.status == httpOk && isOk(decoded);
        callback(valid ? valueOf(decoded) : ScanResult());
    });
}

} // namespace banyanlock
