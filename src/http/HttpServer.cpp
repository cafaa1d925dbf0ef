#include "http/HttpServer.h"

#include "http/CallerSocket.h"
#include "http/ConnectionErrorCounter.h"
#include "http/ConnectionEvents.h"

#include <algorithm>
#include <asio/post.hpp>
#include <optional>
#include <poll.h>
#include <restinio/all.hpp>
#include <strings.h>
#include <utility>

namespace banyanlock
{
namespace
{

struct ServerTraits : restinio::single_thread_traits_t<restinio::asio_timer_manager_t, ConnectionErrorCounter> {
    using connection_state_listener_t = ConnectionEvents; // NOLINT(readability-identifier-naming): required by RESTinio
    using stream_socket_t = CallerSocket; // NOLINT(readability-identifier-naming): required by RESTinio
    // RESTinio's own limit on connections isn't used: it stops accepting, so that idle connections shut others out, and it loses one place
    // for each connection that is reset before it is accepted.
};

ServerRequest readRequest(const restinio::request_handle_t &handle)
{
    ServerRequest request;
    request.method = handle->header().method().c_str();
    const restinio::string_view_t path = handle->header().path();
    const restinio::string_view_t query = handle->header().query();
    request.path.assign(path.data(), path.size());
    request.query.assign(query.data(), query.size());
    handle->header().for_each_field([&](const restinio::http_header_field_t &field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = handle->body();
    return request;
}

/// Charge of a request in progress, released with the last reference to the request.
class RequestCharge
{
public:
    RequestCharge(CallerConnections &connections, std::uint64_t bytes)
        : m_connections(connections)
        , m_bytes(bytes)
    {
    }

    ~RequestCharge()
    {
        m_connections.budget().endRequest(m_bytes);
    }

    RequestCharge(const RequestCharge &) = delete;
    RequestCharge &operator=(const RequestCharge &) = delete;

private:
    CallerConnections &m_connections;
    std::uint64_t m_bytes;
};

void writeResponse(const restinio::request_handle_t &handle, const ServerResponse &response, bool close, restinio::write_status_cb_t onEnd)
{
    const auto code = static_cast<std::uint16_t>(response.status);
    auto builder = handle->create_response(restinio::http_status_line_t{restinio::http_status_code_t{code}, "-"});
    if (response.closeConnection || close) {
        builder.connection_close();
    }
    if (!response.contentType.empty()) {
        builder.append_header(restinio::http_field::content_type, response.contentType);
    }
    for (const HttpHeader &header : response.headers) {
        builder.append_header(header.name, header.value);
    }
    if (response.body) {
        builder.set_body(*response.body);
    }
    builder.done(std::move(onEnd));
}

void writeTruncated(const restinio::request_handle_t &handle, const ServerResponse &response, restinio::write_status_cb_t onEnd)
{
    const std::string body = response.body ? *response.body : "";
    auto builder = handle->create_response<restinio::user_controlled_output_t>(restinio::status_ok());
    builder.set_content_length(body.size() + 1);
    builder.connection_close();
    builder.append_header(restinio::http_field::content_type, response.contentType);
    builder.append_body(body);
    builder.done(std::move(onEnd));
}

} // namespace

std::optional<std::string> ServerRequest::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [&](const HttpHeader &header) {
        return header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0;
    });
    return found == headers.end() ? std::nullopt : std::optional(found->value);
}

std::string ServerRequest::parameter(std::string_view name) const
{
    const auto parsed = restinio::try_parse_query<restinio::parse_query_traits::restinio_defaults>(query);
    if (!parsed || !parsed->has(restinio::string_view_t(name.data(), name.size()))) {
        return {};
    }
    const restinio::string_view_t value = (*parsed)[restinio::string_view_t(name.data(), name.size())];
    return {value.data(), value.size()};
}

/// Wraps the RESTinio server.
class HttpServer::Impl
{
public:
    Impl(EventLoop &loop, HttpServerLimits limits, Counters &counters, Handler handler)
        : m_loop(loop)
        , m_limits(limits)
        , m_counters(counters)
        , m_connections(std::make_shared<ConnectionEvents>(counters))
        , m_callers(CallerConnections::of(loop.context()))
        , m_handler(std::move(handler))
    {
    }

