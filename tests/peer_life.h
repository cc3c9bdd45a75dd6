#pragma once

#include "peers/link.h"

#include <algorithm>
#include <memory>
#include <vector>

// One life of another host's process, as a host under test meets it: a link that says Hello, sends what the test gives
// it and records what arrives. Its messages are those of a test, so it can be of any build.
namespace pistachiospur {

class PeerLife {
public:
    PeerLife(const Endpoint& host, const HostName& name, Incarnation incarnation)
        : m_link(Link::connect(host,
            { [this, name, incarnation](Link& it) {
                 it.send(encode(Hello { name, incarnation, false }), false);
                 m_open = true;
             },
                [this](Link&, const std::string& frame) {
                    if (auto message = decode(frame))
                        received.push_back(std::move(*message));
                },
                [](Link&) {} },
            kDefaultMaxBacklogBytes))
    {
    }

    bool isOpen() const { return m_open; }
    void send(const Message& message) { m_link->send(encode(message), false); }
    // The process is killed: its system closes the connection.
    void end() { m_link->close(); }

    // The messages of one kind received so far.
    template <typename Kind> std::vector<Kind> all() const
    {
        std::vector<Kind> found;
        for (const auto& it : received) {
            if (const auto* message = std::get_if<Kind>(&it))
                found.push_back(*message);
        }
        return found;
    }

    std::vector<Message> received;

private:
    bool m_open = false;
    std::unique_ptr<Link> m_link;
};

} // namespace pistachiospur
