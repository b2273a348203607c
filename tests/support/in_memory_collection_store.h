#pragma once

#include "state/collection_store.h"
#include "transport/event_loop.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dotterel::support {

/// An in-process store that calls back from the event loop, and can simulate an outage.
class InMemoryCollectionStore : public CollectionStore
{
public:
    explicit InMemoryCollectionStore(EventLoop &loop)
        : loop(loop)
    {}

    void list(Collection collection, ListFreshness, PageCallback callback) override
    {
        this->callBackLater([this, collection, callback = std::move(callback)] {
            if (this->unavailable)
                return callback(tl::unexpected(StoreError::Unavailable));
            CollectionPage page;
            page.revision = this->revision;
            for (const auto &[name, object] : this->objects[collection])
                page.objects.push_back(object);
            callback(page);
        });
    }

    std::unique_ptr<StoreCall> watch(Collection collection, std::uint64_t knownRevision, Duration,
                                     PageCallback callback) override
    {
        this->callBackLater([this, collection, knownRevision, callback = std::move(callback)] {
            if (this->unavailable)
                return callback(tl::unexpected(StoreError::Unavailable));
            CollectionPage page;
            page.revision = this->revision;
            for (const auto &[name, object] : this->objects[collection]) {
                if (object.revision > knownRevision)
                    page.objects.push_back(object);
            }
            callback(page);
        });
        return nullptr;
    }

    void put(Collection collection, const std::string &name, const std::string &text,
             WriteCallback callback) override
    {
        this->setObject(collection, name, text);
        this->callBackLater([callback = std::move(callback)] { callback({}); });
    }

    void remove(Collection collection, const std::string &name, WriteCallback callback) override
    {
        this->objects[collection].erase(name);
        this->callBackLater([callback = std::move(callback)] { callback({}); });
    }

    void setObject(Collection collection, const std::string &name, const std::string &text)
    {
        this->objects[collection][name] = {name, ++this->revision, false, text};
    }

    bool unavailable = false;
    std::map<Collection, std::map<std::string, CollectionObject>> objects;

private:
    void callBackLater(std::function<void()> callback)
    {
        const std::size_t index = this->timers.size();
        this->timers.push_back(nullptr);
        this->timers[index] = this->loop.after(std::chrono::milliseconds(10), std::move(callback));
    }

    EventLoop &loop;
    std::uint64_t revision = 1;
    std::vector<EventLoop::TimerHandle> timers;
};

} // namespace dotterel::support
