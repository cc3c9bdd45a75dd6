#pragma once

#include "pistachiospur/types.h"

#include <ev.h>

#include <functional>

// RAII wrappers of libev watchers. All watchers of a process run on libev's default loop.
namespace pistachiospur {

struct ev_loop* defaultLoop();
// Monotonic time since the first call in this process.
Millis monotonicNow();
// Time since the machine booted, including time in which it was suspended. Used for the gateway's leases and grants,
// which expire during a suspension too.
Millis bootNow();
// Wall-clock time since 1970. Only for times that are sent or stored outside of the process, or compared with such
// times.
Millis wallNow();

// Runs a callback once or repeatedly. Destruction stops the timer.
class Timer {
public:
    explicit Timer(std::function<void()> callback);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void once(Millis after);
    void every(Millis interval);
    void stop();

private:
    ev_timer m_watcher;
    std::function<void()> m_callback;
};

// Runs a callback when a file descriptor is readable (EV_READ) or writable (EV_WRITE). Destruction stops the watcher.
class SocketWatcher {
public:
    explicit SocketWatcher(std::function<void(int events)> callback);
    ~SocketWatcher();
    SocketWatcher(const SocketWatcher&) = delete;
    SocketWatcher& operator=(const SocketWatcher&) = delete;

    void watch(int fd, int events);
    void stop();

private:
    ev_io m_watcher;
    std::function<void(int)> m_callback;
};

// Runs a callback on the loop after each POSIX signal.
class SignalWatcher {
public:
    SignalWatcher(int signal, std::function<void()> callback);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    ev_signal m_watcher;
    std::function<void()> m_callback;
};

// An exception that leaves a callback ends that callback and not the process. `handler` gets its text; without one it
// is written to standard error.
void setCallbackErrorHandler(std::function<void(const char* what)> handler);

void runLoop();
void breakLoop();

} // namespace pistachiospur
