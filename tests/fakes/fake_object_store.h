#pragma once

#include "core/random_source.h"
#include "fakes/virtual_time.h"
#include "state/object_store.h"

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace dotterel::fakes {

/// Faults between one host and the store. The shares are probabilities for each call.
struct ObjectStoreFaults
{
    bool refused = false;   ///< Connections are refused: nothing leaves the host.
    double loseRequest = 0; ///< The call has no effect and its outcome is unknown.
    double loseAnswer = 0;  ///< The write takes effect and its outcome is unknown.
    double delayEffect = 0; ///< As loseAnswer, but the effect comes long after the failure.
    double stale = 0;       ///< A read answers an earlier state of the key, absence included.
    Duration shortest = std::chrono::milliseconds(1);
    Duration longest = std::chrono::milliseconds(5);
    Duration timeout = std::chrono::milliseconds(200);
};

/// The objects that several hosts share, with every earlier state.
class FakeObjects
{
public:
    ObjectStore::WriteResult write(const std::string &key, const std::string &value,
                                   std::uint64_t expectedVersion);
    ObjectStore::WriteResult remove(const std::string &key, std::uint64_t expectedVersion);

    /// Returns the state of \a key after all but the last \a age writes of it.
    ObjectStore::ReadResult read(const std::string &key, std::size_t age = 0) const;
    ObjectStore::ListResult list(const std::string &prefix) const;

    /// Returns how many states \a key has had before the present one.
    std::size_t oldest(const std::string &key) const;

private:
    std::map<std::string, std::vector<StoredObject>> states; ///< Version 0 marks absence.
    std::uint64_t revision = 0;
};

/// One host's way to FakeObjects in virtual time.
class FakeObjectStore : public ObjectStore
{
public:
    FakeObjectStore(VirtualTime &time, FakeObjects &objects, RandomSource &random);
    ~FakeObjectStore() override;

    /// Sets the faults of calls that begin from now on.
    void setFaults(const ObjectStoreFaults &newFaults) { this->faults = newFaults; }

    /// Holds back every answer until thaw(), as if the host's process were stopped.
    void freeze() { this->frozen = true; }
    void thaw();

    /// Calls begun, counted as the platform counts them.
    std::uint64_t writes() const { return this->writeCalls; }
    std::uint64_t reads() const { return this->readCalls; }

    void read(const std::string &key, ReadCallback callback) override;
    void write(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
               WriteCallback callback) override;
    void remove(const std::string &key, std::uint64_t expectedVersion,
                WriteCallback callback) override;
    void list(const std::string &prefix, ListCallback callback) override;
    void watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
               ReadCallback callback) override;

private:
    using Effect = std::function<WriteResult()>;

    void change(const Effect &effect, const WriteCallback &callback);
    void poll(const std::string &key, std::uint64_t knownVersion, TimePoint end,
              const ReadCallback &callback);
    void answer(Duration delay, const std::function<void()> &callback);
    bool happens(double share) { return this->random.nextDouble() < share; }
    Duration delay();

    VirtualTime &time;
    FakeObjects &objects;
    RandomSource &random;
    ObjectStoreFaults faults;
    bool frozen = false;
    std::uint64_t writeCalls = 0;
    std::uint64_t readCalls = 0;
    std::list<std::function<void()>> heldBack;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace dotterel::fakes
