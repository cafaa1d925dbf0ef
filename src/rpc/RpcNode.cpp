#include "rpc/RpcNode.h"

#include "rpc/RpcLoop.h"
#include "rpc/SupervisionCodec.h"
#include "rpc/WireCodec.h"

#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/debug.h>
#include <map>
#include <utility>

namespace banyanlock
{
namespace
{

/// Connection to one address, shared by all calls to it.
struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    // Bootstrapped only once: calling bootstrap() on a connection that has shut down terminates the process inside Cap'n Proto.
    capnp::Capability::Client peer = nullptr;
    kj::ForkedPromise<void> ready = nullptr;
};

/// Reply function that may be called from any thread: fulfills the waiting call on the loop's thread.
template <typename Answer> class CrossThreadReply
{
public:
    CrossThreadReply(RpcLoop &loop, kj::Own<kj::PromiseFulfiller<Answer>> fulfiller)
        : m_loop(loop)
        , m_fulfiller(std::make_shared<kj::Own<kj::PromiseFulfiller<Answer>>>(kj::mv(fulfiller)))
    {
    }

    void operator()(Answer answer) const
    {
        m_loop.post([fulfiller = m_fulfiller, answer = std::move(answer)](kj::AsyncIoContext &) mutable {
            (*fulfiller)->fulfill(std::move(answer));
        });
    }

private:
    RpcLoop &m_loop;
    std::shared_ptr<kj::Own<kj::PromiseFulfiller<Answer>>> m_fulfiller;
};

class AgentServer final : public wire::AgentRpc::Server
{
public:
    AgentServer(RpcLoop &loop, AgentHandlers handlers)
        : m_loop(loop)
        , m_handlers(std::move(handlers))
    {
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<AttemptReply>();
        m_handlers.forward(decode(context.getParams().getAttempt()), CrossThreadReply<AttemptReply>(m_loop, kj::mv(pair.fulfiller)));
        context.releaseParams();
        return pair.promise.then([context](const AttemptReply &reply) mutable {
            encode(reply, context.getResults().initReply());
        });
    }

    kj::Promise<void> revoke(RevokeContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<RevocationState>();
        m_handlers.revoke(decode(context.getParams().getRevocation()), CrossThreadReply<RevocationState>(m_loop, kj::mv(pair.fulfiller)));
        return pair.promise.then([context](RevocationState state) mutable {
            context.getResults().setState(static_cast<std::uint8_t>(state));
        });
    }

private:
    RpcLoop &m_loop;
    AgentHandlers m_handlers;
};

class EntryServer final : public wire::EntryRpc::Server
{
public:
    EntryServer(RpcLoop &loop, EntryHandlers handlers)
        : m_loop(loop)
        , m_handlers(std::move(handlers))
    {
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        m_handlers.announce(decode(context.getParams().getAnnouncement()));
        return kj::READY_NOW;
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<PeerHeartbeat>();
        m_handlers.heartbeat(decode(context.getParams().getPeer()), CrossThreadReply<PeerHeartbeat>(m_loop, kj::mv(pair.fulfiller)));
        return pair.promise.then([context](const PeerHeartbeat &peer) mutable {
            encode(peer, context.getResults().initPeer());
        });
    }

private:
    RpcLoop &m_loop;
    EntryHandlers m_handlers;
};

class SupervisorServer final : public wire::SupervisorRpc::Server
{
public:
    SupervisorServer(RpcLoop &loop, SupervisorHandlers handlers)
        : m_loop(loop)
        , m_handlers(std::move(handlers))
    {
    }

    kj::Promise<void> supervise(SuperviseContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<WorkerStatus>();
        m_handlers.supervise(decode(context.getParams().getRequest()), CrossThreadReply<WorkerStatus>(m_loop, kj::mv(pair.fulfiller)));
        context.releaseParams();
        return pair.promise.then([context](const WorkerStatus &status) mutable {
            encode(status, context.getResults().initStatus());
        });
    }

private:
    RpcLoop &m_loop;
    SupervisorHandlers m_handlers;
};

} // namespace

/// Connections and server; all members but the loop and the listener are used on the loop's thread only.
class RpcNode::Impl : private kj::TaskSet::ErrorHandler
{
public:
    ~Impl()
    {
        m_loop.stop([this] {
            m_tasks = nullptr;
            m_server = nullptr;
            m_connections.clear();
        });
    }

