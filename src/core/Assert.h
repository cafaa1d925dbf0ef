#pragma once

/// @file
/// Invariant checks that are active in debug and test builds.

namespace banyanlock
{

/// Reports a violated invariant on standard error and aborts the process.
/// @param expression Text of the expression that was false.
/// @param file Source file of the check.
/// @param line Source line of the check.
[[noreturn]] void reportAssertFailure(const char *expression, const char *file, int line);

} // namespace banyanlock

#ifdef BANYANLOCK_ASSERTS
/// Checks an invariant; compiled out of release builds.
#define BANYANLOCK_ASSERT(expression) \
    do { \
        if (!(expression)) { \
            ::banyanlock::reportAssertFailure(#expression, __FILE__, __LINE__); \
        } \
    } while (false)
#else
/// Checks an invariant; compiled out of release builds.
#define BANYANLOCK_ASSERT(expression) \
    do { \
    } while (false)
#endif
