#define BOOST_TEST_MODULE pistachiospur
#include <boost/test/unit_test.hpp>

#include <cstdlib>

// Runs rapidcheck properties with a fixed seed, unless RC_PARAMS is set, so that CI results are reproducible.
struct FixedSeeds {
    FixedSeeds() { setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeeds);
