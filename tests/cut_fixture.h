#pragma once

#include "gateway_fixture.h"

#include <array>
#include <cerrno>
#include <list>
#include <poll.h>
#include <set>
#include <utility>

// A site whose hosts reach each upstream through a forwarder of their own, so that a host can be cut off from upstreams
// while callers, the store and the other hosts still reach it.
namespace pistachiospur::standin {

constexpr std::size_t kMaxHosts = 6;

// What a host's forwarders do.
enum class Cut {
    none,
    refused, // open connections are reset, new ones refused
    silent, // open connections pass nothing on, new ones hang
    keptLive, // open connections go on, new ones are refused
};

// A connection that a forwarder has accepted, and the one to the upstream that belongs to it.
class Tunnel {
public:
    Tunnel(int caller, int upstream)
    {
        m_ends[0].fd = caller;
        m_ends[1].fd = upstream;
        resume();
    }
    ~Tunnel() { closeBoth(); }
    Tunnel(const Tunnel&) = delete;
    Tunnel& operator=(const Tunnel&) = delete;

    bool isClosed() const { return m_ends[0].fd < 0; }

    void pause()
    {
        for (auto& it : m_ends)
            it.watcher.stop();
    }

    // Passes bytes on again. What was sent on a connection that was reset meanwhile never arrives.
    void resume()
    {
        for (const auto& it : m_ends) {
            pollfd state { it.fd, 0, 0 };
            if (poll(&state, 1, 0) > 0 && state.revents & (POLLERR | POLLHUP))
                return reset();
        }
        watch();
    }

