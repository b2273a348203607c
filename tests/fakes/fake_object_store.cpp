#include "fakes/fake_object_store.h"

namespace dotterel::fakes {

namespace {

constexpr std::size_t MostValueBytes = 1'000'000;
constexpr Duration PollInterval = std::chrono::milliseconds(5);
constexpr int LateEffectTimeouts = 3;

} // namespace

ObjectStore::WriteResult FakeObjects::write(const std::string &key, const std::string &value,
                                            std::uint64_t expectedVersion)
{
    if (value.size() > MostValueBytes)
        return tl::unexpected(StoreError::TooLarge);
    const ObjectStore::ReadResult current = this->read(key);
    if ((current ? current->version : 0) != expectedVersion)
        return tl::unexpected(StoreError::Conflict);
    this->states[key].push_back({key, value, ++this->revision});
    return this->revision;
}

ObjectStore::WriteResult FakeObjects::remove(const std::string &key, std::uint64_t expectedVersion)
{
    const ObjectStore::ReadResult current = this->read(key);
    if ((current ? current->version : 0) != expectedVersion)
        return tl::unexpected(StoreError::Conflict);
    this->states[key].push_back({key, "", 0});
    return ++this->revision;
}

ObjectStore::ReadResult FakeObjects::read(const std::string &key, std::size_t age) const
{
    const auto found = this->states.find(key);
    if (found == this->states.end() || age >= found->second.size())
        return tl::unexpected(StoreError::NotFound);
    const StoredObject &state = found->second[found->second.size() - 1 - age];
    if (state.version == 0)
        return tl::unexpected(StoreError::NotFound);
    return state;
}

ObjectStore::ListResult FakeObjects::list(const std::string &prefix) const
{
    std::vector<StoredObject> result;
    for (auto row = this->states.lower_bound(prefix); row != this->states.end(); ++row) {
        if (row->first.compare(0, prefix.size(), prefix) != 0)
            break;
        if (row->second.back().version > 0)
            result.push_back(row->second.back());
    }
    return result;
}

std::size_t FakeObjects::oldest(const std::string &key) const
{
    const auto found = this->states.find(key);
    return found == this->states.end() ? 0 : found->second.size();
}

FakeObjectStore::FakeObjectStore(VirtualTime &time, FakeObjects &objects, RandomSource &random)
    : time(time)
    , objects(objects)
    , random(random)
{}

FakeObjectStore::~FakeObjectStore()
{
    *this->alive = false;
}

void FakeObjectStore::thaw()
{
    this->frozen = false;
    const std::list<std::function<void()>> calls = std::move(this->heldBack);
    this->heldBack.clear();
    for (const std::function<void()> &call : calls)
        this->answer(Duration::zero(), call);
}

void FakeObjectStore::read(const std::string &key, ReadCallback callback)
{
    ++this->readCalls;
    if (this->faults.refused || this->happens(this->faults.loseRequest)) {
        const Duration wait = this->faults.refused ? Duration::zero() : this->faults.timeout;
        this->answer(wait, [this, callback = std::move(callback)] {
            callback(tl::unexpected(StoreError::Unavailable), this->time.now());
        });
        return;
    }
    const bool stale = this->happens(this->faults.stale);
    this->answer(this->delay(), [this, key, stale, callback = std::move(callback)] {
        const std::size_t oldest = this->objects.oldest(key);
        callback(this->objects.read(key, stale ? this->random.nextBelow(oldest + 1) : 0),
                 this->time.now());
    });
}

void FakeObjectStore::write(const std::string &key, const std::string &value,
                            std::uint64_t expectedVersion, WriteCallback callback)
{
    // The effect may come after this host, and with it this object, is gone.
    this->change([&objects = this->objects, key, value,
                  expectedVersion] { return objects.write(key, value, expectedVersion); },
                 callback);
}

void FakeObjectStore::remove(const std::string &key, std::uint64_t expectedVersion,
                             WriteCallback callback)
{
    this->change([&objects = this->objects, key,
                  expectedVersion] { return objects.remove(key, expectedVersion); },
                 callback);
}

void FakeObjectStore::list(const std::string &prefix, ListCallback callback)
{
    ++this->readCalls;
    const bool refused = this->faults.refused;
    this->answer(this->delay(), [this, prefix, refused, callback = std::move(callback)] {
        if (refused)
            callback(tl::unexpected(StoreError::Unavailable), this->time.now());
        else
            callback(this->objects.list(prefix), this->time.now());
    });
}

void FakeObjectStore::watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
                            ReadCallback callback)
{
    ++this->readCalls;
    this->poll(key, knownVersion, this->time.now() + wait, callback);
}

void FakeObjectStore::change(const Effect &effect, const WriteCallback &callback)
{
    ++this->writeCalls;
    const auto fail = [this, callback](Duration wait, StoreError error) {
        this->answer(wait, [this, callback, error] {
            callback(tl::unexpected(error), this->time.now());
        });
    };
    if (this->faults.refused) {
        fail(Duration::zero(), StoreError::Unavailable);
    } else if (this->happens(this->faults.loseRequest)) {
        fail(this->faults.timeout, StoreError::UnknownOutcome);
    } else if (this->happens(this->faults.delayEffect)) {
        // The platform acts on it however long the host has been gone.
        this->time.after(this->faults.timeout * LateEffectTimeouts, [effect] { effect(); });
        fail(this->faults.timeout, StoreError::UnknownOutcome);
    } else if (this->happens(this->faults.loseAnswer)) {
        this->time.after(this->delay(), [effect] { effect(); });
        fail(this->faults.timeout, StoreError::UnknownOutcome);
    } else {
        const auto result = std::make_shared<WriteResult>();
        const Duration arrival = this->delay();
        this->time.after(arrival, [effect, result] { *result = effect(); });
        this->answer(arrival + this->delay(),
                     [this, callback, result] { callback(*result, this->time.now()); });
    }
}

void FakeObjectStore::poll(const std::string &key, std::uint64_t knownVersion, TimePoint end,
                           const ReadCallback &callback)
{
    this->answer(PollInterval, [this, key, knownVersion, end, callback] {
        const ReadResult result = this->objects.read(key);
        if (this->faults.refused)
            callback(tl::unexpected(StoreError::Unavailable), this->time.now());
        else if (result && result->version > knownVersion)
            callback(result, this->time.now());
        else if (this->time.now() >= end)
            callback(tl::unexpected(StoreError::NotFound), this->time.now());
        else
            this->poll(key, knownVersion, end, callback);
    });
}

void FakeObjectStore::answer(Duration delay, const std::function<void()> &callback)
{
    this->time.after(delay, [this, callback, alive = this->alive] {
        if (!*alive)
            return;
        if (this->frozen)
            this->heldBack.push_back(callback);
        else
            callback();
    });
}

Duration FakeObjectStore::delay()
{
    const auto spread =
            static_cast<std::uint64_t>((this->faults.longest - this->faults.shortest).count());
    return this->faults.shortest
           + Duration(static_cast<Duration::rep>(this->random.nextBelow(spread + 1)));
}

} // namespace dotterel::fakes
