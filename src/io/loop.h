#pragma once

#include "pistachiospur/types.h"

#include <ev.h>

#include <functional>

// Thin owners of libev watchers. Everything in a process runs on the one default loop.
namespace pistachiospur {

struct ev_loop* defaultLoop();
// Monotonic time since the process started.
Millis monotonicNow();
// Time since the machine started, which also counts while the machine is suspended; for rights that expire.
Millis bootNow();
// Wall-clock time since 1970, only for values that leave the process.
Millis wallNow();

// Calls back once or repeatedly; stops when destroyed.
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

// Watches one file descriptor for EV_READ and EV_WRITE.
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

// Calls back on a POSIX signal.
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

void runLoop();
void breakLoop();

} // namespace pistachiospur
