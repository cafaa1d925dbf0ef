#pragma once

#include "core/Result.h"
#include "core/TableTypes.h"

#include <string>

namespace banyanlock
{

/// Encodes a transaction as JSON.
/// @param transaction Transaction to encode.
/// @return JSON text.
std::string encodeTransaction(const TableTransaction &transaction);

/// Decodes a transaction from JSON.
/// @param text JSON text of a transaction.
/// @return The transaction, or `MalformedRequest`.
Result<TableTransaction> decodeTransaction(const std::string &text);

/// Encodes the result of a read or scan as JSON.
/// @param result Rows, and the version of the table service at the read.
/// @return JSON text.
std::string encodeScan(const ScanResult &result);

/// Decodes the result of a read or scan from JSON.
/// @param text JSON text of a read or scan.
/// @return The rows, or `MalformedRequest`.
Result<ScanResult> decodeScan(const std::string &text);

/// Percent-encodes a value for a URL query.
/// @param text Value of a query parameter.
/// @return The text with all characters but letters, digits, `-`, `_` and `.` escaped.
std::string escapeQuery(const std::string &text);

} // namespace banyanlock
