#pragma once

#include "core/Counters.h"
#include "dispatch/KeyClaim.h"
#include "store/TableClient.h"

#include <cstdint>
#include <functional>
#include <string>

namespace banyanlock
{

/// Rows of the table service that keep idempotency keys: one request holds a key, its answer is kept for repeats, and the key is given back
/// only after a proof that the request did not run.
class ClaimStore
{
public:
    /// @param table Table service.
    /// @param counters Counters.
    ClaimStore(TableClient &table, Counters &counters)
        : m_table(table)
        , m_counters(counters)
    {
    }

    /// Claims a key.
    /// @param claim The key.
    /// @param callback Called once with what is known.
    void claim(const KeyClaim &claim, std::function<void(ClaimResult)> callback);

    /// Records the answer under a claimed key. Without it repeats are told that the outcome is unknown.
    /// @param claim The key.
    /// @param answer The answer.
    void settle(const KeyClaim &claim, const CallerAnswer &answer);

    /// Gives a claimed key back.
    /// @param claim The key.
    void release(const KeyClaim &claim);

private:
    void readExisting(const KeyClaim &claim, bool mayBeOwnClaim, std::function<void(ClaimResult)> callback);
    void replaceRow(const KeyClaim &claim, std::optional<std::string> value, const char *changeIdSuffix);

    TableClient &m_table;
    Counters &m_counters;
};

} // namespace banyanlock
