#include "io/http_pipeline.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace pistachiospur;

namespace {

// A pipeline whose requests and output the test sees.
struct Connection {
    HttpLimits limits;
    std::vector<std::pair<HttpPipeline::Sequence, HttpRequest>> passedOn;
    std::shared_ptr<MemoryBudget> budget;
    std::optional<HttpResponse> headRefusal;
    std::unique_ptr<HttpPipeline> pipeline;

    explicit Connection(HttpLimits given = {}, std::size_t memory = 64u << 20)
        : limits(given)
        , budget(std::make_shared<MemoryBudget>(memory))
    {
        HttpPipeline::Handlers handlers {
            [this](const HttpRequest&, std::optional<std::uint64_t>) { return headRefusal; },
            [this](HttpPipeline::Sequence sequence, HttpRequest request) {
                passedOn.emplace_back(sequence, std::move(request));
            },
            [] {
                return HttpResponse { 503, { { "Retry-After", "0.5" } }, "" };
            },
        };
        pipeline = std::make_unique<HttpPipeline>(limits, handlers, budget);
    }

    void receive(std::string_view bytes) { pipeline->receive(bytes, Millis(1)); }
    // Sends pieces while the pipeline wants more; returns how many bytes it took.
    std::size_t receiveWhileWanted(const std::string& bytes, std::size_t piece)
    {
        std::size_t n = 0;
        for (; n < bytes.size() && pipeline->wantsInput(); n += piece)
            receive(std::string_view(bytes).substr(n, piece));
        return std::min(n, bytes.size());
    }
    void answer(std::size_t n, const std::string& body, HeaderList headers = {})
    {
        pipeline->respond(passedOn.at(n).first, { 200, std::move(headers), body });
    }
    const std::string& output() const { return pipeline->output(); }
};

std::string get(const std::string& path, const std::string& headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string post(const std::string& path, const std::string& body, bool chunked)
{
    const std::string head = "POST " + path + " HTTP/1.1\r\nHost: a\r\n";
    if (!chunked)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < body.size(); n += 7)
        text += encodeChunk(body.substr(n, 7));
    return text + std::string(kLastChunk);
}

// The bodies of the responses in the output, in order; each must have a Content-Length.
std::vector<std::string> responseBodies(const std::string& output)
{
    std::vector<std::string> bodies;
    std::size_t at = 0;
    while (at < output.size()) {
        const auto length = output.find("Content-Length: ", at), end = output.find("\r\n\r\n", at);
        if (length > end || end == std::string::npos)
            break;
        const auto n = std::stoul(output.substr(length + 16));
        bodies.push_back(output.substr(end + 4, n));
        at = end + 4 + n;
    }
    return bodies;
}

int statusOf(const std::string& output) { return output.size() < 12 ? 0 : std::stoi(output.substr(9, 3)); }

} // namespace

BOOST_AUTO_TEST_SUITE(Pipelines)

