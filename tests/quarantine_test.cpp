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

BOOST_AUTO_TEST_SUITE_END()
