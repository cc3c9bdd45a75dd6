#pragma once

#include "pistachiospur/types.h"

#include <cstdint>

// Plain TCP sockets for modules whose libraries do not open sockets themselves.
namespace pistachiospur {

// Opens a listening, non-blocking socket. Port 0 selects a free port. Throws std::system_error on failure.
int listenOn(const Endpoint&);
// Starts a non-blocking connection and returns its socket, or -1 if it fails immediately.
int connectTo(const Endpoint&);
// The port that a socket is bound to.
std::uint16_t boundPort(int fd);

} // namespace pistachiospur
