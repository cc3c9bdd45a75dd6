#pragma once

#include "config/publish.h"
#include "io/http_client.h"
#include "store/etcd_store.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

// The command-line tool's side of the store and of the hosts' admin pages. Every call runs the loop until it is done.
namespace pistachiospur {

// A host's admin page could not be had.
struct HostError {
    Endpoint endpoint;
    int httpStatus = 0; // 0 when there was no answer
};

class OperatorClient {
public:
    OperatorClient(std::vector<Endpoint> store, std::string prefix, std::vector<Endpoint> hosts);

    boost::leaf::result<Published> readConfiguration();
    // The change records of the newest revisions, newest first.
    boost::leaf::result<std::vector<Json>> readHistory(std::size_t most);
    // Publishes on top of what was read. A lost answer is settled by reading the head's change id back.
    boost::leaf::result<Revision> publish(const Published& base, const ChangeSet&, const std::string& changeId);
    // A JSON page from one host.
    boost::leaf::result<Json> ask(const Endpoint& host, const std::string& method, const std::string& path);
    // The page from every host that answers, with the failures beside it.
    std::vector<std::pair<Endpoint, std::optional<Json>>> askAll(const std::string& path);
    const std::vector<Endpoint>& hosts() const { return m_hosts; }

private:
    boost::leaf::result<Snapshot> readAndWait(const std::string& below);
    WriteResult writeAndWait(const ConditionalWrite&);
    boost::leaf::result<Revision> settle(const StoreError&, const Published& base, const std::string& changeId);

    HttpClient m_http;
    EtcdStore m_store;
    std::vector<Endpoint> m_hosts;
};

} // namespace pistachiospur
