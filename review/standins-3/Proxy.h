#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace review
{

/// A link to a process: forwards the connections of a loopback port to another one.
///
/// While the link is cut, bytes of connections that were open before are held up and delivered once it is healed, unless their sender has
/// reset the connection. A connection that is opened during a cut is established when the cut ends, if its client is still there.
class Proxy
{
public:
    /// Names the process that has opened a connection, by the connection's port at that process.
    using Identify = std::function<std::string(int)>;

    /// @param target Port to forward to.
    /// @param identify Names the clients; not needed if the link is only cut as a whole.
    explicit Proxy(int target, Identify identify = {});

    /// @return Port that the proxy listens on.
    int port() const
    {
        return m_port;
    }

    /// Cuts the link in both directions.
    void cut()
    {
        m_cut = true;
    }

    /// Cuts the link for some clients.
    /// @param clients Their names.
    void cutFrom(std::set<std::string> clients);

    /// Ends the cut.
    void heal();

private:
    bool isCutFor(const std::string &client);
    void forward(int socket, const std::string &client);

    int m_target;
    int m_port;
    Identify m_identify;
    std::atomic<bool> m_cut = false;
    std::mutex m_mutex;
    std::set<std::string> m_cutClients;
};

/// @param pid Process.
/// @param port Port at that process of a TCP connection over the loopback interface.
/// @return Whether the process has the connection open.
bool hasConnection(int pid, int port);

} // namespace review
