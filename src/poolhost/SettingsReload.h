#pragma once

#include "core/Log.h"
#include "core/SettingKey.h"

#include <span>
#include <string>

namespace banyanlock
{

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
