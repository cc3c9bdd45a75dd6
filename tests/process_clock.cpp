#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

// The clocks of the test program, which stand still while the process is ready to run and the machine runs others. A
// test plays its hosts, upstreams, store and callers on one loop in one process, so its time-outs and the hosts' own
// then measure what the hosts do and not how busy the machine is. On a machine without other load they are the usual
// clocks.
namespace {

constexpr long kNanosPerSecond = 1000000000;
// The kernel's count is read this often at most, since that costs more than the clock itself.
constexpr long kReadInterval = 200000;

long nanosOf(const timespec& time) { return time.tv_sec * kNanosPerSecond + time.tv_nsec; }

int readRealClock(clockid_t clock, timespec& time)
{
    using Function = int (*)(clockid_t, timespec*);
    static const auto function = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "clock_gettime"));
    return function(clock, &time);
}

// How long the process has waited for a processor so far, in nanoseconds, by the kernel's count. Zero if there is none.
long waitedForProcessor()
{
    static const int fd = open("/proc/self/schedstat", O_RDONLY | O_CLOEXEC);
    std::array<char, 96> buf {};
    if (fd < 0 || pread(fd, buf.data(), buf.size() - 1, 0) <= 0)
        return 0;
    char* afterRun = nullptr;
    std::strtoll(buf.data(), &afterRun, 10); // the time that it ran
    return std::strtoll(afterRun, nullptr, 10);
}

} // namespace

// Takes the place of the C library's function, for the program and the libraries that it uses.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const int result = readRealClock(clock, *time);
    if (result != 0 || clock == CLOCK_PROCESS_CPUTIME_ID || clock == CLOCK_THREAD_CPUTIME_ID)
        return result;
    static long waited = 0, readAt = 0;
    timespec now {};
    readRealClock(CLOCK_MONOTONIC, now);
    if (nanosOf(now) - readAt >= kReadInterval) {
        waited = waitedForProcessor();
        readAt = nanosOf(now);
    }
    // A wait is subtracted a little before or after it shows in the time, so the clock could step back.
    static std::array<long, 16> latest {};
    long& last = latest.at(static_cast<std::size_t>(clock) % latest.size());
    last = std::max(last, nanosOf(*time) - waited);
    time->tv_sec = last / kNanosPerSecond;
    time->tv_nsec = last % kNanosPerSecond;
    return 0;
}
