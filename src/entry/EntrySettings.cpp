#include "entry/EntrySettings.h"

#include <array>

namespace banyanlock
{

std::span<const SettingKey<EntrySettings>> entrySettingKeys()
{
    using S = EntrySettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::array keys{
        Key{"name", Text, &S::name, 0, 0, true, "Name of the entry, unique among the entries."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain that the entry runs in."},
        Key{"region", Text, &S::region, 0, 0, true, "Region of the failure domain."},
        Key{"http_address", Address, &S::httpAddress, 0, 0, true, "Where callers and operators reach the entry."},
        Key{"rpc_address", Address, &S::rpcAddress, 0, 0, true, "Where agents and other entries reach the entry."},
        Key{"table_url", Url, &S::tableUrl, 0, 0, true, "URL of the platform's table service."},
        Key{"peers", AddressList, &S::peers, 0, 0, false, "RPC addresses of the other entries."},
        Key{"routing_policy", Text, &S::routingPolicy, 0, 0, false,
            "`completion_time`, or the baselines `least_connections` and `round_robin`."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"body_limit_bytes", Bytes, &S::bodyLimitBytes, 1, 33554432, false, "Maximum size of a request body."},
        Key{"default_timeout_ms", Milliseconds, &S::defaultTimeoutMilliseconds, 1, 600000, false, "Timeout of requests that specify none."},
        Key{"longest_timeout_ms", Milliseconds, &S::maxTimeoutMilliseconds, 1, 600000, false,
            "Maximum timeout that a request may specify."},
        Key{"queue_limit", Count, &S::queueLimit, 1, 100000, false, "Maximum number of queued requests per service."},
        Key{"poll_ms", Milliseconds, &S::pollMilliseconds, 50, 2000, false, "Poll interval of the table service."},
        Key{"ended_job_retention_ms", Milliseconds, &S::endedJobRetentionMilliseconds, 1000, 604800000, false,
            "Time for which ended jobs are kept before their rows are erased."},
        Key{"drain_notice_ms", Milliseconds, &S::drainNoticeMilliseconds, 0, 60000, false,
            "Time allowed for the load balancer to notice a shutdown."},
    };
    return keys;
}

} // namespace banyanlock