    void listen(const Endpoint &endpoint)
    {
        using Server = restinio::http_server_t<ServerTraits>;
        m_server = std::make_unique<Server>(restinio::external_io_context(m_loop.context()), [&](auto &settings) {
            settings.address(endpoint.address)
                .port(endpoint.port)
                .read_next_http_message_timelimit(m_limits.headerTimeout)
                .handle_request_timeout(m_limits.requestTimeout)
                .write_http_response_timelimit(std::chrono::seconds(30))
                .logger(m_counters)
                .connection_state_listener(m_connections)
                .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                    m_listeningSocket = acceptor.native_handle();
                    m_callers.addServer(acceptor.local_endpoint().port(), m_limits.connections, m_limits.callers, m_counters);
                })
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                              .max_url_size(8192)
                                              .max_field_name_size(256)
                                              .max_field_value_size(8192)
                                              .max_field_count(100)
                                              .max_body_size(m_limits.bodyBytes))
                .socket_options_setter([](auto &options) {
                    options.set_option(asio::ip::tcp::no_delay{true});
                })
                .request_handler([this](const restinio::request_handle_t &handle) {
                    return handleRequest(handle);
                });
        });
        m_server->open_sync();
    }

    void closeAfterAnswers()
    {
        m_closeAfterResponse = true;
    }

    void close()
    {
        if (!m_server || m_stopped) {
            return;
        }
        if (!m_closeDeadline) {
            m_closeDeadline = EventLoop::now() + maxAcceptDelay;
        }
        if (hasPendingConnection() && EventLoop::now() < *m_closeDeadline) {
            // Closing the socket would make the kernel reset the pending connections, so the loop accepts them first.
            asio::post(m_loop.context(), [this] {
                close();
            });
            return;
        }
        m_stopped = true;
        m_server->close_sync();
    }

private:
    static constexpr std::uint64_t requestOverhead = 1024; // of headers, in bytes
    static constexpr Duration maxAcceptDelay = fromMilliseconds(200); // bounds the wait while connections keep arriving

    bool hasPendingConnection() const
    {
        pollfd listening{m_listeningSocket, POLLIN, 0};
        return poll(&listening, 1, 0) > 0 && (listening.revents & POLLIN) != 0;
    }

    restinio::request_handling_status_t handleRequest(const restinio::request_handle_t &handle)
    {
        m_connections->onRequest(handle->connection_id());
        const CallerBudget::Connection connection = m_callers.current();
        const std::uint64_t bytes = requestOverhead + 2 * handle->body().size(); // RESTinio's copy and that of the handler
        if (!m_callers.budget().beginRequest(connection, bytes)) {
            m_callers.record(CallerLimit::HeldBytes, bytes);
            constexpr int unavailable = 503;
            ServerResponse refusal;
            refusal.status = unavailable;
            answer(handle, connection, refusal, true);
            return restinio::request_accepted();
        }
        m_loop.runEvent([&] {
            m_handler(
                readRequest(handle),
                [this, handle, connection, charge = std::make_shared<RequestCharge>(m_callers, bytes)](const ServerResponse &response) {
                    answer(handle, connection, response, m_closeAfterResponse);
                });
        });
        return restinio::request_accepted();
    }

    void answer(const restinio::request_handle_t &handle, CallerBudget::Connection connection, const ServerResponse &response, bool close)
    {
        m_callers.budget().beginAnswer(connection, requestOverhead + (response.body ? response.body->size() : 0), EventLoop::now());
        const auto onEnd = [&callers = m_callers, connection](const std::error_code &) {
            callers.budget().endAnswer(connection);
        };
        if (response.truncateBody) {
            writeTruncated(handle, response, onEnd);
        } else {
            writeResponse(handle, response, close, onEnd);
        }
        m_callers.closeExcess();
    }

    EventLoop &m_loop;
    HttpServerLimits m_limits;
    Counters &m_counters;
    std::shared_ptr<ConnectionEvents> m_connections;
    CallerConnections &m_callers;
    Handler m_handler;
    bool m_closeAfterResponse = false;
    bool m_stopped = false;
    int m_listeningSocket = -1;
    std::optional<TimePoint> m_closeDeadline; // set by the first call of close()
    std::unique_ptr<restinio::http_server_t<ServerTraits>> m_server;
};

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits, Counters &counters, Handler handler)
    : m_impl(std::make_unique<Impl>(loop, limits, counters, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Result<Done> HttpServer::listen(const Endpoint &endpoint)
{
    try {
        m_impl->listen(endpoint);
        return Done();
    } catch (const std::exception &error) {
        return Error{ResultCode::InvalidSettings, "can't listen on " + endpoint.toString() + ": " + error.what()};
    }
}

void HttpServer::closeAfterAnswers()
{
    m_impl->closeAfterAnswers();
}

void HttpServer::stopListening()
{
    m_impl->close();
}

} // namespace banyanlock
