#include "requests/budget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace pistachiospur;

BOOST_AUTO_TEST_SUITE(RepeatBudgets)

RC_BOOST_PROP(repeatsInAnyWindowStayWithinTheBound, ())
{
    const RetryWindowPolicy policy { 0.2, 5, Millis(1000) };
    RetryWindowBudget budget;
    std::vector<Millis> requests, retries;
    Millis now { 0 };
    for (int n = 0; n < 300; ++n) {
        now += Millis(*rc::gen::inRange(0, 30));
        if (*rc::gen::inRange(0, 3) == 0) {
            countRequest(budget, policy, now);
            requests.push_back(now);
        } else if (spendRetry(budget, policy, now)) {
            retries.push_back(now);
        }
    }
    for (const auto windowEnd : retries) {
        const auto inWindow
            = [&](const Millis& time) { return windowEnd - policy.window <= time && time <= windowEnd; };
        const auto requestCount = std::count_if(requests.begin(), requests.end(), inWindow);
        const auto retryCount = std::count_if(retries.begin(), retries.end(), inWindow);
        RC_ASSERT(static_cast<double>(retryCount) <= policy.ratio * static_cast<double>(requestCount) + policy.slack);
    }
}

BOOST_AUTO_TEST_CASE(emptyBudgetAllowsNoRetry)
{
    RetryWindowBudget budget;
    BOOST_TEST(!spendRetry(budget, { 0.2, 0, Millis(1000) }, Millis(0)));
}

BOOST_AUTO_TEST_SUITE_END()
