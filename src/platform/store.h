#pragma once

#include "io/http_client.h"
#include "pistachiospur/errors.h"
#include "replica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The platform's store over etcd v3's HTTP/JSON gateway: one read of everything, one watch, and writes that are always
// conditional on versions.
namespace pistachiospur {

// A write that takes effect only if every expected version still holds. Keys are below the prefix.
struct ConditionalWrite {
    struct Expectation {
        std::string key;
        StoreRevision version; // zero: the key must not exist
    };
    struct Put {
        std::string key;
        std::optional<std::string> text; // nothing: delete
    };
    std::vector<Expectation> expected;
    std::vector<Put> puts;
};

// Most operations in one write, as the store's default limit.
constexpr std::size_t kWriteOperations = 128;

struct Written {
    StoreRevision revision;
};
// Some expected version no longer holds; nothing was written.
struct WriteConflict {
    StoreRevision revision;
};

using WriteResult = std::variant<Written, WriteConflict, StoreError>;
using ReadResult = std::variant<Snapshot, StoreError>;

class Store {
public:
    Store(HttpClient&, std::vector<Endpoint>, std::string prefix, Millis timeout);

    // Reads every key below the prefix and `below`.
    void read(const std::string& below, std::function<void(ReadResult)>);
    void write(const ConditionalWrite&, std::function<void(WriteResult)>);

    using OnBatch = std::function<void(ChangeBatch)>;
    using OnWatchEnd = std::function<void(StoreError)>;
    // Follows every change after a revision. One watch at a time; a new one replaces the old.
    void watch(StoreRevision after, OnBatch, OnWatchEnd);
    void stopWatch();
    bool isWatching() const { return m_watchCall != 0; }

    std::uint64_t calls() const { return m_calls; }

private:
    HttpCall callTo(const char* path, std::string body) const;
    void tryNextEndpoint() { ++m_endpoint; }
    void onWatchPiece(const char* data, std::size_t n);

    HttpClient& m_http;
    std::vector<Endpoint> m_endpoints;
    std::string m_prefix;
    Millis m_timeout;
    std::size_t m_endpoint = 0;
    std::uint64_t m_calls = 0;
    HttpClient::CallId m_watchCall = 0;
    std::string m_watchBuffer;
    StoreRevision m_watched;
    OnBatch m_onBatch;
};

} // namespace pistachiospur