    RpcLoop &loop()
    {
        return m_loop;
    }

    void setDisconnectListener(std::function<void(const std::string &)> listener)
    {
        m_onDisconnect = std::move(listener);
    }

    Result<Done> serve(const Endpoint &endpoint, std::function<capnp::Capability::Client()> makeServer)
    {
        std::promise<Result<Done>> listening;
        m_loop.post([&](kj::AsyncIoContext &io) {
            try {
                auto address = io.provider->getNetwork().parseAddress(endpoint.toString()).wait(io.waitScope);
                auto receiver = address->listen();
                m_server = kj::heap<capnp::TwoPartyServer>(makeServer());
                tasks().add(m_server->listen(*receiver).attach(kj::mv(receiver)));
                listening.set_value(Done());
            } catch (const kj::Exception &error) {
                const std::string detail = "cannot listen on " + endpoint.toString() + ": " + error.getDescription().cStr();
                listening.set_value(Error{ResultCode::InvalidSettings, detail});
            }
        });
        return listening.get_future().get();
    }

    /// Makes one call; `send` issues it on the open connection and returns a promise for the answer.
    template <typename Answer, typename Send>
    void call(const std::string &address, Duration timeout, std::function<void(RpcResult<Answer>)> callback, Send send)
    {
        m_loop.post([this, address, timeout, callback = std::move(callback), send = std::move(send)](kj::AsyncIoContext &io) mutable {
            const auto sent = std::make_shared<bool>(false);
            const std::shared_ptr<Connection> connection = connectionTo(address, io);
            auto promise = connection->ready.addBranch().then([connection, sent, send = std::move(send)]() mutable {
                *sent = true;
                return send(connection->peer);
            });
            auto withTimeout = io.provider->getTimer().timeoutAfter(timeout.count() * kj::MICROSECONDS, kj::mv(promise));
            auto finished = withTimeout.then(
                [callback](Answer answer) {
                    callback(std::move(answer));
                },
                [this, callback, sent, connection, address](kj::Exception &&error) {
                    // A connection may stop responding without a TCP reset, so a timeout drops it like a disconnect.
                    (void)error;
                    drop(address, connection);
                    callback(*sent ? TransportFailure::Lost : TransportFailure::NotSent);
                });
            tasks().add(kj::mv(finished));
        });
    }

private:
    void taskFailed(kj::Exception &&exception) override
    {
        KJ_LOG(ERROR, exception);
    }

    kj::TaskSet &tasks()
    {
        if (m_tasks.get() == nullptr) {
            m_tasks = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler &>(*this));
        }
        return *m_tasks;
    }

    std::shared_ptr<Connection> connectionTo(const std::string &address, kj::AsyncIoContext &io)
    {
        std::shared_ptr<Connection> &connection = m_connections[address];
        if (connection) {
            return connection;
        }
        connection = std::make_shared<Connection>();
        const std::weak_ptr<Connection> pendingConnection = connection;
        connection->ready = io.provider->getNetwork()
                                .parseAddress(address)
                                .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                                    auto connecting = parsed->connect();
                                    return connecting.attach(kj::mv(parsed));
                                })
                                .then([this, pendingConnection, address](kj::Own<kj::AsyncIoStream> &&stream) {
                                    if (const std::shared_ptr<Connection> live = pendingConnection.lock()) {
                                        open(address, live, kj::mv(stream));
                                    }
                                })
                                .fork();
        return connection;
    }

    void open(const std::string &address, const std::shared_ptr<Connection> &connection, kj::Own<kj::AsyncIoStream> &&stream)
    {
        connection->stream = kj::mv(stream);
        connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
        connection->peer = connection->client->bootstrap();
        const std::weak_ptr<Connection> opened = connection;
        tasks().add(connection->client->onDisconnect().then([this, address, opened] {
            if (const std::shared_ptr<Connection> live = opened.lock()) {
                // Later calls open a new connection.
                drop(address, live);
                if (m_onDisconnect) {
                    m_onDisconnect(address);
                }
            }
        }));
    }

    void drop(const std::string &address, const std::shared_ptr<Connection> &connection)
    {
        const auto found = m_connections.find(address);
        if (found != m_connections.end() && found->second == connection) {
            m_connections.erase(found);
        }
    }

    RpcLoop m_loop;
    std::function<void(const std::string &)> m_onDisconnect;
    kj::Own<kj::TaskSet> m_tasks;
    kj::Own<capnp::TwoPartyServer> m_server;
    std::map<std::string, std::shared_ptr<Connection>> m_connections;
};

