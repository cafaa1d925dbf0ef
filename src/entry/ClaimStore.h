#pragma once

#include "core/Counters.h"
#include "dispatch/KeyClaim.h"
#include "store/TableClient.h"

#include <cstdint>
#include <functional>
#include <string>

namespace banyanlock
{

/// Stores idempotency keys in the table service. One request holds a key; its answer is stored and replayed to repeated requests, and the
/// key is released only when the request is proven not to have run.
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

    /// Claims a key for a request.
    /// @param claim Key and holder.
    /// @param callback Called once with the state of the key.
    void claim(const KeyClaim &claim, std::function<void(ClaimResult)> callback);

    /// Stores the answer under a claimed key. An answer above the size limit is not stored; repeated requests then get an unknown outcome.
    /// @param claim Key and holder.
    /// @param answer Answer to replay to repeated requests.
    void settle(const KeyClaim &claim, const CallerAnswer &answer);

    /// Releases a claimed key, so that another request can claim it.
    /// @param claim Key and holder.
    void release(const KeyClaim &claim);

private:
    void readExisting(const KeyClaim &claim, bool mayBeOwnClaim, std::function<void(ClaimResult)> callback);
    void replaceRow(const KeyClaim &claim, std::optional<std::string> value, const char *changeIdSuffix);

    TableClient &m_table;
    Counters &m_counters;
};

} // namespace banyanlock
