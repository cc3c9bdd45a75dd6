#pragma once

#include "io/http_client.h"
#include "pistachiospur/errors.h"
#include "store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// The Store interface over etcd v3's HTTP/JSON gateway.
namespace pistachiospur {

// Max operations in one write: etcd's default limit (--max-txn-ops).
constexpr std::size_t kMaxWriteOperations = 128;

// As large as the largest answer of the store.
constexpr std::size_t kMaxWatchLineBytes = 64u << 20;

class EtcdStore : public Store {
public:
    // A watch ends when one line of its stream, a message, is longer than `maxLineBytes`.
    EtcdStore(HttpClient&, std::vector<Endpoint>, std::string prefix, Millis timeout,
        std::size_t maxLineBytes = kMaxWatchLineBytes);

    void read(const std::string& keyPrefix, std::function<void(ReadResult)>) override;
    void write(const ConditionalWrite&, std::function<void(WriteResult)>) override;
    void watch(StoreRevision after, OnBatch, OnWatchEnd) override;
    void stopWatch() override;
    bool isWatching() const override { return m_watchCall != 0; }
    std::uint64_t calls() const override { return m_calls; }

private:
    HttpCall callTo(const char* path, std::string body) const;
    void tryNextEndpoint() { ++m_endpointIndex; }
    void onWatchChunk(const char* data, std::size_t n);

    HttpClient& m_http;
    std::vector<Endpoint> m_endpoints;
    std::string m_prefix;
    Millis m_timeout;
    std::size_t m_maxLineBytes;
    std::size_t m_endpointIndex = 0; // modulo the number of endpoints
    std::uint64_t m_calls = 0;
    HttpClient::CallId m_watchCall = 0;
    std::string m_watchBuffer; // received bytes after the last complete line
    StoreRevision m_watchRevision; // of the last change that was reported
    OnBatch m_onBatch;
    OnWatchEnd m_onWatchEnd;
};

} // namespace pistachiospur
