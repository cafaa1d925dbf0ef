#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace banyanlock
{

/// When an optional part of the pool's scheduler acts.
enum class PartMode : std::uint8_t {
    Auto, ///< Once evidence from the deployment calls for it.
    On, ///< Always.
    Off, ///< Never.
};

/// Names of the modes in settings, in the order of the enumeration.
inline constexpr std::array<std::string_view, 3> partModeNames{"auto", "on", "off"};

/// @param mode Mode to look up.
/// @return Its name in settings.
constexpr std::string_view partModeName(PartMode mode)
{
    return partModeNames[static_cast<std::size_t>(mode)];
}

/// @param name Name from the settings.
/// @return The mode, or none if the name is unknown; names are case-sensitive.
constexpr std::optional<PartMode> parsePartMode(std::string_view name)
{
    const auto *const found = std::ranges::find(partModeNames, name);
    if (found == partModeNames.end()) {
        return std::nullopt;
    }
    return static_cast<PartMode>(found - partModeNames.begin());
}

} // namespace banyanlock
