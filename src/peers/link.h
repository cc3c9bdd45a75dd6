#pragma once

#include "io/loop.h"
#include "messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// A WebSocket connection between two hosts: websocketpp over a non-blocking socket on the event loop.
namespace pistachiospur {

// A link on which something was sent and nothing has arrived since is pinged after kPingInterval, and closed after
// kSilenceLimit. Idle links cost nothing: a site has about as many links as pairs of hosts.
constexpr Millis kPingInterval { 400 };
constexpr Millis kSilenceLimit { 1600 };
// A link that has received nothing for kProofAge is pinged before a message that must not get lost: a connection may
// have gone silent without a reset. The message waits for the reply, and is not sent if there is none within
// kProofLimit.
constexpr Millis kProofAge { 1000 };
constexpr Millis kProofLimit { 500 };
// A link without messages in either direction for this time is closed.
constexpr Millis kIdleLimit { 30000 };
constexpr std::size_t kDefaultMaxBacklogBytes = 16u << 20;

class Link {
public:
    struct Handlers {
        std::function<void(Link&)> onOpen;
        std::function<void(Link&, const std::string& frame)> onFrame;
        std::function<void(Link&)> onClose; // the last callback; the owner may delete the link after its return
    };

    // `connect` opens an outgoing link; `accept` makes an incoming one from an accepted socket. The link is closed when
    // more than `maxBacklogBytes` wait for a slow receiver.
    static std::unique_ptr<Link> connect(const Endpoint&, Handlers, std::size_t maxBacklogBytes);
    static std::unique_ptr<Link> accept(int fd, Handlers, std::size_t maxBacklogBytes);
    virtual ~Link() = default;

    // Sends a message. If `proven`, it waits for a proof that the link works if there was none lately.
    virtual void send(const std::string& frame, bool proven) = 0;
    // Whether messages wait for a proof that the link works.
    virtual bool isHolding() const = 0;
    virtual void close() = 0;
    virtual bool isOpen() const = 0;
    virtual bool isClosed() const = 0;
    // When any bytes last arrived, pings included.
    virtual Millis lastReceived() const = 0;
    // When a message was last sent or received; pings don't count.
    virtual Millis lastUsed() const = 0;
    // Called at intervals: pings a link on which something is due, and closes it after kSilenceLimit or kIdleLimit.
    // `expectsReply`: the other host owes the reply to a request.
    virtual void check(Millis now, bool expectsReply) = 0;

    HostName peer; // on an incoming link, empty until its Hello
    std::optional<Incarnation> incarnation; // of the peer's process; nothing until its Hello
    // Ids of the link, assigned by the owner and never reused, newest last. Messages that wait for a proof get a new
    // one; while isHolding() those of the last id are not sent.
    std::vector<std::uint64_t> ids;
    bool isBulk = false;
};

} // namespace pistachiospur
