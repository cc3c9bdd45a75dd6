#include "raw_site.h"

#include <boost/test/unit_test.hpp>

// Upstreams that stop in the middle of an answer, as the callers of a site see them. Real sockets.
using namespace pistachiospur;
using namespace pistachiospur::standin;

namespace {

const std::string kBody = "the whole body";

std::string headLines(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n";
}

// An answer in one of the forms that upstreams use.
struct AnswerForm {
    const char* name;
    std::string (*text)(const std::string& id);
    bool endsWithConnection; // complete at the end of its head or later, if the connection is not reset
    std::size_t spareBytes; // at its end, which follow after the last byte that shows the body to be whole
};

const AnswerForm kForms[] = {
    { "length", [](const std::string& id) { return sealedAnswer(id, kBody); }, false, 0 },
    { "chunks",
        [](const std::string& id) {
            return headLines(id) + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + kBody + "\r\n0\r\n\r\n";
        },
        false, 2 },
    { "no length", [](const std::string& id) { return headLines(id) + "\r\n" + kBody; }, true, 0 },
    { "after 100", [](const std::string& id) { return "HTTP/1.1 100 Continue\r\n\r\n" + sealedAnswer(id, kBody); },
        false, 0 },
    { "after 103",
        [](const std::string& id) {
            return "HTTP/1.1 103 Early Hints\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n\r\n"
                + sealedAnswer(id, kBody);
        },
        false, 0 },
};

// Where the final answer's head ends, with its empty line.
std::size_t headEnd(const std::string& text) { return text.find("\r\n\r\n", text.find("HTTP/1.1 200")) + 4; }

// A sound upstream, except that answers to requests whose id begins with "cut" stop after `bytes` bytes.
struct CuttingSite {
    const AnswerForm* form = &kForms[0];
    std::size_t bytes = 0;
    RawEnding ending = RawEnding::close;
    RawSite site { 2, [this](const RawRequest& request) -> std::vector<RawPart> {
                      if (request.id.find("cut") == 0)
                          return { { form->text(request.id).substr(0, bytes), ending } };
                      return { { sealedAnswer(request.id, request.http.path == "/get/x" ? kBody : "{}") } };
                  } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenHeads)

// Guards against a success with an empty or short body, framed as whole: an upstream closed or reset the connection
// within the answer's head or body. Each place is tried through the host that coordinates the upstream and another one.
BOOST_AUTO_TEST_CASE(answerThatStopsAnywhereIsNoSuccess)
{
    CuttingSite cutting;
    RawSite& site = cutting.site;
    BOOST_REQUIRE(site.waitUntilServed());
    int n = 0;
    for (const AnswerForm& form : kForms) {
        cutting.form = &form;
        const std::size_t size = form.text("cut0000").size() - form.spareBytes;
        for (const RawEnding ending : { RawEnding::close, RawEnding::reset }) {
            cutting.ending = ending;
            const bool isReset = ending == RawEnding::reset;
            for (std::size_t bytes = 0; bytes < size; bytes += isReset ? 5 : 1) {
                if (form.endsWithConnection && !isReset && bytes >= headEnd(form.text("cut0000")))
                    break;
                cutting.bytes = bytes;
                std::string id = std::to_string(n++);
                id.insert(0, 4 - id.size(), '0').insert(0, "cut");
                const char* target = n % 2 ? "/unsafe/x" : "/pool/x";
                const HttpAnswer answer = site.send(target, id, static_cast<std::size_t>(n / 2 % 2));
                BOOST_TEST(answer.status == 502,
                    answer.status << " for " << form.name << " after " << bytes << " of " << size << " bytes, "
                                  << (isReset ? "reset" : "closed") << ", " << target);
            }
        }
    }
}

// Guards against answers that a pipelining caller takes for those of other requests, after one that broke off.
BOOST_AUTO_TEST_CASE(pipelinedAnswersStayWithTheirRequestsWhenOneBreaksOff)
{
    CuttingSite cutting;
    RawSite& site = cutting.site;
    BOOST_REQUIRE(site.waitUntilServed());
    for (const AnswerForm& form : kForms) {
        cutting.form = &form;
        const std::size_t end = headEnd(form.text("cut0"));
        for (const std::size_t bytes : { std::size_t(10), end - 30, end - 2, end - 1, end }) {
            if (form.endsWithConnection && bytes == end)
                continue;
            cutting.bytes = bytes;
            for (std::size_t host = 0; host < 2; ++host) {
                CallerConnection caller(site.callerEndpoints[host]);
                caller.write(RawSite::text("/get/x", "first") + RawSite::text("/get/x", "cut0")
                    + RawSite::text("/get/x", "third"));
                const auto count = [&](const char* part) {
                    std::size_t found = 0;
                    for (auto at = caller.read().find(part); at != std::string::npos;
                         at = caller.read().find(part, at + 1))
                        ++found;
                    return found;
                };
                BOOST_TEST(RawSite::runLoopUntil([&] { return count("seal-third") == 1; }, Millis(3000)));
                const std::string& text = caller.read();
                BOOST_TEST(count("HTTP/1.1 200 OK") == 2u, form.name << " " << bytes << ": " << text);
                BOOST_TEST(count("HTTP/1.1 502") == 1u, form.name << " " << bytes << ": " << text);
                BOOST_TEST(count("HTTP/1.1 ") == 3u);
                BOOST_TEST(text.find("seal-first") < text.find("HTTP/1.1 502"));
                BOOST_TEST(text.find("HTTP/1.1 502") < text.find("seal-third"));
                BOOST_TEST(text.find("seal-cut0") == std::string::npos);
            }
        }
    }
}

// Guards against an interim response that a caller gets as the answer, and then takes the next answer for this one's.
BOOST_AUTO_TEST_CASE(interimResponseIsNoAnswer)
{
    std::string interim;
    RawSite site(2, [&](const RawRequest& request) -> std::vector<RawPart> {
        if (request.id == "interim")
            return { { interim, RawEnding::close } };
        return { { sealedAnswer(request.id, "{}") } };
    });
    BOOST_REQUIRE(site.waitUntilServed());
    for (const char* status : { "100 Continue", "101 Switching Protocols", "103 Early Hints", "199 Unknown" }) {
        interim = std::string("HTTP/1.1 ") + status + "\r\nRequest-Id: interim\r\nServer-Seal: seal\r\n\r\n";
        for (std::size_t host = 0; host < 2; ++host) {
            CallerConnection caller(site.callerEndpoints[host]);
            caller.write(RawSite::text("/get/x", "interim") + RawSite::text("/get/x", "second"));
            RawSite::runLoopUntil([&] { return caller.read().find("seal-second") != std::string::npos; }, Millis(2000));
            BOOST_TEST(caller.read().find("HTTP/1.1 502") == 0u, caller.read());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
