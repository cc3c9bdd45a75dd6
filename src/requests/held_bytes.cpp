#include "held_bytes.h"

namespace pistachiospur {

namespace {

// ": " and the line's end.
constexpr std::uint64_t kBytesPerField = 4;

} // namespace

std::uint64_t bytesOf(const Request& request, std::uint64_t bodyBytes)
{
    std::uint64_t bytes = request.method.size() + request.target.size() + bodyBytes;
    for (const auto& [name, value] : request.headers)
        bytes += name.size() + value.size() + kBytesPerField;
    return bytes;
}

bool mayHold(const HeldRequests& held, std::uint64_t bytes, std::uint64_t maxBytes)
{
    return held.count == 0 || (held.bytes <= maxBytes && bytes <= maxBytes - held.bytes);
}

} // namespace pistachiospur
