#include "observe/events.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace pistachiospur;

namespace {

// Replaces standard output by a pipe that nobody reads until drain() is called.
struct StalledOutput {
    int saved = dup(STDOUT_FILENO);
    int ends[2] {};

    StalledOutput()
    {
        BOOST_REQUIRE(pipe2(ends, O_NONBLOCK) == 0);
        dup2(ends[1], STDOUT_FILENO);
        const std::string block(4096, ' ');
        while (write(ends[1], block.data(), block.size()) > 0) { }
    }
    StalledOutput(const StalledOutput&) = delete;
    StalledOutput& operator=(const StalledOutput&) = delete;
    ~StalledOutput()
    {
        dup2(saved, STDOUT_FILENO);
        close(saved);
        close(ends[0]);
        close(ends[1]);
    }

    std::string drain() const
    {
        std::string text, buf(65536, '\0');
        for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;)
            text.append(buf, 0, static_cast<std::size_t>(n));
        return text;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Events)

// Guards against a log that lacks which configuration was in force, because its reader stalled under lines of requests.
BOOST_AUTO_TEST_CASE(linesAboutTheProcessOutlastAReaderThatStalls)
{
    const StalledOutput output;
    logEvent(EventKind::process, "first", {});
    logEvent(EventKind::state, "dropped", {});
    logEvent(EventKind::process, "second", {});
    BOOST_TEST(output.drain().find("\"event\"") == std::string::npos);
    logEvent(EventKind::state, "third", {});
    const std::string text = output.drain();
    const auto first = text.find("\"first\""), second = text.find("\"second\""), third = text.find("\"third\"");
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_REQUIRE(second != std::string::npos);
    BOOST_REQUIRE(third != std::string::npos);
    BOOST_TEST(first < second);
    BOOST_TEST(second < third);
    BOOST_TEST(text.find("\"dropped\"") == std::string::npos);
}

// Guards against the same under a flood of lines about single upstreams and peers.
BOOST_AUTO_TEST_CASE(linesAboutTheProcessHaveALimitOfTheirOwn)
{
    const StalledOutput output;
    output.drain();
    for (int n = 0; n < 3000; ++n) {
        logEvent(EventKind::state, "flood", {});
        output.drain();
    }
    logEvent(EventKind::process, "configuration", {});
    BOOST_TEST(output.drain().find("\"configuration\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
