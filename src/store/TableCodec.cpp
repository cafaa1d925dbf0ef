#include "store/TableCodec.h"

#include "core/JsonInput.h"
#include "core/Log.h"

#include <cctype>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

Error malformed(const Json::exception &error)
{
    return {ResultCode::MalformedRequest, error.what()};
}

/// Appends a row. Skips an unreadable row and logs a warning.
void appendRow(const Json &json, std::vector<TableRow> &rows)
{
    try {
        rows.push_back({json.at("table"), json.at("key"), readWhole<std::uint64_t>(json.at("version"), "version"), json.at("value")});
    } catch (const Json::exception &error) {
        Log::warning("row_unreadable", {{"reason", std::string(error.what())}});
    }
}

} // namespace

std::string encodeTransaction(const TableTransaction &transaction)
{
    Json checks = Json::array();
    for (const RowCheck &check : transaction.checks) {
        checks.push_back({{"table", check.table}, {"key", check.key}, {"version", check.version}});
    }
    Json writes = Json::array();
    for (const RowWrite &write : transaction.writes) {
        const Json value = write.value ? Json(*write.value) : Json();
        writes.push_back({{"table", write.table}, {"key", write.key}, {"value", value}});
    }
    return Json{{"change_id", transaction.changeId}, {"checks", checks}, {"writes", writes}}.dump();
}

Result<TableTransaction> decodeTransaction(const std::string &text)
{
    try {
        const Json json = parseJson(text);
        TableTransaction transaction;
        transaction.changeId = json.at("change_id");
        for (const Json &check : json.at("checks")) {
            transaction.checks.push_back({check.at("table"), check.at("key"), readWhole<std::uint64_t>(check.at("version"), "version")});
        }
        for (const Json &write : json.at("writes")) {
            const Json &value = write.at("value");
            std::optional<std::string> text;
            if (!value.is_null()) {
                text = value.get<std::string>();
            }
            transaction.writes.push_back({write.at("table"), write.at("key"), text});
        }
        return transaction;
    } catch (const Json::exception &error) {
        return malformed(error);
    }
}

std::string encodeScan(const ScanResult &result)
{
    Json rows = Json::array();
    for (const TableRow &row : result.rows) {
        rows.push_back({{"table", row.table}, {"key", row.key}, {"version", row.version}, {"value", row.value}});
    }
    return Json{{"version", result.version}, {"rows", rows}}.dump();
}

Result<ScanResult> decodeScan(const std::string &text)
{
    try {
        const Json json = parseJson(text);
        ScanResult result;
        result.available = true;
        readField(json, "version", result.version);
        for (const Json &row : json.at("rows")) {
            appendRow(row, result.rows);
        }
        return result;
    } catch (const Json::exception &error) {
        return malformed(error);
    }
}

std::string escapeQuery(const std::string &text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            escaped += character;
        } else {
            escaped += '%';
            escaped += digits[byte >> 4U];
            escaped += digits[byte & 15U];
        }
    }
    return escaped;
}

} // namespace banyanlock
