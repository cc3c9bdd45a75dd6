#include "socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace pistachiospur {

namespace {

sockaddr_storage socketAddress(const Endpoint& endpoint, socklen_t& n)
{
    sockaddr_storage storage {};
    if (endpoint.address.find(':') != std::string::npos) {
        auto& v6 = reinterpret_cast<sockaddr_in6&>(storage);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        inet_pton(AF_INET6, endpoint.address.c_str(), &v6.sin6_addr);
        n = sizeof v6;
    } else {
        auto& v4 = reinterpret_cast<sockaddr_in&>(storage);
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &v4.sin_addr);
        n = sizeof v4;
    }
    return storage;
}

} // namespace

int listenOn(const Endpoint& endpoint)
{
    socklen_t n = 0;
    const auto address = socketAddress(endpoint, n);
    const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    if (fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), n) != 0 || listen(fd, SOMAXCONN) != 0) {
        const int error = errno;
        if (fd >= 0)
            close(fd);
        throw std::system_error(error, std::generic_category(), endpoint.text());
    }
    return fd;
}

int connectTo(const Endpoint& endpoint)
{
    socklen_t n = 0;
    const auto address = socketAddress(endpoint, n);
    const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), n) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

std::uint16_t boundPort(int fd)
{
    sockaddr_storage bound {};
    socklen_t n = sizeof bound;
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n);
    return ntohs(bound.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6&>(bound).sin6_port
                                             : reinterpret_cast<sockaddr_in&>(bound).sin_port);
}

} // namespace pistachiospur
