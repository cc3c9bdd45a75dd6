#pragma once

#include "pistachiospur/era.h"
#include "pistachiospur/errors.h"
#include "replica.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The interface to the platform's key-value store: reads by key prefix, one watch, and conditional writes (CAS on key
// versions). Each platform implements it for its own protocol.
namespace pistachiospur {

using LeaseId = Strong<struct LeaseTag, std::uint64_t>;
// Stands for no lease: the key stays until it is deleted.
constexpr LeaseId kNoLease {};

// A transaction that is applied only if every expected version matches. Keys are without the store prefix.
struct ConditionalWrite {
    struct Expectation {
        std::string key;
        StoreRevision version; // zero: the key must not exist
    };
    struct Put {
        std::string key;
        std::optional<std::string> text; // empty: delete the key
        LeaseId lease = kNoLease; // the store deletes the key when this lease ends
    };
    std::vector<Expectation> expected;
    std::vector<Put> puts;
};

struct Written {
    StoreRevision revision; // in the era in which it was written
};
// An expected version did not match, so nothing was written. `current` holds the present values of the keys if the
// store returns them.
struct WriteConflict {
    StoreRevision revision;
    std::vector<KeyChange> current;
};

using WriteResult = std::variant<Written, WriteConflict, StoreError>;
using ReadResult = std::variant<Snapshot, StoreError>;

class Store {
public:
    using OnBatch = std::function<void(ChangeBatch)>;
    using OnWatchEnd = std::function<void(StoreError)>;

    virtual ~Store() = default;

    // Reads every key that begins with the store prefix followed by `keyPrefix`.
    virtual void read(const std::string& keyPrefix, std::function<void(ReadResult)>) = 0;
    virtual void write(const ConditionalWrite&, std::function<void(WriteResult)>) = 0;
    // Reports every change after a revision until the watch ends. There is at most one watch; a new one replaces it.
    virtual void watch(StoreRevision after, OnBatch, OnWatchEnd) = 0;
    virtual void stopWatch() = 0;
    virtual bool isWatching() const = 0;
    // Number of calls made to the store so far.
    virtual std::uint64_t calls() const = 0;
};

struct LeaseOpened {
    LeaseId lease;
    Millis ttl {}; // the store restarts it when a renewal arrives
    StoreEra era {}; // the lease's id means nothing in any other
};
struct LeaseRenewed {
    StoreEra era {};
};
// The lease has expired or was revoked, and its keys are deleted.
struct LeaseExpired { };

using LeaseOpenResult = std::variant<LeaseOpened, StoreError>;
using LeaseRenewalResult = std::variant<LeaseRenewed, LeaseExpired, StoreError>;

// Calls made to a store so far, by kind.
using CallCounts = std::map<std::string, std::uint64_t>;

// A store that supports leases. Keys written under a lease are deleted when it ends, as when their writer's process
// dies.
class LeasedStore : public Store {
public:
    // The store is known to have had no changes beyond the last watched batch at this time, on the monotonic clock.
    virtual Millis watchConfirmedAt() const = 0;
    virtual const CallCounts& callCounts() const = 0;
    // The latest era that an answer of the store named.
    virtual StoreEra era() const = 0;
    virtual void openLease(Millis ttl, std::function<void(LeaseOpenResult)>) = 0;
    virtual void renewLease(LeaseId, std::function<void(LeaseRenewalResult)>) = 0;
    virtual void revokeLease(LeaseId, std::function<void()> onEnd) = 0;
};

} // namespace pistachiospur
