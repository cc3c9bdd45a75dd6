#include "io/http_pipeline.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>

// Seeded bytes for the parser of requests and for status lines: well-formed requests that are cut, joined and changed.
// FUZZ_SEED and FUZZ_ROUNDS change the seed and the number of connections.
using namespace pistachiospur;

namespace {

std::uint64_t numberFrom(const char* name, std::uint64_t otherwise)
{
    const char* given = std::getenv(name);
    return given ? std::strtoull(given, nullptr, 10) : otherwise;
}

const char* const kPieces[] = { "GET / HTTP/1.1\r\n", "POST /x?a=b&c HTTP/1.1\r\n", "HEAD /y HTTP/1.0\r\n",
    "OPTIONS * HTTP/1.1\r\n", "GET /z HTTP/2\r\n", "Host: a\r\n", "Host: a\r\n\r\n", "Content-Length: 5\r\n\r\n12345",
    "Content-Length: 5\r\n", "Content-Length: 99999999999999999999\r\n", "Content-Length: -1\r\n",
    "Transfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
    "5\r\n12345\r\n", "5;ext=1\r\n12345\r\n", "0\r\n\r\n", "0\r\nTrailer: x\r\n\r\n", "ffffffffffffffff\r\n", "zz\r\n",
    "30\r\n", "Connection: close\r\n", "Connection: host, x\r\n", "Expect: 100-continue\r\n", "x:\r\n", " folded\r\n",
    "\r\n", "\n", "\r", ":", "\t", "123456789012345678901234567890" };

std::string randomBytes(std::mt19937_64& random)
{
    std::string bytes;
    for (std::size_t n = random() % 24; n > 0; --n) {
        std::string piece = kPieces[random() % std::size(kPieces)];
        if (random() % 16 == 0)
            piece.resize(random() % (piece.size() + 1));
        if (random() % 16 == 0 && !piece.empty())
            piece[random() % piece.size()] = static_cast<char>(random());
        for (std::size_t times = random() % 32 == 0 ? 200 : 1; times > 0; --times)
            bytes += piece;
    }
    return bytes;
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string all;
    while (times-- > 0)
        all += text;
    return all;
}

// What the crowds of tests/crowd_test.cpp send, in small.
std::vector<std::string> corpus()
{
    const std::string get = "GET /safe/x HTTP/1.1\r\nHost: a\r\n", post = "POST /pool/x HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n", part = "5\r\nccccc\r\n";
    return { post + "Content-Length: 30\r\n\r\n" + std::string(29, 'b'), chunked + repeated(part, 6) + "0\r\n\r\n",
        post + "Content-Length: 4000\r\n\r\n" + std::string(200, 'b'), chunked + repeated(part, 20),
        chunked + "5;" + repeated("extension=", 100), chunked + part + "0\r\n" + repeated("x1:\r\n", 20) + "\r\n",
        chunked + part + "0\r\n" + repeated("x: y\r\n", 200), get + repeated("x1:\r\n", 40),
        get + repeated("x1:\r\nx2:\r\n", 10) + "\r\n", "GET /?" + repeated("1&", 100) + " HTTP/1.1\r\n",
        get + "long: " + std::string(300, 'v') + "\r\n\r\n", get + repeated("x: " + std::string(50, 'v') + "\r\n", 30),
        "GET /" + std::string(2000, 'a'), repeated("\r\n", 1000), repeated(get + "\r\n", 40), "GET /sa", "" };
}

// A case of the corpus with up to three changes: a byte is replaced, a part is left out, repeated, or taken from
// another.
std::string changedCase(const std::vector<std::string>& cases, std::mt19937_64& random)
{
    std::string bytes = cases[random() % cases.size()];
    for (std::size_t n = random() % 4; n > 0 && !bytes.empty(); --n) {
        const std::size_t at = random() % bytes.size(), size = random() % 64;
        const std::string& other = cases[random() % cases.size()];
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, size);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, size));
            break;
        default:
            bytes.insert(at, other.substr(other.empty() ? 0 : random() % other.size(), size));
        }
    }
    return bytes;
}

using OpenRequests = std::vector<std::pair<HttpPipeline::Sequence, HttpRequest>>;