RC_BOOST_PROP(requestsArePassedOnOnceAndAnsweredInOrderWhereverTheirBytesAreCut, ())
{
    const int n = *rc::gen::inRange(1, 12);
    std::string bytes;
    std::vector<std::string> bodies;
    std::vector<bool> safe;
    for (int it = 0; it < n; ++it) {
        const bool isGet = *rc::gen::arbitrary<bool>();
        bodies.push_back(isGet ? "" : std::string(static_cast<std::size_t>(*rc::gen::inRange(0, 40)), 'x'));
        const std::string path = "/" + std::to_string(it);
        bytes += isGet ? get(path) : post(path, bodies.back(), *rc::gen::arbitrary<bool>());
        safe.push_back(isGet);
    }
    Connection caller;
    std::vector<std::size_t> open; // indexes of requests that are passed on and not answered
    std::size_t seen = 0, at = 0;
    while (at < bytes.size() || !open.empty() || seen < caller.passedOn.size()) {
        if (at < bytes.size() && caller.pipeline->wantsInput()) {
            const auto piece = static_cast<std::size_t>(*rc::gen::inRange(1, 30));
            caller.receive(std::string_view(bytes).substr(at, piece));
            at += std::min(piece, bytes.size() - at);
        }
        for (; seen < caller.passedOn.size(); ++seen) {
            RC_ASSERT(caller.passedOn[seen].second.path == "/" + std::to_string(seen));
            RC_ASSERT(caller.passedOn[seen].second.body == bodies[seen]);
            RC_ASSERT(open.empty() || safe[seen]); // one that may have an effect runs alone
            open.push_back(seen);
        }
        const bool answersNow = !open.empty() && (at >= bytes.size() || *rc::gen::inRange(0, 3) == 0);
        if (!answersNow)
            continue;
        const auto chosen = *rc::gen::inRange<std::size_t>(0, open.size());
        const std::size_t index = open[chosen];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
        caller.answer(index, "answer " + std::to_string(index));
        caller.answer(index, "a second answer"); // is ignored
    }
    RC_ASSERT(seen == static_cast<std::size_t>(n));
    const auto answers = responseBodies(caller.output());
    RC_ASSERT(answers.size() == static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        RC_ASSERT(answers[static_cast<std::size_t>(it)] == "answer " + std::to_string(it));
    RC_ASSERT(!caller.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(safeRequestsRunSideBySideAndTheirAnswersWaitForTheOneBefore)
{
    Connection caller;
    caller.receive(get("/0") + get("/1") + post("/2", "x", false) + get("/3"));
    BOOST_TEST(caller.passedOn.size() == 2u);
    caller.answer(1, "one");
    BOOST_TEST(caller.output().empty());
    caller.answer(0, "zero");
    BOOST_TEST((responseBodies(caller.output()) == std::vector<std::string> { "zero", "one" }));
    BOOST_TEST(caller.passedOn.size() == 3u); // the POST had to wait, and now holds back what follows
    caller.answer(2, "two");
    BOOST_TEST(caller.passedOn.size() == 4u);
}

BOOST_AUTO_TEST_CASE(nothingBehindAnAnswerThatClosesIsPassedOn)
{
    Connection caller;
    caller.receive(get("/0") + get("/1") + post("/2", "x", false));
    caller.answer(0, "zero", { { "Connection", "close" } });
    // The second request is passed on already, so the connection closes behind its answer.
    BOOST_TEST(!caller.pipeline->isClosing());
    caller.receive(get("/3"));
    caller.answer(1, "one");
    BOOST_TEST(caller.passedOn.size() == 2u);
    BOOST_TEST(caller.pipeline->isClosing());
    BOOST_TEST(responseBodies(caller.output()).size() == 2u);
    BOOST_TEST(caller.output().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callerThatAsksToCloseGetsItsAnswerAndNoMore)
{
    Connection caller;
    caller.receive(get("/0", "Connection: close\r\n") + get("/1"));
    BOOST_TEST(caller.passedOn.size() == 1u);
    caller.answer(0, "zero");
    BOOST_TEST(caller.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(numberOfRequestsAndBytesThatWaitForTheOneBeforeIsBounded)
{
    Connection caller;
    std::string bytes;
    for (int n = 0; n < 3000; ++n)
        bytes += get("/" + std::to_string(n));
    const std::size_t taken = caller.receiveWhileWanted(bytes, 1000);
    BOOST_TEST(caller.passedOn.size() == kMaxPipelined);
    BOOST_TEST(taken < bytes.size());
    BOOST_TEST(!caller.pipeline->wantsInput());
    for (std::size_t n = 1; n < 10; ++n)
        caller.answer(n, std::string(kMaxWaitingResponseBytes / 4, 'x'));
    caller.pipeline->resume();
    BOOST_TEST(caller.passedOn.size() == kMaxPipelined);
    caller.answer(0, "zero");
    BOOST_TEST(caller.passedOn.size() == kMaxPipelined); // until the answers are taken
    caller.pipeline->output().clear();
    caller.pipeline->resume();
    BOOST_TEST(caller.passedOn.size() > kMaxPipelined);
}

BOOST_AUTO_TEST_CASE(malformedRequestIsRefusedAfterTheAnswersBeforeItAndTheConnectionCloses)
{
    const std::vector<std::pair<std::string, int>> cases = {
        { "GET  / HTTP/1.1\r\n\r\n", 400 },
        { "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        { "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400 },
        { "GET / HTTP/7.1\r\n\r\n", 505 },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5 5\r\n\r\n", 400 },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551616\r\n\r\n", 400 },
        { "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(70000, 'x') + "\r\n\r\n", 431 },
    };
    for (const auto& [text, status] : cases) {
        Connection caller;
        caller.receive(get("/0"));
        caller.receive(text);
        caller.receive(get("/2"));
        BOOST_TEST(caller.passedOn.size() == 1u);
        BOOST_TEST(!caller.pipeline->isClosing());
        caller.answer(0, "zero");
        BOOST_TEST(caller.pipeline->isClosing());
        const auto second = caller.output().find("HTTP/1.1", 1);
        BOOST_REQUIRE(second != std::string::npos);
        BOOST_TEST(statusOf(caller.output().substr(second)) == status, text.substr(0, 60));
    }
}

// Guards against a body that runs as a request of its own (UNASKED): its length is not known by the coding that the
// request names, and it is taken for what follows the request.
BOOST_AUTO_TEST_CASE(requestWhoseLengthIsNotKnownIsRefusedAndNothingAfterItIsParsed)
{
    const std::vector<std::pair<std::string, int>> cases = {
        { "Transfer-Encoding: gzip", 400 },
        { "Transfer-Encoding: identity", 400 },
        { "Transfer-Encoding: \"chunked\"", 400 },
        { "Transfer-Encoding: chunked, identity", 400 },
        { "Transfer-Encoding: chunked, chunked", 400 },
        { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", 400 },
        { "Transfer-Encoding: xchunked", 400 },
        { "Transfer-Encoding: chunked;q=1", 400 },
        { "Transfer-Encoding:", 400 },
        { "Transfer-Encoding: gzip, chunked", 501 },
        { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", 501 },
    };
    for (const auto& [header, status] : cases) {
        for (const char* version : { "1.1", "1.0" }) {
            const std::string bytes = get("/before") + "POST /outer HTTP/" + version + "\r\nHost: a\r\n" + header
                + "\r\n\r\n" + get("/inner") + get("/after");
            for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
                Connection caller;
                caller.receive(std::string_view(bytes).substr(0, cut));
                caller.receive(std::string_view(bytes).substr(cut));
                BOOST_REQUIRE(caller.passedOn.size() == 1u);
                BOOST_TEST(caller.passedOn[0].second.path == "/before");
                caller.answer(0, "");
                const std::string& text = caller.output();
                BOOST_TEST(
                    statusOf(text.substr(text.find("\r\n\r\n") + 4)) == (version[2] == '0' ? 400 : status), header);
                BOOST_TEST(text.find("Connection: close") != std::string::npos);
                BOOST_TEST(caller.pipeline->isClosing());
            }
        }
    }
    Connection caller;
    caller.receive("POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    BOOST_TEST(caller.passedOn.empty());
    BOOST_TEST(statusOf(caller.output()) == 400);
    Connection sound;
    sound.receive("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked \r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    BOOST_REQUIRE(sound.passedOn.size() == 1u);
    BOOST_TEST(sound.passedOn[0].second.body == "hi");
}

BOOST_AUTO_TEST_CASE(bytesOfEachKindAndLengthNeverThrow)
{
    std::mt19937_64 random(20261204);
    const std::string valid = get("/0") + post("/1", "some body", true) + post("/2", "x", false);
    for (int n = 0; n < 20000; ++n) {
        std::string bytes = valid;
        for (int flips = 1 + static_cast<int>(random() % 4); flips > 0; --flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        Connection caller;
        caller.receiveWhileWanted(bytes, 1 + random() % bytes.size());
        for (std::size_t it = 0; it < caller.passedOn.size(); ++it)
            caller.answer(it, "");
        BOOST_REQUIRE(caller.passedOn.size() <= 3u);
    }
}

BOOST_AUTO_TEST_CASE(hopByHopHeadersAndTrailersAreNotPassedOn)
{
    Connection caller;
    caller.receive("POST / HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nX-Two: 2\r\nX-Two: 3\r\nConnection: keep-alive, X-One\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\nX-Late: 1\r\n\r\n");
    BOOST_REQUIRE(caller.passedOn.size() == 1u);
    const auto& headers = caller.passedOn[0].second.headers;
    BOOST_TEST(headers.count("x-one") == 0u);
    BOOST_TEST(headers.count("x-late") == 0u);
    BOOST_TEST(headers.at("x-two") == "2, 3");
}

// --- Bodies ---

BOOST_AUTO_TEST_CASE(headAloneCanRefuseARequestBeforeItsBodyIsRead)
{
    Connection caller;
    caller.headRefusal = HttpResponse { 503, {}, "no" };
    caller.receive("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(caller.passedOn.empty());
    BOOST_TEST(statusOf(caller.output()) == 503);
    BOOST_TEST(caller.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(bodyAboveTheLimitIsNotReadAndItsConnectionCloses)
{
    for (const bool chunked : { false, true }) {
        HttpLimits limits;
        limits.bodyBytes = 1000;
        Connection caller(limits);
        caller.receiveWhileWanted(post("/", std::string(5000, 'x'), chunked), 300);
        BOOST_REQUIRE(caller.passedOn.size() == 1u);
        BOOST_TEST(caller.passedOn[0].second.tooLarge);
        BOOST_TEST(caller.passedOn[0].second.body.empty());
        caller.answer(0, "too large");
        BOOST_TEST(caller.pipeline->isClosing());
    }
}

BOOST_AUTO_TEST_CASE(bodyIsHeldUntilItIsCompleteSoThatACallerWhoStallsPassesNothingOn)
{
    HttpLimits limits;
    limits.bodiesFlow = true;
    Connection caller(limits);
    const std::string text = post("/", std::string(kHeldBodyBytes / 2, 'x'), false);
    caller.receive(std::string_view(text).substr(0, text.size() - 1));
    BOOST_TEST(caller.passedOn.empty());
    BOOST_TEST(caller.pipeline->isReceiving());
    caller.pipeline->timeOut();
    BOOST_TEST(statusOf(caller.output()) == 408);
    BOOST_TEST(caller.passedOn.empty());
    BOOST_TEST(caller.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(largeBodyFlowsNoFasterThanItIsRead)
{
    for (const bool chunked : { false, true }) {
        HttpLimits limits;
        limits.bodiesFlow = true;
        limits.bodyBytes = 64u << 20;
        Connection caller(limits);
        std::string body(4u << 20, 'x');
        for (std::size_t n = 0; n < body.size(); ++n)
            body[n] = static_cast<char>('a' + n % 23);
        const std::string text = post("/", body, chunked);
        std::size_t at = caller.receiveWhileWanted(text, 10000);
        BOOST_REQUIRE(caller.passedOn.size() == 1u);
        const auto rest = caller.passedOn[0].second.rest;
        BOOST_REQUIRE(rest);
        BOOST_TEST(rest->buffered() < kBodyWindowBytes + 20000);
        BOOST_TEST(at < kHeldBodyBytes * 3);
        rest->onRead([&](std::size_t) { caller.pipeline->resume(); });
        std::string arrived = caller.passedOn[0].second.body;
        while (!rest->isAtEnd() && rest->state() != BodyPipe::State::broken) {
            arrived += rest->read(30000);
            const std::size_t n = caller.receiveWhileWanted(text.substr(at, 10000), 10000);
            at += n;
        }
        BOOST_TEST((arrived == body));
        caller.answer(0, "done");
        BOOST_TEST(!caller.pipeline->isClosing());
    }
}

BOOST_AUTO_TEST_CASE(bodyThatFlowsIsBrokenOffWhenTheCallerGoesOrSendsMoreThanAllowed)
{
    HttpLimits limits;
    limits.bodiesFlow = true;
    limits.bodyBytes = 1u << 20;
    const std::string text = post("/", std::string(2u << 20, 'x'), true);
    {
        Connection caller(limits);
        caller.receiveWhileWanted(text, 10000);
        const auto rest = caller.passedOn.at(0).second.rest;
        caller.pipeline->end();
        BOOST_TEST((rest->state() == BodyPipe::State::broken));
    }
    Connection caller(limits);
    std::size_t at = caller.receiveWhileWanted(text, 10000);
    const auto rest = caller.passedOn.at(0).second.rest;
    while (rest->state() == BodyPipe::State::open && at < text.size()) {
        rest->read(50000);
        at += caller.receiveWhileWanted(text.substr(at, 10000), 10000);
    }
    BOOST_TEST((rest->state() == BodyPipe::State::broken));
    caller.answer(0, "too large");
    BOOST_TEST(caller.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(answerBeforeTheWholeBodyEndsTheTransferAndTheConnection)
{
    HttpLimits limits;
    limits.bodiesFlow = true;
    limits.bodyBytes = 64u << 20;
    Connection caller(limits);
    caller.receiveWhileWanted(post("/", std::string(2u << 20, 'x'), false), 10000);
    const auto rest = caller.passedOn.at(0).second.rest;
    caller.answer(0, "early");
    BOOST_TEST((rest->state() == BodyPipe::State::broken));
    BOOST_TEST(caller.pipeline->isClosing());
    BOOST_TEST(caller.output().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bodiesTakeNoMoreThanTheirMemoryAndGiveItBack)
{
    const std::string whole = post("/", std::string(900, 'x'), false);
    Connection head; // heads are counted too
    head.receive(whole.substr(0, whole.size() - 900));
    const std::size_t headBytes = head.budget->used();
    Connection first({}, 1000 + headBytes);
    first.receive(whole);
    BOOST_TEST(first.passedOn.size() == 1u);
    BOOST_TEST(first.budget->used() == 900u + headBytes);
    first.answer(0, "");
    first.receive(post("/", std::string(200, 'x'), false)); // the first one's body is still in use
    BOOST_TEST(first.passedOn.size() == 1u);
    BOOST_TEST(first.output().find("503") != std::string::npos);
    BOOST_TEST(first.pipeline->isClosing());
    first.passedOn.clear();
    first.pipeline.reset();
    BOOST_TEST(first.budget->used() == 0u);
}

// Guards against the use of a request that is gone: its body was refused, and the bytes behind are no chunk.
BOOST_AUTO_TEST_CASE(brokenChunkBehindABodyOverTheLimitIsNotParsed)
{
    HttpLimits limits;
    limits.bodyBytes = 10;
    Connection connection(limits);
    const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    connection.receive(head);
    connection.receive("14\r\n12345678901234567890\r\nzz\r\n\r\n");
    BOOST_REQUIRE(connection.passedOn.size() == 1u);
    BOOST_TEST(connection.passedOn[0].second.tooLarge);
    connection.answer(0, "");
    BOOST_TEST(connection.output().find("HTTP/1.1 200") == 0u);
    BOOST_TEST(connection.pipeline->isClosing());
}

BOOST_AUTO_TEST_CASE(chunkExtensionAndTrailerWithoutEndAreRefused)
{
    for (const char* start : { "5;", "5\r\n12345\r\n0\r\nx: " }) {
        Connection connection;
        connection.receive("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.receive(start);
        for (int n = 0; n < 200 && !connection.pipeline->isClosing(); ++n)
            connection.receive(std::string(1000, 'e'));
        BOOST_TEST(connection.pipeline->isClosing());
        BOOST_TEST(connection.output().find("HTTP/1.1 400") == 0u);
        BOOST_TEST(connection.passedOn.empty());
    }
}

BOOST_AUTO_TEST_CASE(emptyLinesWithoutEndAreNoRequest)
{
    Connection connection;
    connection.receive("\r\n" + get("/x"));
    BOOST_TEST(connection.passedOn.size() == 1u);
    connection.answer(0, "");
    for (int n = 0; n < 100 && !connection.pipeline->isClosing(); ++n)
        connection.receive("\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n");
    BOOST_TEST(connection.pipeline->isClosing());
}

// What a head costs in memory is taken from the budget, and returned with its request or its connection.
BOOST_AUTO_TEST_CASE(headsOfManyFieldsTakeFromTheBudget)
{
    std::string fields;
    for (int n = 0; n < 2000; ++n)
        fields += "x" + std::to_string(n) + ":\r\n";
    Connection connection({}, 2u << 20);
    connection.receive("GET /x HTTP/1.1\r\nHost: a\r\n" + fields);
    BOOST_TEST(connection.budget->used() > 2000 * 100u);
    BOOST_TEST(connection.pipeline->arrivingBytes() == connection.budget->used());
    connection.pipeline->end();
    BOOST_TEST(connection.budget->used() == 0u);

    Connection small({}, 100000);
    small.receive("GET /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
    BOOST_TEST(small.passedOn.empty());
    BOOST_TEST(small.output().find("HTTP/1.1 503") == 0u);
    BOOST_TEST(small.budget->used() == 0u);
}

// While responses are not taken, requests sent ahead are not read; they are once the responses are.
BOOST_AUTO_TEST_CASE(requestsSentAheadWaitUntilResponsesAreTaken)
{
    Connection connection;
    std::string ahead;
    for (int n = 0; n < 40; ++n)
        ahead += get("/" + std::to_string(n));
    connection.receive(ahead);
    std::size_t answered = 0, most = 0;
    while (answered < 40 && answered < connection.passedOn.size()) {
        const std::size_t n = connection.passedOn.size();
        for (; answered < n; ++answered)
            connection.answer(answered, std::string(20000, 'a'));
        most = std::max(most, connection.pipeline->output().size());
        connection.pipeline->output().clear();
        connection.pipeline->resume();
    }
    BOOST_TEST(answered == 40u);
    BOOST_TEST(most < 32 * 21000u);
}

BOOST_AUTO_TEST_SUITE_END()
