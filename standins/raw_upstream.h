#pragma once

#include "io/http_message.h"
#include "io/loop.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

// An in-process stand-in for a faulty upstream: it reads requests as any upstream does and writes the bytes that a test
// gives it, well formed or not.
namespace pistachiospur::standin {

struct RawRequest {
    HttpRequest http;
    std::string id; // Request-Id; empty if it has none
    unsigned connection = 0; // number of the connection, from 0 for the first that the upstream accepted
    unsigned number = 0; // number of the request on its connection, from 0
};

enum class RawEnding { keepOpen, close, reset };

// Bytes to write `after` the part before them, and what to do with the connection then.
struct RawPart {
    std::string bytes;
    RawEnding ending = RawEnding::keepOpen;
    Millis after {};
};

class RawUpstream {
public:
    // Called once for each whole request; returns what is written because of it.
    using Handler = std::function<std::vector<RawPart>(const RawRequest&)>;

    RawUpstream(std::string service, std::string name, Handler handler);
    ~RawUpstream();
    RawUpstream(const RawUpstream&) = delete;
    RawUpstream& operator=(const RawUpstream&) = delete;

    Endpoint endpoint() const;
    // The text of its entry in the store.
    std::string entry(unsigned slots = 2) const;
    const std::string& name() const { return m_name; }
    // Number of requests with this id that arrived whole.
    std::size_t runCount(const std::string& id) const;
    // Bytes of due answers that nobody has taken from it.
    std::size_t unreadBytes() const;

    Handler handler;
    std::vector<RawRequest> received; // orders are not listed

private:
    struct Connection;

    void accept();
    void receive(Connection&);
    void respond(Connection&, const RawRequest&);
    void write(Connection&);
    void close(Connection&);

    std::string m_service;
    std::string m_name;
    int m_listenFd;
    unsigned m_accepted = 0;
    std::list<std::unique_ptr<Connection>> m_connections;
    SocketWatcher m_acceptWatcher;
};

// A whole, sealed answer to the request with this id; without an id the answer bears none.
std::string sealedAnswer(const std::string& id, const std::string& body, const std::string& headers = "");
// A refusal that states that the request with this id was not run; without an id the refusal bears none.
std::string notExecuted(int status, const std::string& id, const std::string& headers = "");

} // namespace pistachiospur::standin
