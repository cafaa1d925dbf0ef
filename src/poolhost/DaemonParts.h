#pragma once

/// @file
/// Functions shared by the daemons of a pool.

#include "core/Log.h"
#include "core/SettingKey.h"
#include "core/Time.h"
#include "http/HttpServer.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <sys/resource.h>
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

/// What a server of a pool's daemon is for; decides its part of the process's connections.
enum class ServerUse : std::uint8_t {
    Callers, ///< Callers or the worker.
    Operation, ///< Readiness probes or metrics.
};

/// @tparam Settings Settings structure of the role.
/// @param settings Settings with the limits of the process.
/// @param use What the server is for.
/// @return Limits of the server.
template <typename Settings> HttpServerLimits serverLimitsOf(const Settings &settings, ServerUse use)
{
    constexpr std::int64_t mebibyte = std::int64_t{1024} * 1024;
    constexpr std::int64_t headerBytes = 65536;
    constexpr std::int64_t operationDivisor = 16; // a sixteenth of the connections for each of the readiness and metrics servers
    rlimit system{};
    std::int64_t descriptors = settings.maxDescriptors;
    if (getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur < static_cast<rlim_t>(descriptors)) {
        descriptors = static_cast<std::int64_t>(system.rlim_cur);
    }
    // A quarter is left for the table service, the agents (one connection each) and the process itself. Without a free descriptor RESTinio
    // stops accepting for good.
    const std::int64_t available = descriptors / 4 * 3;
    const std::int64_t connections = settings.maxConnections == 0 ? available : std::min(settings.maxConnections, available);
    const std::int64_t operation = std::max<std::int64_t>(connections / operationDivisor, 1);
    HttpServerLimits limits;
    limits.bodyBytes = static_cast<std::uint64_t>(settings.maxBodyBytes);
    limits.connections
        = static_cast<std::size_t>(use == ServerUse::Operation ? operation : std::max<std::int64_t>(connections - 2 * operation, 1));
    // 256 KB each from 120 callers at once take 25 s on a link of 10 Mbit/s.
    limits.headerTimeout = fromMilliseconds(30000);
    const std::int64_t held = settings.callerMemoryMegabytes == 0 ? settings.memoryMegabytes / 4 : settings.callerMemoryMegabytes;
    // A single request of the largest size is charged twice its body while it is handled, and must fit into three quarters.
    limits.callers.heldBytes = static_cast<std::uint64_t>(std::max(held * mebibyte, 4 * settings.maxBodyBytes));
    // A body of 256 KB in chunks of one byte has six times its size.
    limits.callers.requestBytes = static_cast<std::uint64_t>(2 * settings.maxBodyBytes + headerBytes);
    return limits;
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
