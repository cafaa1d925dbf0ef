#include "dispatch/FairQueue.h"

#include "core/Assert.h"

#include <algorithm>

namespace banyanlock
{

FairQueue::Line &FairQueue::lineOf(std::string_view workspace)
{
    auto line = std::ranges::find(m_lines, workspace, &Line::workspace);
    if (line == m_lines.end()) {
        m_lines.push_back({std::string(workspace), {}, m_virtualNow});
        line = m_lines.end() - 1;
    }
    if (line->requests.empty()) {
        // Time spent idle earns no credit.
        line->virtualTime = std::max(line->virtualTime, m_virtualNow);
    }
    return *line;
}

void FairQueue::pushBack(std::string_view workspace, RequestHandle request)
{
    lineOf(workspace).requests.push_back(request);
    ++m_size;
}

void FairQueue::pushFront(std::string_view workspace, RequestHandle request)
{
    lineOf(workspace).requests.push_front(request);
    ++m_size;
}

const FairQueue::Line *FairQueue::nextLine() const
{
    const Line *next = nullptr;
    for (const Line &line : m_lines) {
        if (!line.requests.empty() && (next == nullptr || line.virtualTime < next->virtualTime)) {
            next = &line;
        }
    }
    return next;
}

std::optional<RequestHandle> FairQueue::front() const
{
    const Line *line = nextLine();
    return line == nullptr ? std::nullopt : std::optional(line->requests.front());
}

std::optional<RequestHandle> FairQueue::backOfLongest() const
{
    const auto longest = std::ranges::max_element(m_lines, {}, [](const Line &line) {
        return line.requests.size();
    });
    const bool found = longest != m_lines.end() && !longest->requests.empty();
    return found ? std::optional(longest->requests.back()) : std::nullopt;
}

void FairQueue::popFront(std::uint32_t weight)
{
    const Line *next = nextLine();
    BANYANLOCK_ASSERT(next != nullptr);
    Line &line = m_lines[static_cast<std::size_t>(next - m_lines.data())];
    m_virtualNow = std::max(m_virtualNow, line.virtualTime);
    line.virtualTime += 1.0 / std::max(1U, weight);
    line.requests.pop_front();
    --m_size;
}

bool FairQueue::remove(std::string_view workspace, RequestHandle request)
{
    const auto line = std::ranges::find(m_lines, workspace, &Line::workspace);
    if (line == m_lines.end() || std::erase(line->requests, request) == 0) {
        return false;
    }
    --m_size;
    return true;
}

std::size_t FairQueue::sizeOf(std::string_view workspace) const
{
    const auto line = std::ranges::find(m_lines, workspace, &Line::workspace);
    return line == m_lines.end() ? 0 : line->requests.size();
}

std::size_t FairQueue::activeWorkspaces() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_lines, [](const Line &line) {
        return !line.requests.empty();
    }));
}

} // namespace banyanlock
