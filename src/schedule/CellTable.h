#pragma once

namespace banyanlock
{

/// Table of cell owners. The value of a row names the owner; its version is the epoch.
inline constexpr const char *cellTable = "cells";

} // namespace banyanlock
