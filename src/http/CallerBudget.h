#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// Limits on what the servers of one process hold for their callers together.
struct CallerLimits {
    std::uint64_t heldBytes = 256ULL * 1024 * 1024; ///< Bytes of requests being received, requests in progress and unsent answers.
    std::uint64_t requestBytes = 16ULL * 1024 * 1024 + 65536; ///< Bytes of one request as sent, with headers and the overhead of chunks.
};

/// Why a connection is closed or a request refused.
enum class CallerLimit : std::uint8_t {
    RequestBytes, ///< More bytes than one request may have.
    HeldBytes, ///< The budget of the process is exceeded.
    Connections, ///< The server has too many connections.
    Count,
};

/// @param limit Limit to look up.
/// @return Name of the limit in logs.
std::string_view callerLimitName(CallerLimit limit);

/// Accounts for the memory that the servers of one process hold for their callers, and decides which connections to close when a limit is
/// exceeded. Has no I/O and no clock.
///
/// Connections that hold at most `smallBytes` can use the whole budget, larger ones only three quarters of it. A connection whose request
/// is in progress is never chosen, since its request may have taken effect.
class CallerBudget
{
public:
    /// Identifies a connection.
    using Connection = std::uint64_t;

    /// Identifies a server of the process.
    using Server = std::uint16_t;

    /// A connection to close.
    struct Closing {
        Connection connection; ///< The connection.
        CallerLimit limit; ///< Limit that is exceeded.
        std::uint64_t bytes; ///< Bytes held for it.
    };

    /// Largest number of bytes held for a small call.
    static constexpr std::uint64_t smallBytes = 32768;

    /// Bytes charged for each line of a request, because the server keeps a record of 16 bytes for each chunk, which has two lines.
    static constexpr std::uint64_t lineBytes = 16;

    /// @param limits Limits of the process.
    void setLimits(CallerLimits limits)
    {
        m_limits = limits;
    }

    /// Limits the connections of a server.
    /// @param server The server.
    /// @param connections Maximum number of connections.
    void setConnectionLimit(Server server, std::size_t connections)
    {
        m_servers[server].limit = connections;
    }

    /// Records a new connection.
    /// @param server Server that accepted it.
    /// @param now The current time.
    /// @return Id of the connection.
    Connection open(Server server, TimePoint now);

    /// Forgets a connection and what is held for it, except the charges of its requests in progress.
    /// @param connection The connection.
    void close(Connection connection);

    /// Records bytes that arrived.
    /// @param connection The connection.
    /// @param bytes Number of bytes.
    /// @param lines Number of line ends among them.
    /// @param now The current time.
    void receive(Connection connection, std::uint64_t bytes, std::uint64_t lines, TimePoint now);

    /// @param connection The connection.
    /// @return Whether a part of a request has been received.
    bool isReceiving(Connection connection) const
    {
        const auto found = m_entries.find(connection);
        return found != m_entries.end() && found->second.wireBytes > 0;
    }

    /// Records the announced length of the body that is being received, for which the server reserves memory.
    /// @param connection The connection.
    /// @param bytes Announced length; lengths over the limit on one request count as that limit, since the server does not accept them.
    void announce(Connection connection, std::uint64_t bytes);

    /// Records that a request is complete and that its handler runs.
    /// @param connection The connection.
    /// @param bytes Bytes that are held until it is answered.
    /// @return Whether the budget has room for it; otherwise nothing is charged, and the request must be refused.
    bool beginRequest(Connection connection, std::uint64_t bytes);

    /// Records that a request that `beginRequest` accepted is no longer held.
    /// @param bytes The number of bytes passed to `beginRequest`.
    void endRequest(std::uint64_t bytes);

    /// Records that an answer is to be sent. The connection has no request in progress from here on.
    /// @param connection The connection.
    /// @param bytes Size of the answer.
    /// @param now The current time.
    void beginAnswer(Connection connection, std::uint64_t bytes, TimePoint now);

    /// Records that a part of an answer was sent.
    /// @param connection The connection.
    /// @param now The current time.
    void progress(Connection connection, TimePoint now);

    /// Records that an answer is no longer held.
    /// @param connection The connection.
    void endAnswer(Connection connection);

    /// Chooses connections to close until the limits hold. Those chosen count as closed, though `close` must still be called for them.
    /// @param now The current time.
    /// @return The connections to close.
    std::vector<Closing> takeClosings(TimePoint now);

    /// @return Bytes held in total.
    std::uint64_t heldBytes() const
    {
        return m_held;
    }

private:
    struct Entry {
        Server server = 0;
        std::uint64_t wireBytes = 0; // of the request being received
        std::uint64_t received = 0;
        std::uint64_t announced = 0; // length of the body that is being received
        std::uint64_t unsent = 0;
        TimePoint lastProgress{};
        bool inProgress = false;
        bool closing = false;
    };

    struct ServerState {
        std::size_t limit = SIZE_MAX;
        std::size_t connections = 0;
    };

    static std::uint64_t bytesOf(const Entry &entry)
    {
        return std::max(entry.received, entry.announced) + entry.unsent;
    }

    std::uint64_t largeLimit() const
    {
        return m_limits.heldBytes / 4 * 3;
    }

    Entry *find(Connection connection);
    void charge(std::uint64_t bytes);
    void release(std::uint64_t bytes);
    void markClosing(Entry &entry);
    template <typename Predicate> std::optional<Connection> worst(TimePoint now, Predicate isCandidate) const;

    CallerLimits m_limits;
    std::unordered_map<Connection, Entry> m_entries;
    std::unordered_map<Server, ServerState> m_servers;
    std::vector<Closing> m_closings;
    Connection m_last = 0;
    std::uint64_t m_held = 0; // of all connections and requests
    std::uint64_t m_heldLarge = 0; // part of m_held that is over the small share of each connection and request
};

} // namespace banyanlock