    void reset()
    {
        const linger atOnce { 1, 0 };
        for (const auto& it : m_ends)
            setsockopt(it.fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        closeBoth();
    }

private:
    struct End {
        int fd = -1;
        std::string unsent; // bytes from the other end
        bool hasEnded = false; // has sent its last byte
        bool isShut = false; // has been sent the last byte
        SocketWatcher watcher;

        explicit End(std::function<void(int)> callback)
            : watcher(std::move(callback))
        {
        }
    };

    void closeBoth()
    {
        for (auto& it : m_ends) {
            it.watcher.stop();
            if (it.fd >= 0)
                ::close(std::exchange(it.fd, -1));
        }
    }

    // Passes bytes from one end to the other; false if a connection is broken.
    static bool passOn(End& from, End& to)
    {
        if (to.unsent.empty() && !from.hasEnded) {
            std::array<char, 16384> buf;
            const ssize_t n = recv(from.fd, buf.data(), buf.size(), 0);
            if (n < 0 && errno != EAGAIN)
                return false;
            from.hasEnded = n == 0;
            to.unsent.assign(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
        if (!to.unsent.empty()) {
            const ssize_t n = send(to.fd, to.unsent.data(), to.unsent.size(), MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
                return false;
            to.unsent.erase(0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
        if (from.hasEnded && to.unsent.empty() && !to.isShut) {
            shutdown(to.fd, SHUT_WR);
            to.isShut = true;
        }
        return true;
    }

    void passOnBothWays()
    {
        if (!passOn(m_ends[0], m_ends[1]) || !passOn(m_ends[1], m_ends[0]))
            return reset();
        if (m_ends[0].isShut && m_ends[1].isShut)
            return closeBoth();
        watch();
    }

    void watch()
    {
        for (std::size_t n = 0; n < 2; ++n) {
            End& end = m_ends[n];
            const bool reads = m_ends[1 - n].unsent.empty() && !end.hasEnded;
            const int events = (reads ? EV_READ : 0) | (end.unsent.empty() ? 0 : EV_WRITE);
            end.watcher.stop();
            if (events)
                end.watcher.watch(end.fd, events);
        }
    }

    std::array<End, 2> m_ends { End([this](int) { passOnBothWays(); }), End([this](int) { passOnBothWays(); }) };
};

// Passes connections on from a port to an upstream, as far as the cut lets them.
class Forwarder {
public:
    // No other socket may listen at `at`, also while this one does not.
    Forwarder(Endpoint at, Endpoint upstream)
        : m_at(std::move(at))
        , m_upstream(std::move(upstream))
    {
        setCut(Cut::none);
    }
    ~Forwarder()
    {
        closeFillers();
        closeListener();
    }
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    const Endpoint& endpoint() const { return m_at; }
    unsigned accepted() const { return m_accepted; } // connections

    void setCut(Cut cut)
    {
        closeFillers();
        m_tunnels.remove_if([](const Tunnel& it) { return it.isClosed(); });
        if (m_fd >= 0)
            acceptAll();
        switch (cut) {
        case Cut::none:
            if (m_fd < 0)
                m_fd = listenOn(m_at);
            listen(m_fd, SOMAXCONN);
            m_watcher.watch(m_fd, EV_READ);
            for (auto& it : m_tunnels)
                it.resume();
            break;
        case Cut::refused:
            for (auto& it : m_tunnels)
                it.reset();
            closeListener();
            break;
        case Cut::silent:
            for (auto& it : m_tunnels)
                it.pause();
            m_watcher.stop();
            fillBacklog();
            break;
        case Cut::keptLive:
            closeListener();
            break;
        }
    }

private:
    void closeListener()
    {
        m_watcher.stop();
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    void closeFillers()
    {
        for (const int fd : m_fillers)
            ::close(fd);
        m_fillers.clear();
    }

    // Connections that find the backlog full are not answered.
    void fillBacklog()
    {
        listen(m_fd, 0);
        bool isFull = false;
        while (!isFull && m_fillers.size() < 8) {
            m_fillers.push_back(connectTo(m_at));
            pollfd state { m_fillers.back(), POLLOUT, 0 };
            isFull = poll(&state, 1, 10) == 0;
        }
        BOOST_REQUIRE(isFull);
    }

    void acceptAll()
    {
        m_tunnels.remove_if([](const Tunnel& it) { return it.isClosed(); });
        for (int fd; (fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0; ++m_accepted)
            m_tunnels.emplace_back(fd, connectTo(m_upstream));
    }

    Endpoint m_at;
    Endpoint m_upstream;
    int m_fd = -1;
    unsigned m_accepted = 0;
    std::vector<int> m_fillers;
    std::list<Tunnel> m_tunnels;
    SocketWatcher m_watcher { [this](int) { acceptAll(); } };
};

// A site of hosts that can be cut off from all upstreams. One at a time, since the functions of a platform adapter have
// no state.
struct CutSite : Fixture {
    std::array<Cut, kMaxHosts> cuts {};
    std::map<std::pair<std::size_t, std::uint16_t>, Forwarder> forwarders; // by host and upstream's port

    explicit CutSite(std::size_t hosts = 5)
        : Fixture(0)
    {
        current() = this;
        for (std::size_t n = 0; n < hosts; ++n)
            addHost(n);
    }
    ~CutSite()
    {
        gateways.clear();
        current() = nullptr;
    }
    CutSite(const CutSite&) = delete;
    CutSite& operator=(const CutSite&) = delete;

    void addHost(std::size_t n, const char* dataCentre = "z1")
    {
        Fixture::addHost(static_cast<int>(n), adapterOf(n), dataCentre);
    }

    void cut(const std::set<std::size_t>& hosts, Cut cut)
    {
        for (const auto host : hosts)
            cuts.at(host) = cut;
        for (auto& [way, forwarder] : forwarders) {
            if (hosts.count(way.first))
                forwarder.setCut(cut);
        }
    }

    // Cuts all hosts off from one upstream.
    void cutUpstream(const RangeUpstream& upstream, Cut cut)
    {
        for (auto& [way, forwarder] : forwarders) {
            if (way.second == portOf(upstream))
                forwarder.setCut(cut);
        }
    }

    // The number of hosts that have read an upstream's entry.
    std::size_t forwardersTo(const RangeUpstream& upstream) const
    {
        return static_cast<std::size_t>(std::count_if(forwarders.begin(), forwarders.end(),
            [port = portOf(upstream)](const auto& it) { return it.first.second == port; }));
    }

    // The connections that a host has opened to an upstream.
    unsigned connections(std::size_t host, const RangeUpstream& upstream) const
    {
        return forwarders.at({ host, portOf(upstream) }).accepted();
    }

    // The host that is the range leader; nothing if there is none.
    std::optional<std::size_t> leader() const
    {
        const Json record = Json::parse(store.value("pistachiospur/keepers/keyed"), nullptr, false);
        if (!record.is_object())
            return std::nullopt;
        return record["host"].get<std::string>().back() - '0';
    }

private:
    static std::uint16_t portOf(const RangeUpstream& upstream)
    {
        const std::string address = Json::parse(upstream.entry())["address"];
        return static_cast<std::uint16_t>(std::stoul(address.substr(address.find(':') + 1)));
    }

    Endpoint forwarderTo(std::size_t host, const Endpoint& upstream)
    {
        auto it = forwarders.find({ host, upstream.port });
        if (it == forwarders.end()) {
            it = forwarders.try_emplace({ host, upstream.port }, ports.reserve(), upstream).first;
            if (cuts.at(host) != Cut::none)
                it->second.setCut(cuts.at(host));
        }
        return it->second.endpoint();
    }

    // The adapter of a host, which finds each upstream at the host's forwarder.
    template <std::size_t Host> static const PlatformAdapter& adapter()
    {
        static const PlatformAdapter adapter = [] {
            PlatformAdapter made = platform::kvPlatformAdapter();
            made.decodeUpstream
                = [](const UpstreamName& name, const std::string& text) -> boost::leaf::result<UpstreamInstance> {
                auto decoded = platform::kvPlatformAdapter().decodeUpstream(name, text);
                if (decoded)
                    decoded->endpoint = current()->forwarderTo(Host, decoded->endpoint);
                return decoded;
            };
            return made;
        }();
        return adapter;
    }

    template <std::size_t... Hosts>
    static const PlatformAdapter& adapterAt(std::size_t n, std::index_sequence<Hosts...>)
    {
        const std::array<const PlatformAdapter*, sizeof...(Hosts)> all { &adapter<Hosts>()... };
        return *all.at(n);
    }
    static const PlatformAdapter& adapterOf(std::size_t n)
    {
        return adapterAt(n, std::make_index_sequence<kMaxHosts>());
    }

    static CutSite*& current()
    {
        static CutSite* site = nullptr;
        return site;
    }
};

} // namespace pistachiospur::standin
