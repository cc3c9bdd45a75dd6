#include "context.h"

#include <utility>

namespace pistachiospur {

namespace {

constexpr std::size_t kMaxAnswerBytes = 64u << 20;
constexpr std::size_t kMaxAllAnswersBytes = 2 * kMaxAnswerBytes;

} // namespace

HostContext::HostContext(Settings from, const PeerHub::Handlers& handlers)
    : settings(std::move(from))
    , self { settings.host, Incarnation { static_cast<std::uint64_t>(wallNow().count()) } }
    , http(kMaxAnswerBytes, kMaxAllAnswersBytes)
    , store(http, settings.store, settings.storePrefix + kLivePrefix, Millis(settings.limits.storeTimeoutMs))
    , hub(settings.peers, self, handlers)
    , m_onMessage(handlers.onMessage)
    , m_selfTimer([this] {
        for (auto messages = std::exchange(m_messagesToSelf, {}); !messages.empty(); messages.pop_front())
            m_onMessage({ self.host, self.incarnation }, kNoLink, std::move(messages.front()));
    })
{
    members.self = settings.host;
    members.incarnation = self.incarnation;
    members.own = { settings.host, settings.dataCentre, settings.peers, false };
}

void HostContext::send(const HostName& to, const Message& message)
{
    if (to != self.host) {
        hub.send(to, message);
        return;
    }
    m_messagesToSelf.push_back(message);
    m_selfTimer.once(Millis(0));
}

} // namespace pistachiospur
