#include "platform/soak/soak_store.h"

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MostBodyBytes = 1UL << 20U;
constexpr Duration Slowness = std::chrono::milliseconds(400);
const std::string Root = "/-/objects/";

} // namespace

SoakStore::SoakStore(EventLoop &loop)
    : loop(loop)
    , server(loop, Endpoint(), MostBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handle(exchange); })
{}

void SoakStore::put(const std::string &kind, const std::string &name, const Json &spec)
{
    ++this->revision;
    Json &object = this->objects[kind][name];
    object = {{"metadata", {{"name", name}, {"rev", this->revision}}}, {"spec", spec}};
    this->noteChange(kind, object, false);
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return;
    ++this->revision;
    const Json object = found->second;
    this->objects[kind].erase(found);
    this->noteChange(kind, object, true);
}

std::size_t SoakStore::count(const std::string &kind) const
{
    const auto found = this->objects.find(kind);
    return found == this->objects.end() ? 0 : found->second.size();
}

void SoakStore::noteChange(const std::string &kind, const Json &object, bool removed)
{
    this->history.push_back({kind, this->revision, {{"object", object}, {"removed", removed}}});
    for (auto place = this->watches.begin(); place != this->watches.end();)
        place = this->answerWatch(*place, false) ? this->watches.erase(place) : std::next(place);
}

void SoakStore::forgetHistory()
{
    this->forgotten = this->revision;
    this->history.clear();
    for (const Watch &watch : this->watches)
        watch.exchange->abort();
    this->watches.clear();
}

void SoakStore::handle(const HttpExchangePtr &exchange)
{
    if (this->fault == StoreFault::Refusing)
        return exchange->reply(503, {}, "");
    if (this->fault != StoreFault::Slow)
        return this->carryOut(exchange);
    const auto place = this->delays.emplace(this->delays.end());
    *place = this->loop.after(Slowness, [this, exchange, place] {
        this->carryOut(exchange);
        this->delays.erase(place);
    });
}

void SoakStore::reply(const HttpExchangePtr &exchange, int status, const Json &body)
{
    if (this->fault == StoreFault::LosesAnswers)
        return exchange->abort();
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

void SoakStore::carryOut(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    if (path.rfind(Root, 0) != 0)
        return this->reply(exchange, 404, {});
    const std::string rest = path.substr(Root.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string method = exchange->method();
    if (method == "GET")
        return exchange->query("watch").empty() ? this->list(exchange, kind)
                                                : this->watch(exchange, kind);
    if (method == "DELETE") {
        const bool known = this->objects[kind].count(name) > 0;
        this->remove(kind, name);
        return this->reply(exchange, known ? 200 : 404, {});
    }
    const Json body = Json::parse(exchange->takeBody(), nullptr, false);
    if (body.is_discarded())
        return this->reply(exchange, 400, {});
    const std::string target =
            method == "POST" ? body.at("metadata").at("name").get<std::string>() : name;
    const bool known = this->objects[kind].count(target) > 0;
    if (known == (method == "POST"))
        return this->reply(exchange, known ? 409 : 404, {});
    if (!known || this->objects[kind][target].at("spec") != body.at("spec"))
        this->put(kind, target, body.at("spec"));
    this->reply(exchange, known ? 200 : 201, this->objects[kind][target]);
}

void SoakStore::list(const HttpExchangePtr &exchange, const std::string &kind)
{
    Json items = Json::array();
    for (const auto &[name, object] : this->objects[kind])
        items.push_back(object);
    const Json current = {{"items", items}, {"more", false}, {"at", this->revision}};
    const bool mayBeStale = !exchange->query("serializable").empty();
    const Json answer =
            mayBeStale && this->lastList.count(kind) > 0 ? this->lastList[kind] : current;
    this->lastList[kind] = current;
    this->reply(exchange, 200, answer);
}

void SoakStore::watch(const HttpExchangePtr &exchange, const std::string &kind)
{
    Watch watch{exchange, kind, std::stoull(exchange->query("watch")), nullptr};
    if (watch.since < this->forgotten)
        return this->reply(exchange, 410, {});
    if (this->answerWatch(watch, false))
        return;
    const auto wait = std::chrono::milliseconds(std::stoll("0" + exchange->query("wait_ms")));
    const auto place = this->watches.insert(this->watches.end(), std::move(watch));
    place->timeout = this->loop.after(wait, [this, place] {
        this->answerWatch(*place, true);
        this->watches.erase(place);
    });
    exchange->onClosed([this, watched = exchange.get()] {
        this->watches.remove_if(
                [watched](const Watch &entry) { return entry.exchange.get() == watched; });
    });
}

bool SoakStore::answerWatch(const Watch &watch, bool evenIfEmpty)
{
    Json events = Json::array();
    for (const Change &change : this->history) {
        if (change.kind == watch.kind && change.revision > watch.since)
            events.push_back(change.event);
    }
    if (events.empty() && !evenIfEmpty)
        return false;
    this->reply(watch.exchange, 200, {{"events", events}, {"at", this->revision}});
    return true;
}

} // namespace dotterel::soak
