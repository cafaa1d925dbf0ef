#pragma once

#include "core/SettingKey.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// Settings of an entry.
struct EntrySettings {
    std::string name; ///< Name of the entry.
    std::string failureDomain; ///< Failure domain that the process runs in.
    std::string region; ///< Region of the failure domain.
    std::string httpAddress; ///< Address on which the entry listens for callers and operators.
    std::string rpcAddress; ///< Address on which the entry listens for agents and other entries.
    std::string tableUrl; ///< URL of the table service.
    std::vector<std::string> peers; ///< RPC addresses of the other entries.
    std::string routingPolicy = "completion_time"; ///< Name of the routing policy.
    std::string logLevel = "info"; ///< Lowest level that is logged.
    std::int64_t bodyLimitBytes = 4194304; ///< Maximum size of a request body.
    std::int64_t defaultTimeoutMilliseconds = 10000; ///< Timeout of requests that specify none.
    std::int64_t maxTimeoutMilliseconds = 60000; ///< Maximum timeout that a request may specify.
    std::int64_t queueLimit = 512; ///< Maximum number of queued requests per service.
    std::int64_t pollMilliseconds = 500; ///< Poll interval of the table service.
    std::int64_t endedJobRetentionMilliseconds = 21600000; ///< Retention time of ended jobs.
    std::int64_t drainNoticeMilliseconds = 1000; ///< Time allowed for the load balancer to notice a shutdown.
};

/// @return All keys of an entry's settings.
std::span<const SettingKey<EntrySettings>> entrySettingKeys();

} // namespace banyanlock
