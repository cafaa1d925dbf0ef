#include "Net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index] == '+' ? ' ' : text[index];
        }
    }
    return result;
}

/// Waits for data and appends it.
/// @return Whether data came before the deadline.
bool readMore(int socket, std::string &buffer, std::int64_t deadline)
{
    pollfd waiting{socket, POLLIN, 0};
    const std::int64_t left = std::max<std::int64_t>(deadline - nowMs(), 0);
    if (poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char block[65536];
    const ssize_t count = recv(socket, block, sizeof(block), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(block, static_cast<std::size_t>(count));
    return true;
}

bool sendAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// A message head and body, taken from the front of a buffer.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::optional<Message> readMessage(int socket, std::string &buffer, std::int64_t deadline)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, buffer, deadline)) {
            return std::nullopt;
        }
    }
    Message message;
    const std::string head = buffer.substr(0, end);
    std::size_t begin = head.find("\r\n");
    message.firstLine = head.substr(0, begin);
    while (begin != std::string::npos) {
        const std::size_t next = head.find("\r\n", begin + 2);
        const std::string line = head.substr(begin + 2, next == std::string::npos ? next : next - begin - 2);
        if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        begin = next;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size) {
        if (!readMore(socket, buffer, deadline)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return message;
}

Request requestOf(const Message &message)
{
    Request request;
    const std::size_t first = message.firstLine.find(' ');
    const std::size_t second = message.firstLine.find(' ', first + 1);
    request.method = message.firstLine.substr(0, first);
    const std::string target = message.firstLine.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string pair = target.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decoded(pair.substr(equals + 1));
        begin = end + 1;
    }
    request.headers = message.headers;
    request.body = message.body;
    return request;
}

void serveConnection(int socket, const HttpServer::Handler &handler)
{
    constexpr std::int64_t longest = 600'000;
    std::string buffer;
    while (const std::optional<Message> message = readMessage(socket, buffer, nowMs() + longest)) {
        const Response response = handler(requestOf(*message));
        if (response.silent) {
            continue;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text)) {
            break;
        }
    }
    close(socket);
}

} // namespace

std::int64_t nowMs()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

int freePort()
{
    // Below the ports that the system gives to outgoing connections, which could take one before its process listens. Plays side by side
    // begin at different ports.
    constexpr int firstPort = 10'000;
    constexpr int portsOfPlay = 100;
    constexpr int plays = 200;
    static std::atomic<int> next = firstPort + getpid() % plays * portsOfPlay;
    while (true) {
        const int port = next++;
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        close(socket);
        if (isFree) {
            return port;
        }
    }
}

int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

int listenOn(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    constexpr int backlog = 128;
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(socket, backlog) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    return socket;
}

HttpServer::HttpServer(int port, Handler handler)
{
    const int listening = listenOn(port);
    std::thread([listening, handler = std::move(handler)] {
        while (true) {
            const int socket = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([socket, handler] {
                serveConnection(socket, handler);
            }).detach();
        }
    }).detach();
}

std::optional<Response> call(int port, const std::string &method, const std::string &target,
                             const std::map<std::string, std::string> &headers, const std::string &body, std::int64_t timeout)
{
    const int socket = connectTo(port);
    if (socket < 0) {
        return std::nullopt;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<Response> response;
    std::string buffer;
    if (sendAll(socket, text)) {
        if (const std::optional<Message> message = readMessage(socket, buffer, nowMs() + timeout)) {
            response.emplace();
            response->status = std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1));
            response->body = message->body;
        }
    }
    close(socket);
    return response;
}

} // namespace review
