#pragma once

#include "io/http_client.h"
#include "io/http_server.h"
#include "pistachiospur/request.h"
#include "ranges/table.h"
#include "requests/load.h"
#include "requests/pace.h"
#include "routes/routes.h"
#include "store/store.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

// The interface between the gateway and its platform: a table of functions that translate between the gateway's types
// and the platform's protocol and records. The gateway has no other dependency on the platform.
namespace pistachiospur {

// The routing data that a caller sends with its HTTP request.
struct CallerMetadata {
    std::string host; // unchanged from the request
    std::string requestId;
    std::optional<SlotId> slot;
    std::optional<Millis> timeLeft; // how much longer the caller waits for the answer
};

// An order that grants a range of slots to an upstream, or renews the grant.
struct GrantOrder {
    SlotId first;
    SlotId last; // inclusive
    StoreRevision fence; // fencing token
    Millis ttl {};
    std::string handover; // token from the previous owner's release; empty if there is none
    std::string id; // of this order; the upstream repeats it in its answer
};

// An order that takes a range of slots back from an upstream.
struct ReleaseOrder {
    SlotId first;
    SlotId last; // inclusive
    StoreRevision fence;
    std::string id;
};

// Outcome of an order to an upstream.
enum class OrderVerdict {
    done,
    outdatedFence, // refused: the upstream has seen a higher fencing token
    otherInstance, // refused: the upstream at this address is not the addressed instance
    refused, // refused for another reason, without effect
    notSent, // no connection was made, so the order has no effect
    unanswered, // no conclusive answer: the order may have taken effect, or may still do so
};

struct ReleaseResult {
    OrderVerdict verdict = OrderVerdict::unanswered;
    std::string handover; // token for the next owner's grant; may be empty
};

// What an answer says of its upstream, besides answering.
struct UpstreamNotice {
    bool isLeaving = false; // the upstream ends soon and must not get new requests
    Millis pause {}; // the upstream wants nothing from this host for so long
    std::optional<UpstreamLoad> load {};

    friend bool operator==(const UpstreamNotice& a, const UpstreamNotice& b)
    {
        return std::tie(a.isLeaving, a.pause, a.load) == std::tie(b.isLeaving, b.pause, b.load);
    }
};

struct PlatformAdapter {
    std::string configurationKey; // store key of the operator's configuration
    std::string upstreamPrefix; // prefix of the store keys of upstreams' entries
    std::string evacuationPrefix; // prefix of the store keys that name the data centres to be emptied
    // Parts that cannot be read are listed in the table's `faults`; the others are in force.
    boost::leaf::result<RoutingTable> (*decodeConfiguration)(const std::string& text);
    boost::leaf::result<UpstreamInstance> (*decodeUpstream)(const UpstreamName&, const std::string& text);
    std::unique_ptr<LeasedStore> (*openStore)(HttpClient&, const Endpoint&, Millis timeout);

    CallerMetadata (*readCallerMetadata)(const HttpRequest&);
    HttpResponse (*answerResponse)(Answer);
    HttpResponse (*refusalResponse)(const Refusal&);
    // Whether callers take this status for a promise that their request has not run and will not run.
    bool (*promisesNotRun)(int status);

    HttpCall (*grantCall)(const UpstreamInstance&, const GrantOrder&);
    // An answer that bears another order's id proves nothing: an upstream may answer an order twice, the second time on
    // a connection that carries another order by then.
    OrderVerdict (*interpretGrant)(const HttpOutcome&, const std::string& orderId);
    HttpCall (*releaseCall)(const UpstreamInstance&, const ReleaseOrder&);
    ReleaseResult (*interpretRelease)(const HttpOutcome&, const std::string& orderId);
    // `timeLeft` is the time that the upstream has to answer.
    HttpCall (*requestCall)(const UpstreamInstance&, const Request&, Millis timeLeft);
    Reply (*interpretAnswer)(HttpOutcome, const Request&, const UpstreamName& sentTo);
    // What an answer says of its upstream's limit, whether or not it answers the request.
    RateNotice (*readRate)(const HttpAnswer&);
    // Nothing if the answer is another upstream's or belongs to another request than the one with this id.
    UpstreamNotice (*readNotice)(const HttpAnswer&, const std::string& sentId, const UpstreamName& sentTo);
    // Asks an upstream for its health. The answer is read by readHealth().
    HttpCall (*healthCall)(const UpstreamInstance&, const std::string& healthPath, const std::string& id);
    // How much longer the upstream is cold by an answer to that; zero: it is warm. Nothing if the answer is not proven
    // to be the upstream's, or cannot be read.
    std::optional<Millis> (*readHealth)(const HttpAnswer&, const std::string& sentId, const UpstreamName& sentTo);
};

} // namespace pistachiospur
