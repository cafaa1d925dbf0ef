#pragma once

/// @file
/// Functions shared by the daemons of a pool.

#include "core/Log.h"
#include "core/SettingKey.h"
#include "core/Time.h"
#include "http/HttpServer.h"

#include <memory>
#include <span>
#include <string>
#include <utility>

namespace banyanlock
{

/// @param lease Duration of a lease.
/// @return Time to add to the lease's end so that it has expired by every machine's clock, in spite of clock drift and late timers.
inline Duration leaseSlackOf(Duration lease)
{
    constexpr std::int64_t clockDriftDivisor = 50; // clocks are up to 2 % slow
    constexpr Duration timerSlack = fromMilliseconds(200); // timers fire late
    return lease / clockDriftDivisor + timerSlack;
}

/// @param text Metrics in the Prometheus text format.
/// @return Response with the metrics as its body.
inline ServerResponse metricsResponse(std::string text)
{
    ServerResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::make_shared<const std::string>(std::move(text));
    return response;
}

/// Reloads a daemon's settings and applies the log level. Other keys take effect when the process restarts.
/// @tparam Settings Settings structure of the role.
/// @param path File to read.
/// @param keys All keys of the role.
template <typename Settings> void reloadLogLevel(const std::string &path, std::span<const SettingKey<Settings>> keys)
{
    const Result<Settings> settings = readSettings(path, keys);
    if (!isOk(settings)) {
        Log::warning("settings_refused", {{"path", path}, {"reason", errorOf(settings).detail}});
        return;
    }
    Log::setLevel(Log::levelFromName(valueOf(settings).logLevel));
    Log::info("settings_reloaded", {{"path", path}, {"log_level", valueOf(settings).logLevel}});
}

} // namespace banyanlock
