#pragma once

namespace banyanlock
{

/// Table of the cells' rows: owner and, as the row's version, epoch.
inline constexpr const char *cellTable = "cells";

} // namespace banyanlock
