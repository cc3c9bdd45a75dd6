#pragma once

#include "pistachiospur/errors.h"
#include "replica.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The platform's key-value store as the router needs it: reads of everything below a prefix, one watch, and writes that
// are conditional on versions. Each platform has an adapter that speaks its protocol.
namespace pistachiospur {

using LeaseId = Strong<struct LeaseTag, std::uint64_t>;
// A key written under this lease stays until it is removed.
constexpr LeaseId kNoLease {};

// A write that takes effect only if every expected version still holds. Keys are below the prefix.
struct ConditionalWrite {
    struct Expectation {
        std::string key;
        StoreRevision version; // zero: the key must not exist
    };
    struct Put {
        std::string key;
        std::optional<std::string> text; // nothing: delete
        LeaseId lease = kNoLease; // the key goes when this lease ends
    };
    std::vector<Expectation> expected;
    std::vector<Put> puts;
};

struct Written {
    StoreRevision revision;
};
// Some expected version no longer holds; nothing was written. `current` is filled where the store tells it.
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

    // Reads every key below the prefix and `below`.
    virtual void read(const std::string& below, std::function<void(ReadResult)>) = 0;
    virtual void write(const ConditionalWrite&, std::function<void(WriteResult)>) = 0;
    // Follows every change after a revision. One watch at a time; a new one replaces the old.
    virtual void watch(StoreRevision after, OnBatch, OnWatchEnd) = 0;
    virtual void stopWatch() = 0;
    virtual bool isWatching() const = 0;
    virtual std::uint64_t calls() const = 0;
};

struct LeaseOpened {
    LeaseId lease;
    Millis life {}; // counts from the arrival of each renewal at the store
};
struct LeaseRenewed { };
// The lease has ended and its keys are gone.
struct LeaseGone { };

using LeaseOpenResult = std::variant<LeaseOpened, StoreError>;
using LeaseRenewalResult = std::variant<LeaseRenewed, LeaseGone, StoreError>;

// A store whose keys can be bound to the life of a process.
class LeasedStore : public Store {
public:
    virtual void openLease(Millis life, std::function<void(LeaseOpenResult)>) = 0;
    virtual void renewLease(LeaseId, std::function<void(LeaseRenewalResult)>) = 0;
    virtual void endLease(LeaseId, std::function<void()> onEnd) = 0;
};

} // namespace pistachiospur
