#pragma once

#include "contract/Contract.h"
#include "core/Result.h"

#include <string>

namespace banyanlock
{

/// Parses a contract and checks every field.
/// @param text JSON text.
/// @return The contract, or `InvalidContract` with the field and the reason.
Result<Contract> decodeContract(const std::string &text);

/// @param contract Contract to write.
/// @return Its JSON text.
std::string encodeContract(const Contract &contract);

} // namespace banyanlock