RpcNode::RpcNode()
    : m_impl(std::make_unique<Impl>())
{
}

RpcNode::~RpcNode() = default;

void RpcNode::setDisconnectListener(std::function<void(const std::string &)> listener)
{
    m_impl->setDisconnectListener(std::move(listener));
}

Result<Done> RpcNode::serveAgent(const Endpoint &endpoint, AgentHandlers handlers)
{
    RpcLoop &loop = m_impl->loop();
    return m_impl->serve(endpoint, [&loop, handlers = std::move(handlers)]() -> capnp::Capability::Client {
        return kj::heap<AgentServer>(loop, handlers);
    });
}

Result<Done> RpcNode::serveEntry(const Endpoint &endpoint, EntryHandlers handlers)
{
    RpcLoop &loop = m_impl->loop();
    return m_impl->serve(endpoint, [&loop, handlers = std::move(handlers)]() -> capnp::Capability::Client {
        return kj::heap<EntryServer>(loop, handlers);
    });
}

Result<Done> RpcNode::serveSupervisor(const Endpoint &endpoint, SupervisorHandlers handlers)
{
    RpcLoop &loop = m_impl->loop();
    return m_impl->serve(endpoint, [&loop, handlers = std::move(handlers)]() -> capnp::Capability::Client {
        return kj::heap<SupervisorServer>(loop, handlers);
    });
}

void RpcNode::supervise(const std::string &address, SuperviseRequest request, Duration timeout,
                        std::function<void(RpcResult<WorkerStatus>)> callback)
{
    m_impl->call<WorkerStatus>(address, timeout, std::move(callback), [request = std::move(request)](capnp::Capability::Client peer) {
        auto message = peer.castAs<wire::SupervisorRpc>().superviseRequest();
        encode(request, message.initRequest());
        return message.send().then([](auto &&response) {
            return decode(response.getStatus());
        });
    });
}

void RpcNode::forward(const std::string &address, AttemptMessage message, Duration timeout,
                      std::function<void(RpcResult<AttemptReply>)> callback)
{
    m_impl->call<AttemptReply>(address, timeout, std::move(callback), [message = std::move(message)](capnp::Capability::Client peer) {
        auto request = peer.castAs<wire::AgentRpc>().forwardRequest();
        encode(message, request.initAttempt());
        return request.send().then([](auto &&response) {
            return decode(response.getReply());
        });
    });
}

void RpcNode::revoke(const std::string &address, const Revocation &revocation, Duration timeout,
                     std::function<void(RpcResult<RevocationState>)> callback)
{
    m_impl->call<RevocationState>(address, timeout, std::move(callback), [revocation](capnp::Capability::Client peer) {
        auto request = peer.castAs<wire::AgentRpc>().revokeRequest();
        encode(revocation, request.initRevocation());
        return request.send().then([](auto &&response) {
            return static_cast<RevocationState>(response.getState());
        });
    });
}

void RpcNode::announce(const std::string &address, const Announcement &announcement, Duration timeout,
                       std::function<void(RpcResult<Done>)> callback)
{
    m_impl->call<Done>(address, timeout, std::move(callback), [announcement](capnp::Capability::Client peer) {
        auto request = peer.castAs<wire::EntryRpc>().announceRequest();
        encode(announcement, request.initAnnouncement());
        return request.send().then([](auto &&) {
            return Done();
        });
    });
}

void RpcNode::heartbeat(const std::string &address, const PeerHeartbeat &heartbeat, Duration timeout,
                        std::function<void(RpcResult<PeerHeartbeat>)> callback)
{
    m_impl->call<PeerHeartbeat>(address, timeout, std::move(callback), [heartbeat](capnp::Capability::Client peer) {
        auto request = peer.castAs<wire::EntryRpc>().heartbeatRequest();
        encode(heartbeat, request.initPeer());
        return request.send().then([](auto &&response) {
            return decode(response.getPeer());
        });
    });
}

} // namespace banyanlock
