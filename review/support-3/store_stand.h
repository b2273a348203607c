#pragma once

#include "http_stand.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/// The platform's store of objects: list, watch, create, replace and remove, as PROTOCOL.md says.
class StoreStand
{
public:
    StoreStand();

    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

    std::string address() const { return this->stand.address(); }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        nlohmann::json spec;
    };
    struct Change
    {
        std::string kind;
        std::uint64_t revision = 0;
        nlohmann::json event;
    };

    void serve(Connection &connection);
    std::string answer(const Message &request);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs);
    std::string write(const Message &request, const std::string &kind, const std::string &name);
    static nlohmann::json asJson(const std::string &name, const Object &object);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Change> history;
    HttpStand stand;
};

} // namespace review
