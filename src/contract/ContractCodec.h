#pragma once

#include "contract/Contract.h"
#include "core/Result.h"

#include <string>

namespace banyanlock
{

/// Parses a contract and validates every field.
/// @param text JSON text.
/// @return The contract, or `InvalidContract` with the invalid field and the reason.
Result<Contract> decodeContract(const std::string &text);

/// @param contract Contract to encode.
/// @return JSON text of the contract.
std::string encodeContract(const Contract &contract);

} // namespace banyanlock
