#pragma once

/// @file
/// What the daemons of a pool have in common.

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

/// @param lease Length of a lease.
/// @return Time after its end from which it has surely run out, wherever it is measured.
inline Duration leaseSlackOf(Duration lease)
{
    constexpr std::int64_t clockDriftDivisor = 50; // clocks are up to 2 % slow
    constexpr Duration timerSlack = fromMilliseconds(200); // timers fire late
    return lease / clockDriftDivisor + timerSlack;
}

/// @param text Metrics in the Prometheus text format.
/// @return The answer that carries them.
inline ServerResponse metricsResponse(std::string text)
{
    ServerResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::make_shared<const std::string>(std::move(text));
    return response;
}

/// Reads a daemon's settings anew and applies the log level. Other keys take effect with the next start of the process.
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
