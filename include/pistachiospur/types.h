#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

// Basic types shared by all modules: strongly typed numbers, so that values of different kinds cannot be mixed up, and
// aliases for names.
namespace pistachiospur {

// A number that can only be compared with numbers of the same tag.
template <typename Tag, typename Number> struct Strong {
    Number value {};

    friend bool operator==(Strong a, Strong b) { return a.value == b.value; }
    friend bool operator!=(Strong a, Strong b) { return a.value != b.value; }
    friend bool operator<(Strong a, Strong b) { return a.value < b.value; }
    friend bool operator<=(Strong a, Strong b) { return a.value <= b.value; }
    friend bool operator>(Strong a, Strong b) { return a.value > b.value; }
    friend bool operator>=(Strong a, Strong b) { return a.value >= b.value; }
    friend std::ostream& operator<<(std::ostream& os, Strong it) { return os << +it.value; }

    // The next higher number, as for a new epoch, term or fence.
    Strong next() const { return Strong { static_cast<Number>(value + 1) }; }
};

// A group of keys that has one owner at a time and moves as a unit. Slots are numbered from 0 within a service.
using SlotId = Strong<struct SlotTag, std::uint32_t>;
// Increases with each change of a slot's owner; never reused.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
// Increases with each change of an upstream's coordinator. An upstream rejects every term below the highest that it has
// seen.
using Term = Strong<struct TermTag, std::uint64_t>;
// Increases each time the planner marks an upstream as lost or as serving again. A host that may renew the upstream's
// grant promises not to renew it under a given fence or a lower one.
using Fence = Strong<struct FenceTag, std::uint64_t>;
// A nonce that an upstream issues and that the next renewal of its grant must echo. Zero is never issued.
using Challenge = Strong<struct ChallengeTag, std::uint64_t>;
// Orders the starts of a host's process: a later start has a higher incarnation. As in SWIM, a host also increases it
// to refute a rumour that it is suspect or dead.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
// Number of a published configuration, starting at 1.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// Revision counter of the platform's store.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;

// Durations and points in time. Unless stated otherwise, a point in time counts from the start of the process's
// monotonic clock.
using Millis = std::chrono::milliseconds;

using HostName = std::string;
using DataCentreName = std::string;
using ServiceName = std::string;
using UpstreamName = std::string;
using RankName = std::string;

// An IP address and TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.port == b.port && a.address == b.address; }
    friend bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
    friend bool operator<(const Endpoint& a, const Endpoint& b)
    {
        return std::tie(a.address, a.port) < std::tie(b.address, b.port);
    }
    friend std::ostream& operator<<(std::ostream& os, const Endpoint& it) { return os << it.text(); }

    // The usual "address:port" form, with brackets around an IPv6 address.
    std::string text() const
    {
        const bool v6 = address.find(':') != std::string::npos;
        return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
    }
};

// Whether a refused request was executed: certainly not, or possibly.
enum class Ran { no, unknown };

// Priority of a rank; lower numbers are more urgent.
using RankOrder = std::uint8_t;

} // namespace pistachiospur
