#pragma once

#include "io/loop.h"
#include "messages.h"

#include <functional>
#include <memory>
#include <string>

// One WebSocket connection between two hosts, by websocketpp over a plain socket on the loop.
namespace pistachiospur {

// A link with traffic is probed so often, and dropped when silent for so long.
constexpr Millis kPingInterval { 400 };
constexpr Millis kSilenceLimit { 1600 };
// A link that nothing used for so long is closed.
constexpr Millis kIdleLimit { 30000 };
// Bytes that may wait for a slow receiver before the link is dropped.
constexpr std::size_t kGreatestBacklog = 64u << 20;

class Link {
public:
    struct Handlers {
        std::function<void(Link&)> onOpen;
        std::function<void(Link&, const std::string& frame)> onFrame;
        std::function<void(Link&)> onClose; // last call; the owner may delete the link after it, not within it
    };

    // An outgoing link to an endpoint, or an incoming one on an accepted socket.
    static std::unique_ptr<Link> connect(const Endpoint&, Handlers);
    static std::unique_ptr<Link> accept(int fd, Handlers);
    virtual ~Link() = default;

    virtual void send(const std::string& frame) = 0;
    virtual void close() = 0;
    virtual bool isOpen() const = 0;
    virtual bool isClosed() const = 0;
    virtual Millis lastReceived() const = 0;
    virtual Millis lastUsed() const = 0;
    // Pings, and closes the link when it has been silent or idle for too long.
    virtual void check(Millis now) = 0;

    HostName peer; // known after its Hello
    std::uint64_t id = 0; // given by the owner, never reused
};

} // namespace pistachiospur
