#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

// Basic types that every module shares: small strong numbers for values that must not be mixed up, and plain names.
namespace pistachiospur {

// A number that only compares with its own kind.
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

// A range of keys that moves as one. Slots are numbered from 0 within a service.
using SlotId = Strong<struct SlotTag, std::uint32_t>;
// Rises with each change of a slot's owner; never reused.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
// Rises with each change of an upstream's coordinator; the upstream obeys the highest.
using Term = Strong<struct TermTag, std::uint64_t>;
// Rises each time an upstream is declared lost or its renewers change.
using Fence = Strong<struct FenceTag, std::uint64_t>;
// A nonce that an upstream issues and that the next renewal must echo. Zero is never issued.
using Challenge = Strong<struct ChallengeTag, std::uint64_t>;
// Distinguishes the runs of one host's process: a later run has a higher one.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
// Numbers the published configurations, from 1.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// The platform store's own revision counter.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;

// Durations, and instants as time since the start of the process's monotonic clock.
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

// What a refusal can truthfully say about whether the request was executed.
enum class Ran { no, unknown };

// Lower numbers are more urgent.
using RankOrder = std::uint8_t;

} // namespace pistachiospur
