#include "pool/EarlyCancellations.h"

#include "core/JsonInput.h"
#include "core/Log.h"
#include "pool/PoolRows.h"

#include <array>
#include <charconv>
#include <optional>
#include <xxhash.h>

namespace banyanlock
{
namespace
{

std::string hashOf(const SubmissionScope &scope)
{
    // Names may have any length, keys may not.
    const std::string text = scope.host + '\0' + scope.pathPrefix + '\0' + scope.workspace;
    constexpr int hexadecimal = 16;
    std::array<char, sizeof(std::uint64_t) * 2> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), XXH3_64bits(text.data(), text.size()), hexadecimal);
    return {digits.data(), result.ptr};
}

std::optional<std::string> decodeEarlyCancellation(const std::string &text)
{
    try {
        return parseJson(text).at("workspace").get<std::string>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string earlyCancellationKey(const SubmissionScope &scope, std::string_view job)
{
    return PoolRows::keyOf(PoolRows::earlyCancelPrefix, job) + "/" + hashOf(scope);
}

std::string encodeEarlyCancellation(const std::string &workspace)
{
    return nlohmann::json{{"workspace", workspace}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool EarlyCancellations::adopt(const TableRow &row)
{
    if (!row.key.starts_with(PoolRows::earlyCancelPrefix)) {
        return false;
    }
    const auto known = m_rows.find(row.key);
    if (known != m_rows.end() && row.version <= known->second.version) {
        return true;
    }
    remove(row.key);
    if (row.erased) {
        return true;
    }
    const std::optional<std::string> workspace = decodeEarlyCancellation(row.value);
    if (!workspace) {
        Log::warning("early_cancellation_row_unreadable", {{"row", row.key}, {"version", static_cast<std::int64_t>(row.version)}});
    }
    // An unreadable row binds submissions like any other and is erased with the others.
    const EarlyCancellation &added = m_rows[row.key] = {row.version, workspace.value_or(std::string())};
    ++m_counts[added.workspace];
    return true;
}

void EarlyCancellations::remove(const std::string &key)
{
    const auto row = m_rows.find(key);
    if (row == m_rows.end()) {
        return;
    }
    const auto count = m_counts.find(row->second.workspace);
    if (--count->second == 0) {
        m_counts.erase(count);
    }
    m_rows.erase(row);
}

void EarlyCancellations::clear()
{
    m_rows.clear();
    m_counts.clear();
}

bool EarlyCancellations::isFull(const std::string &workspace) const
{
    const auto count = m_counts.find(workspace);
    return count != m_counts.end() && count->second >= maxPerWorkspace;
}

} // namespace banyanlock
