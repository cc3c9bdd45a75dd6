#pragma once

#include "io/http_client.h"
#include "pistachiospur/errors.h"
#include "store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// The platform's store over etcd v3's HTTP/JSON gateway: one read of everything, one watch, and writes that are always
// conditional on versions.
namespace pistachiospur {

// Most operations in one write, as the store's default limit.
constexpr std::size_t kWriteOperations = 128;

class EtcdStore : public Store {
public:
    EtcdStore(HttpClient&, std::vector<Endpoint>, std::string prefix, Millis timeout);

    void read(const std::string& below, std::function<void(ReadResult)>) override;
    void write(const ConditionalWrite&, std::function<void(WriteResult)>) override;
    void watch(StoreRevision after, OnBatch, OnWatchEnd) override;
    void stopWatch() override;
    bool isWatching() const override { return m_watchCall != 0; }
    std::uint64_t calls() const override { return m_calls; }

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
