#pragma once

#include "io/http_message.h"
#include "io/loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

// The keys that a backend holds, as the users' pages describe it ("Keys that backends hold").
namespace review {

using namespace pistachiospur;

class KeyHolder {
public:
    KeyHolder()
        : m_keys(kKeys)
    {
    }

    bool holds(unsigned key) const { return key < kKeys && bootNow() < m_keys[key].until; }

    // Status of the answer to a grant.
    int grant(const std::string& body)
    {
        const auto order = nlohmann::json::parse(body);
        const auto [from, to] = rangeOf(order);
        const std::uint64_t fence = order["fence"];
        for (unsigned key = from; key <= to; ++key) {
            if (m_keys[key].fence > fence)
                return 409;
        }
        for (unsigned key = from; key <= to; ++key)
            m_keys[key] = { fence, bootNow() + Millis(order["hold-ms"].get<std::int64_t>()) };
        return 200;
    }

    void release(const std::string& body)
    {
        const auto [from, to] = rangeOf(nlohmann::json::parse(body));
        for (unsigned key = from; key <= to; ++key)
            m_keys[key].until = Millis(0);
    }

private:
    static constexpr unsigned kKeys = 65536;

    struct Key {
        std::uint64_t fence = 0;
        Millis until {};
    };

    static std::pair<unsigned, unsigned> rangeOf(const nlohmann::json& order) { return { order["from"], order["to"] }; }

    std::vector<Key> m_keys;
};

} // namespace review
