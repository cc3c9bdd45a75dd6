#pragma once

#include "io/http_client.h"
#include "io/http_server.h"
#include "pistachiospur/request.h"
#include "ranges/table.h"
#include "routes/routes.h"
#include "store/store.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

// What an adapter to a platform translates. The gateway knows the platform through this table alone.
namespace pistachiospur {

// What a caller's request says of itself beyond HTTP.
struct CallerFacts {
    std::string host; // as the caller wrote it
    std::string requestId;
    std::optional<SlotId> slot;
    std::optional<Millis> timeLeft; // how long the caller will wait
};

// An order that gives slots to an upstream for a time, or renews that.
struct GrantOrder {
    SlotId first;
    SlotId last;
    StoreRevision fence;
    Millis hold {};
    std::string handover; // the last owner's, empty when there is none
};

enum class OrderVerdict {
    done,
    outdatedFence, // the upstream has seen a higher one
    otherLife, // another upstream, or none, has the address now
    refused, // for any other reason; nothing was done
    notSent,
    unanswered, // may be carried out later
};

struct ReleaseResult {
    OrderVerdict verdict = OrderVerdict::unanswered;
    std::string handover;
};

struct Dialect {
    std::string configurationKey;
    std::string upstreamPrefix;
    boost::leaf::result<RoutingTable> (*decodeConfiguration)(const std::string& text);
    boost::leaf::result<UpstreamLife> (*decodeUpstream)(const UpstreamName&, const std::string& text);
    std::unique_ptr<LeasedStore> (*openStore)(HttpClient&, const Endpoint&, Millis timeout);

    CallerFacts (*readCaller)(const HttpRequest&);
    HttpResponse (*answerResponse)(Answer);
    HttpResponse (*refusalResponse)(const Refusal&);

    HttpCall (*grantCall)(const UpstreamLife&, const GrantOrder&);
    OrderVerdict (*interpretGrant)(const HttpOutcome&);
    HttpCall (*releaseCall)(const UpstreamLife&, SlotId first, SlotId last, StoreRevision fence);
    ReleaseResult (*interpretRelease)(const HttpOutcome&);
    // `timeLeft` is what the upstream may take.
    HttpCall (*requestCall)(const UpstreamLife&, const Request&, Millis timeLeft);
    Reply (*interpretAnswer)(HttpOutcome, const Request&, const UpstreamName& sentTo);
};

} // namespace pistachiospur
