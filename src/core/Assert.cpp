#include "core/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace banyanlock
{

void reportAssertFailure(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "invariant violated: %s at %s:%d\n", expression, file, line);
    std::abort();
}

} // namespace banyanlock