// Receives the bytes as a server does, and answers at random times.
void receiveAll(HttpPipeline& pipeline, const std::string& bytes, OpenRequests& open, std::mt19937_64& random)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && !pipeline.isClosing()) {
        if (pipeline.wantsInput()) {
            const std::size_t n = 1 + random() % 64;
            pipeline.receive(std::string_view(bytes).substr(sent, n), Millis(1));
            sent += n;
        } else if (open.empty() && pipeline.output().empty()) {
            break;
        }
        if (!open.empty() && random() % 4 == 0) {
            const std::size_t n = random() % open.size();
            pipeline.respond(open[n].first, { 200, {}, "later" });
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(n));
        }
        if (random() % 4 == 0) {
            pipeline.output().clear();
            pipeline.resume();
        }
        if (random() % 256 == 0)
            pipeline.timeOut();
    }
}

// Feeds one connection.
void feed(const std::string& bytes, std::mt19937_64& random)
{
    HttpLimits limits;
    limits.headerBytes = 512;
    limits.bodyBytes = 40;
    limits.bodiesFlow = random() % 2 == 0;
    limits.outputBytes = random() % 2 == 0 ? 1 : 4096;
    limits.headCopies = 3;
    const auto budget = std::make_shared<MemoryBudget>(random() % 4 == 0 ? 2000 : 100000);
    OpenRequests open;
    std::vector<HttpPipeline::Sequence> passedOn;
    HttpPipeline* self = nullptr;
    HttpPipeline pipeline(limits,
        { [&](const HttpRequest&, std::optional<std::uint64_t>) {
             return random() % 8 ? std::nullopt : std::optional(HttpResponse { 503, {}, "" });
         },
            [&](HttpPipeline::Sequence sequence, HttpRequest request) {
                passedOn.push_back(sequence);
                if (random() % 2)
                    self->respond(sequence, { 200, {}, "now" });
                else
                    open.emplace_back(sequence, std::move(request));
            },
            [] {
                return HttpResponse { 503, {}, "" };
            } },
        budget);
    self = &pipeline;
    receiveAll(pipeline, bytes, open, random);
    BOOST_TEST(std::is_sorted(passedOn.begin(), passedOn.end()));
    BOOST_TEST((std::adjacent_find(passedOn.begin(), passedOn.end()) == passedOn.end()));
    BOOST_TEST(pipeline.waitingMemory() < 400000u);
    pipeline.end();
    open.clear();
    BOOST_TEST(budget->used() == 0u);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fuzz)

// No sequence of bytes breaks the parser, passes a request on twice or keeps memory of the budget.
BOOST_AUTO_TEST_CASE(anyBytesOfACallerAreHandled)
{
    std::mt19937_64 random(numberFrom("FUZZ_SEED", 54));
    for (std::uint64_t n = numberFrom("FUZZ_ROUNDS", 3000); n > 0; --n)
        feed(randomBytes(random), random);
}

// The same for what crowds of misbehaving callers send, and for small changes of it.
BOOST_AUTO_TEST_CASE(anyChangeOfWhatCrowdsSendIsHandled)
{
    std::mt19937_64 random(numberFrom("FUZZ_SEED", 54));
    const auto cases = corpus();
    for (const std::string& it : cases)
        feed(it, random);
    for (std::uint64_t n = numberFrom("FUZZ_ROUNDS", 3000); n > 0; --n)
        feed(changedCase(cases, random), random);
}

// Of all status lines, only those of three digits from 100 to 599 are one.
BOOST_AUTO_TEST_CASE(anyStatusLineIsReadOrRefused)
{
    std::mt19937_64 random(numberFrom("FUZZ_SEED", 54));
    for (int status = 0; status < 2000; ++status) {
        char digits[8];
        std::snprintf(digits, sizeof digits, "%03d", status);
        const auto read = parseStatusLine(std::string("HTTP/1.1 ") + digits + " x\r\n");
        BOOST_TEST(read.value_or(0) == (status >= 100 && status <= 599 ? status : 0));
    }
    for (int n = 0; n < 20000; ++n) {
        std::string line = "HTTP/1.1 200 OK";
        line[random() % line.size()] = static_cast<char>(random());
        line.resize(random() % (line.size() + 1));
        const auto read = parseStatusLine(line);
        BOOST_TEST((!read || (*read >= 100 && *read <= 599)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
