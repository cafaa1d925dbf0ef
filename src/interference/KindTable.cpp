#include "interference/KindTable.h"

#include <algorithm>
#include <tuple>

namespace banyanlock
{

bool KindTable::Less::operator()(const TaskKind &left, const TaskKind &right) const
{
    const auto fields = [](const TaskKind &kind) {
        return std::tie(kind.queue, kind.demand.processors, kind.demand.memory, kind.demand.accelerators, kind.gang);
    };
    return fields(left) < fields(right);
}

KindUse KindTable::use(const TaskKind &kind)
{
    ++m_uses;
    if (const auto known = m_kinds.find(kind); known != m_kinds.end()) {
        known->second.lastUse = m_uses;
        return {known->second.number, std::nullopt};
    }
    KindUse use{m_nextNumber++, std::nullopt};
    if (m_kinds.size() >= maxKinds) {
        const auto oldest = std::ranges::min_element(m_kinds, {}, [](const auto &entry) {
            return entry.second.lastUse;
        });
        use.replaced = oldest->second.number;
        m_byNumber.erase(oldest->second.number);
        m_kinds.erase(oldest);
    }
    const auto added = m_kinds.emplace(kind, Entry{use.number, m_uses}).first;
    m_byNumber.emplace(use.number, &added->first);
    return use;
}

const TaskKind *KindTable::find(std::uint32_t number) const
{
    const auto found = m_byNumber.find(number);
    return found == m_byNumber.end() ? nullptr : found->second;
}

} // namespace banyanlock
