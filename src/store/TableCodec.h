#pragma once

#include "core/Result.h"
#include "core/TableTypes.h"

#include <string>

namespace banyanlock
{

/// @param transaction Transaction to write.
/// @return Its JSON text.
std::string encodeTransaction(const TableTransaction &transaction);

/// @param text JSON text of a transaction.
/// @return The transaction, or `MalformedRequest`.
Result<TableTransaction> decodeTransaction(const std::string &text);

/// @param result Rows with the service's version.
/// @return Their JSON text.
std::string encodeScan(const ScanResult &result);

/// @param text JSON text of a read.
/// @return The rows, or `MalformedRequest`.
Result<ScanResult> decodeScan(const std::string &text);

/// @param text Text for one part of a query.
/// @return The text with reserved characters escaped.
std::string escapeQuery(const std::string &text);

} // namespace banyanlock
