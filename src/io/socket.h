#pragma once

#include "pistachiospur/types.h"

#include <cstdint>

// Plain TCP sockets for the parts that bring no sockets of their own.
namespace pistachiospur {

// A listening, non-blocking socket. Port 0 takes a free one. Throws std::system_error when it cannot be bound.
int listenOn(const Endpoint&);
// A non-blocking socket on its way to an endpoint, or -1 when the system refuses at once.
int connectTo(const Endpoint&);
// The port that a socket is bound to.
std::uint16_t boundPort(int fd);

} // namespace pistachiospur
