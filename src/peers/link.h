#pragma once

#include "io/loop.h"
#include "messages.h"

#include <functional>
#include <memory>
#include <string>

// A WebSocket connection between two hosts: websocketpp over a non-blocking socket on the event loop.
namespace pistachiospur {

// A link that received nothing for kPingInterval is pinged, and closed if it received nothing for kSilenceLimit.
constexpr Millis kPingInterval { 400 };
constexpr Millis kSilenceLimit { 1600 };
// A link without messages in either direction for this time is closed.
constexpr Millis kIdleLimit { 30000 };
// Max bytes buffered for a slow receiver. The link is closed when there are more.
constexpr std::size_t kMaxBacklogBytes = 64u << 20;

class Link {
public:
    struct Handlers {
        std::function<void(Link&)> onOpen;
        std::function<void(Link&, const std::string& frame)> onFrame;
        std::function<void(Link&)> onClose; // the last callback; the owner may delete the link after its return
    };

    // `connect` opens an outgoing link; `accept` makes an incoming one from an accepted socket.
    static std::unique_ptr<Link> connect(const Endpoint&, Handlers);
    static std::unique_ptr<Link> accept(int fd, Handlers);
    virtual ~Link() = default;

    virtual void send(const std::string& frame) = 0;
    virtual void close() = 0;
    virtual bool isOpen() const = 0;
    virtual bool isClosed() const = 0;
    // When any bytes last arrived, pings included.
    virtual Millis lastReceived() const = 0;
    // When a message was last sent or received; pings don't count.
    virtual Millis lastUsed() const = 0;
    // Called at intervals: pings a silent link, and closes it after kSilenceLimit or kIdleLimit.
    virtual void check(Millis now) = 0;

    HostName peer; // on an incoming link, empty until its Hello
    std::uint64_t id = 0; // assigned by the owner, never reused
};

} // namespace pistachiospur
