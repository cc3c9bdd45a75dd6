#include "gateway/records.h"
#include "requests/quarantine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

// The rules by which requests that end upstreams are recognised and refused. Virtual time.
using namespace pistachiospur;

namespace {

constexpr std::uint64_t kSeed = 7;

RequestIdentity someRequest() { return { "a.example", "POST", "/orders/1?x=2", SlotId { 40000 }, "a body", 6 }; }

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineRules)

// Guards against a copy that is taken for another request, and another request that is taken for a copy.
BOOST_AUTO_TEST_CASE(copiesOfARequestHaveOneFingerprint)
{
    const std::uint64_t known = fingerprintOf(someRequest(), kSeed);
    BOOST_TEST(fingerprintOf(someRequest(), kSeed) == known);
    BOOST_TEST(fingerprintOf(someRequest(), kSeed + 1) != known);
    RequestIdentity other[6];
    std::fill(std::begin(other), std::end(other), someRequest());
    other[0].host = "b.example";
    other[1].method = "PUT";
    other[2].target = "/orders/1?x=3";
    other[3].slot = SlotId { 40001 };
    other[4].body = "b body";
    other[5].bodyBytes = 7;
    for (const auto& it : other)
        BOOST_TEST(fingerprintOf(it, kSeed) != known);
}

// Guards against a copy of a large body that is not recognised because less of it had arrived when it started.
BOOST_AUTO_TEST_CASE(largeBodyIsRecognisedByItsBeginning)
{
    const std::string body(kFingerprintBodyBytes + 100, 'x');
    RequestIdentity early = someRequest(), late = someRequest();
    early.body = std::string_view(body).substr(0, kFingerprintBodyBytes);
    late.body = body;
    early.bodyBytes = late.bodyBytes = 1000000;
    BOOST_TEST(fingerprintOf(early, kSeed) == fingerprintOf(late, kSeed));
}

// Guards against a request that is refused because several upstreams that ran it were lost at once.
BOOST_AUTO_TEST_CASE(runThatBeganBeforeTheLastEndWasKnownIsNoFurtherEvidence)
{
    Quarantine quarantine;
    BOOST_TEST(addsEvidence(quarantine, 7, Millis(100)));
    addBreak(quarantine, { 7, 1 }, Millis(200));
    BOOST_TEST(!addsEvidence(quarantine, 7, Millis(150)));
    BOOST_TEST(!addsEvidence(quarantine, 7, Millis(200)));
    BOOST_TEST(addsEvidence(quarantine, 7, Millis(201)));
    BOOST_TEST(addsEvidence(quarantine, 8, Millis(150)));
}

BOOST_AUTO_TEST_CASE(quarantineEndsAfterItsTime)
{
    Quarantine quarantine;
    addBreak(quarantine, { 7, 1 }, Millis(0));
    BOOST_TEST(quarantineLeft(quarantine, 7, Millis(0)).count() == 0);
    addBreak(quarantine, { 7, 2 }, Millis(1000));
    BOOST_TEST(quarantineLeft(quarantine, 7, Millis(1000)).count() == kQuarantineDuration.count());
    BOOST_TEST(quarantineLeft(quarantine, 7, Millis(1000) + kQuarantineDuration - Millis(1)).count() == 1);
    BOOST_TEST(quarantineLeft(quarantine, 7, Millis(1000) + kQuarantineDuration).count() == 0);
    BOOST_TEST(isSuspect(quarantine, 7));
    expire(quarantine, Millis(1000) + kQuarantineDuration);
    BOOST_TEST(!isSuspect(quarantine, 7));
}

// Guards against memory that callers fill, and against callers who push a quarantined request out with others.
BOOST_AUTO_TEST_CASE(suspectsAreBoundedAndQuarantinedOnesGoLast)
{
    Quarantine quarantine;
    addBreak(quarantine, { 1, 1 }, Millis(0));
    addBreak(quarantine, { 1, 2 }, Millis(0));
    for (std::uint64_t n = 2; n < 2 * kMaxSuspects; ++n)
        addBreak(quarantine, { n, 1 }, Millis(static_cast<std::int64_t>(n)));
    BOOST_TEST(quarantine.suspects.size() == kMaxSuspects);
    BOOST_TEST(isQuarantined(quarantine, 1, Millis(5000)));
    BOOST_TEST(!isSuspect(quarantine, 2));
    BOOST_TEST(isSuspect(quarantine, 2 * kMaxSuspects - 1));
}

BOOST_AUTO_TEST_CASE(recordsAreReadAsWrittenAndOddOnesRefused)
{
    std::vector<FieldError> faults;
    const QuarantineRecord record { { 1, UINT64_MAX }, "GET /x", false };
    const auto read = decodeQuarantineRecord(encode(record), faults);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->breakIds == record.breakIds));
    BOOST_TEST(read->request == "GET /x");
    BOOST_TEST(!read->cleared);
    for (const char* text : { "", "[]", "{\"breaks\":7}", "{\"breaks\":[7]}", "{\"breaks\":[],\"cleared\":3}" }) {
        faults.clear();
        BOOST_TEST(!decodeQuarantineRecord(text, faults).has_value(), text);
        BOOST_TEST(!faults.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
