#include "loop.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <exception>
#include <utility>

namespace pistachiospur {

namespace {

std::function<void(const char*)>& callbackErrorHandler()
{
    static std::function<void(const char*)> handler;
    return handler;
}

// Calls a callback from libev, whose C code no exception may pass through.
template <typename Callback> void callGuarded(const Callback& callback)
{
    try {
        callback();
    } catch (const std::exception& error) {
        if (callbackErrorHandler())
            callbackErrorHandler()(error.what());
        else
            std::fprintf(stderr, "exception in a callback: %s\n", error.what());
    }
}

double seconds(Millis duration) { return static_cast<double>(duration.count()) / 1000.0; }

} // namespace

// libev's default loop installs a SIGCHLD handler that reaps every child process. The default action is restored,
// because programs with children call waitpid() themselves.
struct ev_loop* defaultLoop()
{
    static struct ev_loop* const loop = [] {
        struct ev_loop* created = ev_default_loop(EVFLAG_AUTO);
        std::signal(SIGCHLD, SIG_DFL);
        return created;
    }();
    return loop;
}

Millis monotonicNow()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
}

Millis bootNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Millis(now.tv_sec * 1000 + now.tv_nsec / 1000000);
}

Millis wallNow() { return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()); }

Timer::Timer(std::function<void()> callback)
    : m_callback(std::move(callback))
{
    ev_init(&m_watcher, [](struct ev_loop*, ev_timer* watcher, int) {
        callGuarded([&] { static_cast<Timer*>(watcher->data)->m_callback(); });
    });
    m_watcher.data = this;
}

Timer::~Timer() { stop(); }

void Timer::once(Millis after)
{
    stop();
    ev_now_update(defaultLoop());
    ev_timer_set(&m_watcher, seconds(after), 0.0);
    ev_timer_start(defaultLoop(), &m_watcher);
}

void Timer::every(Millis interval)
{
    stop();
    ev_now_update(defaultLoop());
    ev_timer_set(&m_watcher, seconds(interval), seconds(interval));
    ev_timer_start(defaultLoop(), &m_watcher);
}

void Timer::stop() { ev_timer_stop(defaultLoop(), &m_watcher); }

SocketWatcher::SocketWatcher(std::function<void(int)> callback)
    : m_callback(std::move(callback))
{
    ev_init(&m_watcher, [](struct ev_loop*, ev_io* watcher, int events) {
        callGuarded([&] { static_cast<SocketWatcher*>(watcher->data)->m_callback(events); });
    });
    m_watcher.data = this;
}

SocketWatcher::~SocketWatcher() { stop(); }

void SocketWatcher::watch(int fd, int events)
{
    stop();
    ev_io_set(&m_watcher, fd, events);
    ev_io_start(defaultLoop(), &m_watcher);
}

void SocketWatcher::stop() { ev_io_stop(defaultLoop(), &m_watcher); }

SignalWatcher::SignalWatcher(int signal, std::function<void()> callback)
    : m_callback(std::move(callback))
{
    ev_signal_init(
        &m_watcher,
        [](struct ev_loop*, ev_signal* watcher, int) {
            callGuarded([&] { static_cast<SignalWatcher*>(watcher->data)->m_callback(); });
        },
        signal);
    m_watcher.data = this;
    ev_signal_start(defaultLoop(), &m_watcher);
}

SignalWatcher::~SignalWatcher() { ev_signal_stop(defaultLoop(), &m_watcher); }

void setCallbackErrorHandler(std::function<void(const char*)> handler) { callbackErrorHandler() = std::move(handler); }

void runLoop() { ev_run(defaultLoop(), 0); }

void breakLoop() { ev_break(defaultLoop(), EVBREAK_ALL); }

} // namespace pistachiospur
