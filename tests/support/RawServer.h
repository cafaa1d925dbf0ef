#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace banyanlock
{

/// TCP server that answers each request with preset bytes; an empty answer closes the connection instead.
class RawServer
{
public:
    /// Answer that closes the connection and makes the server stop listening.
    static constexpr const char *stopServer = "close for good";

    /// @param answers Bytes to send for each request, in order.
    explicit RawServer(std::vector<std::string> answers)
        : m_answers(std::move(answers))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        listen(m_listener, 8);
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~RawServer()
    {
        m_stopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    /// @return URL of the server.
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/";
    }

    /// @return Number of requests read.
    int requests() const
    {
        return m_requests;
    }

private:
    void serve()
    {
        while (!m_stopping) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            while (handleRequest(connection)) { }
            close(connection);
        }
    }

    /// Reads one request and sends its preset answer.
    /// @return Whether the connection stays open.
    bool handleRequest(int connection)
    {
        char buffer[4096];
        if (recv(connection, buffer, sizeof(buffer), 0) <= 0) {
            return false;
        }
        const auto number = static_cast<std::size_t>(m_requests++);
        const std::string answer = number < m_answers.size() ? m_answers[number] : "";
        if (answer == stopServer) {
            shutdown(m_listener, SHUT_RDWR);
            return false;
        }
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        // Only a complete response keeps the connection open.
        return answer.ends_with("\r\n\r\nok") && answer.find("Content-Length: 2\r") != std::string::npos;
    }

    std::vector<std::string> m_answers;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace banyanlock
