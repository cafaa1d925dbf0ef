#include "Proxy.h"

#include "Net.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

/// One direction of a connection.
struct Flow {
    std::string held;
    bool ended = false; // the sender has closed its side
    bool closed = false; // the end was passed on
};

/// Reads what has arrived.
/// @return Whether the connection is still usable; not after a reset.
bool drain(int socket, Flow &flow)
{
    char block[65536];
    while (!flow.ended) {
        const ssize_t count = recv(socket, block, sizeof(block), MSG_DONTWAIT);
        if (count > 0) {
            flow.held.append(block, static_cast<std::size_t>(count));
        } else if (count == 0) {
            flow.ended = true;
        } else {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
    }
    return true;
}

bool pass(int socket, Flow &flow)
{
    while (!flow.held.empty()) {
        const ssize_t count = send(socket, flow.held.data(), flow.held.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count <= 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        flow.held.erase(0, static_cast<std::size_t>(count));
    }
    if (flow.ended && !flow.closed) {
        flow.closed = true;
        shutdown(socket, SHUT_WR);
    }
    return true;
}

} // namespace

bool hasConnection(int pid, int port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        // Columns: number, local address, remote address, state, queues, timer, retransmissions, user, timeout, inode.
        std::istringstream columns(line);
        std::array<std::string, 10> column;
        for (std::string &text : column) {
            columns >> text;
        }
        const std::string &local = column[1];
        constexpr int hexadecimal = 16;
        if (std::stoi(local.substr(local.find(':') + 1), nullptr, hexadecimal) != port) {
            continue;
        }
        const std::string wanted = "socket:[" + column[9] + "]";
        std::error_code error;
        for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error)) {
            if (std::filesystem::read_symlink(entry.path(), error) == wanted) {
                return true;
            }
        }
    }
    return false;
}

Proxy::Proxy(int target, Identify identify)
    : m_target(target)
    , m_port(freePort())
    , m_identify(std::move(identify))
{
    const int listening = listenOn(m_port);
    std::thread([this, listening] {
        while (true) {
            sockaddr_in peer{};
            socklen_t size = sizeof(peer);
            const int socket = accept4(listening, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::string client = m_identify ? m_identify(ntohs(peer.sin_port)) : "";
            std::thread([this, socket, client] {
                forward(socket, client);
            }).detach();
        }
    }).detach();
}

void Proxy::cutFrom(std::set<std::string> clients)
{
    const std::lock_guard lock(m_mutex);
    m_cutClients = std::move(clients);
}

void Proxy::heal()
{
    const std::lock_guard lock(m_mutex);
    m_cut = false;
    m_cutClients.clear();
}

bool Proxy::isCutFor(const std::string &client)
{
    const std::lock_guard lock(m_mutex);
    return m_cut || m_cutClients.contains(client);
}

void Proxy::forward(int socket, const std::string &client)
{
    Flow up;
    Flow down;
    int server = -1;
    const bool isNewDuringCut = isCutFor(client);
    while (true) {
        if (!drain(socket, up) || (server >= 0 && !drain(server, down))) {
            break; // what was held up is lost with the connection
        }
        if (!isCutFor(client)) {
            if (server < 0) {
                server = isNewDuringCut && up.ended ? -1 : connectTo(m_target);
                if (server < 0) {
                    break;
                }
            }
            if (!pass(server, up) || !pass(socket, down) || (up.closed && down.closed)) {
                break;
            }
        }
        std::array<pollfd, 2> waiting{pollfd{up.ended ? -1 : socket, POLLIN, 0}, pollfd{down.ended ? -1 : server, POLLIN, 0}};
        constexpr int look = 5;
        poll(waiting.data(), waiting.size(), look);
    }
    close(socket);
    if (server >= 0) {
        close(server);
    }
}

} // namespace review
