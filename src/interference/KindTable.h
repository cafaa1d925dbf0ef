#pragma once

#include "graph/Resources.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace banyanlock
{

/// Kind of a task: tasks of one kind are expected to load a worker alike.
struct TaskKind {
    std::string queue; ///< Name of the queue.
    Resources demand; ///< Resources that the task holds.
    bool gang = false; ///< Whether the task belongs to a gang.

    /// Compares all fields.
    bool operator==(const TaskKind &) const = default;
};

/// Result of `KindTable::use`.
struct KindUse {
    std::uint32_t number = 0; ///< Number of the kind; numbers are never used again.
    std::optional<std::uint32_t> replaced; ///< Number of the kind that was removed to make room.
};

/// Maps kinds of tasks to numbers. Holds at most `maxKinds`; the least recently used one is replaced.
class KindTable
{
public:
    /// Maximum number of kinds.
    static constexpr std::size_t maxKinds = 256;

    /// Finds or adds a kind and marks it as used.
    /// @param kind The kind.
    /// @return Its number, and the kind that was replaced.
    KindUse use(const TaskKind &kind);

    /// @param number Number of a kind.
    /// @return The kind; null if it is not in the table. Valid until the next call of `use`.
    const TaskKind *find(std::uint32_t number) const;

private:
    struct Less {
        bool operator()(const TaskKind &left, const TaskKind &right) const;
    };
    struct Entry {
        std::uint32_t number = 0;
        std::uint64_t lastUse = 0;
    };

    std::map<TaskKind, Entry, Less> m_kinds;
    std::map<std::uint32_t, const TaskKind *> m_byNumber; // points to the keys of `m_kinds`, which stay in place
    std::uint32_t m_nextNumber = 0;
    std::uint64_t m_uses = 0;
};

} // namespace banyanlock
