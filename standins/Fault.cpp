#include "Fault.h"

#include <algorithm>
#include <array>

namespace banyanlock
{

bool faultFromName(std::string_view name, FaultKind &kind)
{
    static constexpr std::array<std::string_view, 6> names{"none", "down", "slow", "lose_answer", "fail_starts", "frozen"};
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        return false;
    }
    kind = static_cast<FaultKind>(found - names.begin());
    return true;
}

} // namespace banyanlock
