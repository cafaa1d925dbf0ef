#include "StandinServer.h"
#include "Standins.h"
#include "TableModel.h"
#include "core/SettingKey.h"
#include "store/TableCodec.h"

#include <sstream>

namespace banyanlock
{
namespace
{

constexpr int statusConflict = 409;
constexpr int statusBadRequest = 400;

ServerResponse jsonAnswer(int status, std::string text)
{
    ServerResponse response;
    response.status = status;
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(std::move(text));
    return response;
}

std::vector<std::string> splitNames(const std::string &text)
{
    std::vector<std::string> names;
    std::istringstream stream(text);
    for (std::string name; std::getline(stream, name, ',');) {
        names.push_back(name);
    }
    return names;
}

ServerResponse commit(TableModel &model, const std::string &body)
{
    const Result<TableTransaction> transaction = decodeTransaction(body);
    if (!isOk(transaction)) {
        return jsonAnswer(statusBadRequest, "{}");
    }
    const CommitResult result = model.commit(valueOf(transaction));
    const int status = result.state == CommitState::Committed ? 200 : statusConflict;
    return jsonAnswer(status, encodeScan({true, result.version, {}}));
}

ServerResponse act(TableModel &model, const ServerRequest &request)
{
    if (request.method == "POST" && request.path == "/v1/transactions") {
        return commit(model, request.body);
    }
    if (request.path == "/v1/row") {
        const RowResult result = model.read(request.parameter("table"), request.parameter("key"));
        ScanResult scan{true, 0, {}};
        if (result.row) {
            scan.rows.push_back(*result.row);
        }
        return jsonAnswer(200, encodeScan(scan));
    }
    std::int64_t since = 0;
    if (request.path == "/v1/rows" && parseSettingNumber(request.parameter("since"), since)) {
        return jsonAnswer(200, encodeScan(model.scan(splitNames(request.parameter("tables")), static_cast<std::uint64_t>(since))));
    }
    return jsonAnswer(statusBadRequest, "{}");
}

} // namespace

int runTableStandin(const Endpoint &service, const Endpoint &control)
{
    EventLoop loop;
    TableModel model;
    StandinServer server(loop, [&](const ServerRequest &request, const Fault &) {
        return act(model, request);
    });
    server.setControl([&](const ServerRequest &) {
        return jsonAnswer(200, "{\"rows_written\":" + std::to_string(model.rowsWritten()) + "}");
    });
    return runStandin(loop, server, service, control);
}

} // namespace banyanlock
