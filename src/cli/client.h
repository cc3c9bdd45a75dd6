#pragma once

#include "config/publish.h"
#include "io/http_client.h"
#include "store/etcd_store.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

// The command-line tool's client of the store and of the hosts' admin pages. Every call blocks: it runs the event loop
// until the answer arrives or the call times out.
namespace pistachiospur {

// A host's admin page could not be read.
struct HostError {
    Endpoint endpoint;
    int httpStatus = 0; // 0 if there was no answer
};

class OperatorClient {
public:
    OperatorClient(std::vector<Endpoint> store, std::string prefix, std::vector<Endpoint> hosts);

    boost::leaf::result<PublishedConfiguration> readConfiguration();
    // The change records of the newest revisions, newest first.
    boost::leaf::result<std::vector<Json>> readHistory(std::size_t maxRecords);
    // Publishes the changes as the revision after `base`; fails if another revision was published since. If the store's
    // answer is lost, the change id in the configuration head shows whether the write took effect.
    boost::leaf::result<Revision> publish(
        const PublishedConfiguration& base, const ChangeSet&, const std::string& changeId);
    // Calls one host's admin endpoint and parses its JSON answer.
    boost::leaf::result<Json> callHost(const Endpoint& host, const std::string& method, const std::string& path);
    // Reads one admin page from every host. A host that fails to answer has no JSON.
    std::vector<std::pair<Endpoint, std::optional<Json>>> readFromAllHosts(const std::string& path);
    const std::vector<Endpoint>& hosts() const { return m_hosts; }

private:
    // Reads the records whose keys begin with `keyPrefix`, below the prefix given to the constructor.
    boost::leaf::result<Snapshot> readAndWait(const std::string& keyPrefix);
    WriteResult writeAndWait(const ConditionalWrite&);
    // Finds out whether a publication whose answer was lost took effect.
    boost::leaf::result<Revision> resolveUnknownWrite(
        const StoreError&, const PublishedConfiguration& base, const std::string& changeId);

    HttpClient m_http;
    EtcdStore m_store;
    std::vector<Endpoint> m_hosts;
};

} // namespace pistachiospur
