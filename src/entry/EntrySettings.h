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
    std::string failureDomain; ///< Failure domain that it runs in.
    std::string region; ///< Region of the failure domain.
    std::string httpAddress; ///< Where callers and operators reach it.
    std::string rpcAddress; ///< Where agents and other entries reach it.
    std::string tableUrl; ///< URL of the table service.
    std::vector<std::string> peers; ///< RPC addresses of the other entries.
    std::string routingPolicy = "completion_time"; ///< Routing policy.
    std::string logLevel = "info"; ///< Least level of log lines.
    std::int64_t bodyLimitBytes = 4194304; ///< Largest body of a request.
    std::int64_t defaultTimeoutMilliseconds = 10000; ///< Timeout of requests that name none.
    std::int64_t maxTimeoutMilliseconds = 60000; ///< Longest timeout that a request may name.
    std::int64_t queueLimit = 512; ///< Requests that may wait for one service.
    std::int64_t pollMilliseconds = 500; ///< Time between two reads of the table service.
    std::int64_t endedJobRetentionMilliseconds = 21600000; ///< Time for which ended jobs are kept.
    std::int64_t drainNoticeMilliseconds = 1000; ///< Time for the balancer to notice a shutdown.
};

/// @return All keys of an entry's settings.
std::span<const SettingKey<EntrySettings>> entrySettingKeys();

} // namespace banyanlock
