#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(position + 1, 2), nullptr, 16));
            position += 2;
        } else {
            result += text[position] == '+' ? ' ' : text[position];
        }
    }
    return result;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads one message: everything up to the blank line, then the body.
/// @return Whether a whole message was read before the end of the connection or the deadline.
bool readMessage(int socket, std::string &buffer, std::string &head, std::string &body,
                 std::optional<std::chrono::steady_clock::time_point> deadline)
{
    std::optional<std::size_t> length;
    std::size_t begin = 0;
    for (;;) {
        if (!length) {
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                head = buffer.substr(0, end + 2);
                begin = end + 4;
                std::string lower = head;
                std::ranges::transform(lower, lower.begin(), [](unsigned char character) {
                    return static_cast<char>(std::tolower(character));
                });
                const std::size_t field = lower.find("\r\ncontent-length:");
                length = field == std::string::npos ? 0 : std::stoul(lower.substr(field + 17));
            }
        }
        if (length && buffer.size() >= begin + *length) {
            body = buffer.substr(begin, *length);
            buffer.erase(0, begin + *length);
            return true;
        }
        if (deadline) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - std::chrono::steady_clock::now()).count();
            pollfd waiting{socket, POLLIN, 0};
            if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char bytes[16384];
        const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

HttpRequest requestOf(const std::string &head, std::string body)
{
    HttpRequest request;
    request.body = std::move(body);
    const std::size_t firstEnd = head.find("\r\n");
    const std::string line = head.substr(0, firstEnd);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    std::string target = line.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    if (mark != std::string::npos) {
        std::string rest = target.substr(mark + 1);
        target.resize(mark);
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find('&'), rest.size());
            const std::string pair = rest.substr(0, end);
            rest.erase(0, end + 1);
            const std::size_t equals = std::min(pair.find('='), pair.size());
            request.query[decodePercent(pair.substr(0, equals))] = equals < pair.size() ? decodePercent(pair.substr(equals + 1)) : "";
        }
    }
    request.path = target;
    std::size_t position = firstEnd + 2;
    while (position < head.size()) {
        const std::size_t end = head.find("\r\n", position);
        const std::string field = head.substr(position, end - position);
        position = end + 2;
        const std::size_t colon = field.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = field.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        const std::size_t value = field.find_first_not_of(' ', colon + 1);
        request.headers[name] = value == std::string::npos ? "" : field.substr(value);
    }
    return request;
}

} // namespace

HttpServer::HttpServer(std::string address, std::uint16_t port, Handler handler)
    : m_address(std::move(address))
    , m_port(port)
    , m_handler(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start()
{
    m_stopping = false;
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(m_address, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(m_listener, 128) != 0) {
        throw std::runtime_error("can't listen on " + m_address + ":" + std::to_string(m_port));
    }
    m_acceptor = std::thread([this] {
        acceptConnections();
    });
}

void HttpServer::stop()
{
    if (m_listener < 0) {
        return;
    }
    m_stopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    m_listener = -1;
    {
        const std::lock_guard lock(m_mutex);
        for (const int open : m_open) {
            shutdown(open, SHUT_RDWR);
        }
    }
    while (m_threads > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void HttpServer::acceptConnections()
{
    while (!m_stopping) {
        const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++m_threads;
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
        }
        std::thread([this, socket] {
            serve(socket);
            {
                const std::lock_guard lock(m_mutex);
                m_open.erase(socket);
            }
            close(socket);
            --m_threads;
        }).detach();
    }
}

void HttpServer::serve(int socket)
{
    std::string buffer;
    std::string head;
    std::string body;
    while (!m_stopping && readMessage(socket, buffer, head, body, std::nullopt)) {
        const HttpAnswer answer = m_handler(requestOf(head, std::move(body)));
        if (m_stopping) {
            return;
        }
        if (answer.silent) {
            char ignored[4096];
            while (recv(socket, ignored, sizeof ignored, 0) > 0) { }
            return;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        if (!sendAll(socket, text)) {
            return;
        }
    }
}

std::optional<HttpAnswer> sendRequest(const std::string &address, std::uint16_t port, const std::string &method, const std::string &path,
                                      const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMilliseconds)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMilliseconds);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address, port);
    std::optional<HttpAnswer> result;
    if (connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        if (!headers.contains("Host")) {
            text += "Host: " + address + "\r\n";
        }
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::string head;
        HttpAnswer answer;
        if (sendAll(socket, text) && readMessage(socket, buffer, head, answer.body, deadline)) {
            answer.status = std::stoi(head.substr(head.find(' ') + 1));
            result = std::move(answer);
        }
    }
    close(socket);
    return result;
}

} // namespace review
