#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// Request that a stand-in has received.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Answer to a request.
struct HttpAnswer {
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< Servers only: nothing is sent, and the connection delivers nothing further.
};

/// Minimal HTTP/1.1 server with one thread for each connection, so handlers may block.
class HttpServer
{
public:
    using Handler = std::function<HttpAnswer(const HttpRequest &)>;

    HttpServer(std::string address, std::uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen.
    void start();

    /// Stops listening and closes all connections, like a process that ends.
    void stop();

    /// @return Whether the server has been stopped; blocking handlers must return then.
    bool isStopping() const
    {
        return m_stopping;
    }

private:
    void acceptConnections();
    void serve(int socket);

    std::string m_address;
    std::uint16_t m_port;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_threads = 0;
};

/// Sends one request on a connection of its own.
/// @return The answer, or nothing if there was none in time.
std::optional<HttpAnswer> sendRequest(const std::string &address, std::uint16_t port, const std::string &method, const std::string &path,
                                      const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMilliseconds);

} // namespace review
