#include "store_stand.h"

#include <chrono>

namespace review {

namespace {

using Json = nlohmann::json;

const std::string ObjectsPath = "/-/objects/";

/// Returns the value of a field of the query of \a target; empty if there is none.
std::string queryField(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos)
        return {};
    const std::string query = "&" + target.substr(question + 1) + "&";
    const std::size_t begin = query.find("&" + name + "=");
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + name.size() + 2;
    return query.substr(value, query.find('&', value) - value);
}

std::string reply(int status, const Json &body)
{
    return formatResponse(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

StoreStand::StoreStand()
    : stand([this](Connection &connection) { this->serve(connection); })
{}

nlohmann::json StoreStand::asJson(const std::string &name, const Object &object)
{
    return {{"metadata", {{"name", name}, {"rev", object.revision}}}, {"spec", object.spec}};
}

void StoreStand::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Object &object = this->objects[kind][name];
    if (object.revision > 0 && object.spec == spec)
        return;
    object = {++this->revision, spec};
    this->history.push_back(
            {kind, this->revision, {{"removed", false}, {"object", asJson(name, object)}}});
    this->changed.notify_all();
}

void StoreStand::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return;
    this->history.push_back(
            {kind, ++this->revision, {{"removed", true}, {"object", asJson(name, found->second)}}});
    this->objects[kind].erase(found);
    this->changed.notify_all();
}

void StoreStand::serve(Connection &connection)
{
    while (const std::optional<Message> request = connection.readRequest()) {
        if (!connection.write(this->answer(*request)))
            return;
    }
}

std::string StoreStand::answer(const Message &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.compare(0, ObjectsPath.size(), ObjectsPath) != 0)
        return reply(404, Json::object());
    const std::string rest = path.substr(ObjectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method != "GET")
        return this->write(request, kind, name);
    const std::string watched = queryField(request.target, "watch");
    if (watched.empty())
        return this->list(kind);
    return this->watch(kind, std::stoull(watched),
                       std::stoll("0" + queryField(request.target, "wait_ms")));
}

std::string StoreStand::list(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Json items = Json::array();
    for (const auto &[name, object] : this->objects[kind])
        items.push_back(asJson(name, object));
    return reply(200, {{"items", items}, {"more", false}, {"at", this->revision}});
}

std::string StoreStand::watch(const std::string &kind, std::uint64_t from, std::int64_t waitMs)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    Json events = Json::array();
    const auto hasEvents = [&] {
        for (const Change &change : this->history) {
            if (change.kind == kind && change.revision > from)
                events.push_back(change.event);
        }
        return !events.empty();
    };
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasEvents);
    return reply(200, {{"events", events}, {"at", this->revision}});
}

std::string StoreStand::write(const Message &request, const std::string &kind,
                              const std::string &name)
{
    if (request.method == "DELETE") {
        this->remove(kind, name);
        return reply(200, Json::object());
    }
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string written =
            request.method == "POST" ? body["metadata"]["name"].get<std::string>() : name;
    bool exists = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        exists = this->objects[kind].count(written) > 0;
    }
    if (exists == (request.method == "POST"))
        return reply(exists ? 409 : 404, Json::object());
    this->put(kind, written, body["spec"]);
    return reply(exists ? 200 : 201, body);
}

} // namespace review
