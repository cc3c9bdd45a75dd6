#include "link.h"

#include "io/socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace pistachiospur {

namespace {

constexpr std::size_t kReadChunkBytes = 64u << 10;
constexpr std::size_t kMaxFrameBytes = 16u << 20;
// Of websocketpp, for each link. Most messages are smaller.
constexpr std::size_t kLibraryBufferBytes = 4096;

struct ClientConfig : websocketpp::config::core_client {
    // NOLINTNEXTLINE(readability-identifier-naming): the library's name
    static const std::size_t max_message_size = kMaxFrameBytes;
    // NOLINTNEXTLINE(readability-identifier-naming): the library's name
    static const std::size_t connection_read_buffer_size = kLibraryBufferBytes;
};

struct ServerConfig : websocketpp::config::core {
    // NOLINTNEXTLINE(readability-identifier-naming): the library's name
    static const std::size_t max_message_size = kMaxFrameBytes;
    // NOLINTNEXTLINE(readability-identifier-naming): the library's name
    static const std::size_t connection_read_buffer_size = kLibraryBufferBytes;
};

// websocketpp's endpoint object, with the library's own log switched off. All links of one role share it.
template <typename EndpointType> EndpointType& sharedEndpoint()
{
    static EndpointType endpoint;
    static const bool logsOff = [] {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        return true;
    }();
    (void)logsOff;
    return endpoint;
}

using Client = websocketpp::client<ClientConfig>;
using Server = websocketpp::server<ServerConfig>;

void disableNagle(int fd)
{
    const int on = 1;
    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A link over a connection of either role, websocketpp's client or server.
template <typename Role> class SocketLink : public Link {
public:
    SocketLink(int fd, bool connecting, Handlers handlers, std::size_t maxBacklogBytes)
        : m_fd(fd)
        , m_connecting(connecting)
        , m_handlers(std::move(handlers))
        , m_maxBacklogBytes(maxBacklogBytes)
        , m_watcher([this](int events) { onEvents(events); })
        , m_closeTimer([this] { close(); })
        , m_lastReceived(monotonicNow())
        , m_lastUsed(m_lastReceived)
        , m_proofTimer([this] { close(); })
    {
        disableNagle(fd);
    }

    ~SocketLink() override
    {
        if (m_connection)
            detachHandlers();
        if (m_fd >= 0)
            ::close(m_fd);
    }

    void begin(typename Role::connection_ptr connection)
    {
        m_connection = std::move(connection);
        if (!m_connection || m_fd < 0) {
            m_closeTimer.once(Millis(0));
            return;
        }
        m_connection->set_write_handler([this](const websocketpp::connection_hdl&, const char* data, std::size_t n) {
            m_out.append(data, n);
            flush();
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler([this](const websocketpp::connection_hdl&) {
            m_open = true;
            m_handlers.onOpen(*this);
        });
        m_connection->set_message_handler(
            [this](const websocketpp::connection_hdl&, const typename Role::message_ptr& message) {
                m_lastUsed = monotonicNow();
                m_handlers.onFrame(*this, message->get_payload());
            });
        m_connection->set_close_handler([this](const websocketpp::connection_hdl&) { m_closeTimer.once(Millis(0)); });
        m_connection->set_fail_handler([this](const websocketpp::connection_hdl&) { m_closeTimer.once(Millis(0)); });
        if (!m_connecting)
            m_connection->start();
        watch();
    }

    void send(const std::string& frame, bool proven) override
    {
        m_lastUsed = monotonicNow();
        if (!m_open)
            return;
        const bool stale = m_lastUsed - m_lastReceived >= kProofAge;
        if (!isHolding() && !(proven && stale))
            return write(frame);
        m_held.push_back(frame);
        if (m_held.size() > 1)
            return;
        ping();
        m_proofTimer.once(kProofLimit);
    }

    bool isHolding() const override { return !m_held.empty(); }

    void close() override
    {
        if (m_closed)
            return;
        m_closed = true;
        m_open = false;
        m_watcher.stop();
        m_closeTimer.stop();
        m_proofTimer.stop();
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_handlers.onClose(*this);
    }

    bool isOpen() const override { return m_open; }
    bool isClosed() const override { return m_closed; }
    Millis lastReceived() const override { return m_lastReceived; }
    Millis lastUsed() const override { return m_lastUsed; }

    void check(Millis now, bool expectsReply) override
    {
        if (m_closed)
            return;
        const bool opening = !m_open && now - m_lastReceived >= kSilenceLimit;
        const bool silent = m_awaitingSince && now - *m_awaitingSince >= kSilenceLimit;
        if (now - m_lastUsed >= kIdleLimit || opening || silent) {
            close();
            return;
        }
        // Any received bytes prove that the link works, so a reply to each message is not needed.
        const bool unanswered = m_awaitingSince && now - *m_awaitingSince >= kPingInterval;
        const bool due = expectsReply && !m_awaitingSince && now - m_lastReceived >= kPingInterval;
        if (m_open && (unanswered || due))
            ping();
    }

private:
    // Removes the handlers, so that the connection does not call this object after its destruction.
    void detachHandlers()
    {
        m_connection->set_write_handler([](const websocketpp::connection_hdl&, const char*, std::size_t) {
            return websocketpp::lib::error_code();
        });
        m_connection->set_open_handler(nullptr);
        m_connection->set_message_handler(nullptr);
        m_connection->set_close_handler(nullptr);
        m_connection->set_fail_handler(nullptr);
    }

    void write(const std::string& frame)
    {
        if (!m_awaitingSince)
            m_awaitingSince = monotonicNow();
        m_connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    }

    void ping()
    {
        websocketpp::lib::error_code ec;
        m_connection->ping("", ec);
        if (!m_awaitingSince)
            m_awaitingSince = monotonicNow();
    }

    void releaseHeld()
    {
        m_proofTimer.stop();
        for (const auto& frame : std::exchange(m_held, {}))
            write(frame);
    }

    void watch()
    {
        if (m_fd < 0)
            return;
        const int events = m_connecting ? EV_WRITE : (m_out.empty() ? EV_READ : EV_READ | EV_WRITE);
        if (events == m_events)
            return;
        m_events = events;
        m_watcher.watch(m_fd, events);
    }

    void onEvents(int events)
    {
        if (m_connecting) {
            finishConnect();
            return;
        }
        if (events & EV_WRITE)
            flush();
        if ((events & EV_READ) && !m_closed)
            receive();
        watch();
    }

    void finishConnect()
    {
        int ec = 0;
        socklen_t n = sizeof ec;
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &ec, &n);
        if (ec != 0) {
            close();
            return;
        }
        m_connecting = false;
        m_connection->start();
        watch();
    }

    void receive()
    {
        static thread_local std::string buf(kReadChunkBytes, '\0');
        const ssize_t n = ::read(m_fd, buf.data(), buf.size());
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
            close();
            return;
        }
        if (n < 0)
            return;
        m_lastReceived = monotonicNow();
        m_awaitingSince.reset();
        if (!m_held.empty())
            releaseHeld();
        std::size_t consumed = 0;
        while (consumed < static_cast<std::size_t>(n) && !m_closed) {
            std::size_t count = 0;
            try {
                count = m_connection->read_some(buf.data() + consumed, static_cast<std::size_t>(n) - consumed);
            } catch (...) {
                close(); // the rest of the bytes cannot be understood
                throw;
            }
            if (count == 0)
                break;
            consumed += count;
        }
    }

    void flush()
    {
        while (!m_out.empty() && m_fd >= 0 && !m_connecting) {
            const ssize_t n = ::send(m_fd, m_out.data() + m_sent, m_out.size() - m_sent, MSG_NOSIGNAL);
            if (n < 0) {
                if (errno != EAGAIN && errno != EINTR)
                    m_closeTimer.once(Millis(0));
                break;
            }
            m_sent += static_cast<std::size_t>(n);
            if (m_sent == m_out.size()) {
                m_out.clear();
                m_sent = 0;
            }
        }
        if (m_out.size() - m_sent > m_maxBacklogBytes)
            m_closeTimer.once(Millis(0));
        watch();
    }

    int m_fd;
    bool m_connecting;
    Handlers m_handlers;
    std::size_t m_maxBacklogBytes;
    SocketWatcher m_watcher;
    Timer m_closeTimer; // closes the link after the current callback has returned
    typename Role::connection_ptr m_connection;
    std::string m_out; // encoded frames; the first m_sent bytes are sent
    std::size_t m_sent = 0;
    int m_events = 0; // that m_watcher waits for
    bool m_open = false;
    bool m_closed = false;
    Millis m_lastReceived;
    Millis m_lastUsed;
    std::optional<Millis> m_awaitingSince; // first message or ping sent since bytes last arrived
    std::vector<std::string> m_held; // messages that wait for the proof that the link works
    Timer m_proofTimer;
};

} // namespace

std::unique_ptr<Link> Link::connect(const Endpoint& to, Handlers handlers, std::size_t maxBacklogBytes)
{
    auto link = std::make_unique<SocketLink<Client>>(connectTo(to), true, std::move(handlers), maxBacklogBytes);
    websocketpp::lib::error_code ec;
    auto connection = sharedEndpoint<Client>().get_connection("ws://" + to.text() + "/peer", ec);
    link->begin(ec ? nullptr : connection);
    return link;
}

std::unique_ptr<Link> Link::accept(int fd, Handlers handlers, std::size_t maxBacklogBytes)
{
    auto link = std::make_unique<SocketLink<Server>>(fd, false, std::move(handlers), maxBacklogBytes);
    link->begin(sharedEndpoint<Server>().get_connection());
    return link;
}

} // namespace pistachiospur
