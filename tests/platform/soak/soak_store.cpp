#include "platform/soak/soak_store.h"

#include "platform/odd_values.h"

#include <algorithm>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxBodyBytes = 1UL << 20U;
/// Number of cut responses among odd ones, each of another length.
constexpr std::size_t CutResponses = 8;
constexpr Duration CallDelay = std::chrono::milliseconds(400);
const std::string ObjectsPath = "/-/objects/";
const std::string TextReference = "text of putText() ";

} // namespace

SoakStore::SoakStore(EventLoop &loop)
    : loop(loop)
    , server(loop, Endpoint(), MaxBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handleRequest(exchange); })
{}

void SoakStore::put(const std::string &kind, const std::string &name, const Json &spec)
{
    ++this->revision;
    Json &object = this->objects[kind][name];
    object = {{"metadata", {{"name", name}, {"rev", this->revision}}}, {"spec", spec}};
    this->recordChange(kind, object, false);
}

void SoakStore::putText(const std::string &kind, const std::string &name, const std::string &text)
{
    this->texts.push_back(text);
    this->put(kind, name, TextReference + std::to_string(this->texts.size() - 1));
}

std::string SoakStore::serialize(const Json &body) const
{
    std::string serialized = body.dump();
    for (std::size_t number = 0; number < this->texts.size(); ++number) {
        const std::string reference = "\"" + TextReference + std::to_string(number) + "\"";
        for (std::size_t position = serialized.find(reference); position != std::string::npos;
             position = serialized.find(reference, position + this->texts[number].size()))
            serialized.replace(position, reference.size(), this->texts[number]);
    }
    return serialized;
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return;
    ++this->revision;
    const Json object = found->second;
    this->objects[kind].erase(found);
    this->recordChange(kind, object, true);
}

std::size_t SoakStore::objectCount(const std::string &kind) const
{
    const auto found = this->objects.find(kind);
    return found == this->objects.end() ? 0 : found->second.size();
}

void SoakStore::recordChange(const std::string &kind, const Json &object, bool removed)
{
    this->history.push_back({kind, this->revision, {{"object", object}, {"removed", removed}}});
    for (auto position = this->watches.begin(); position != this->watches.end();)
        position = this->completeWatch(*position, false) ? this->watches.erase(position)
                                                         : std::next(position);
}

void SoakStore::closeWatches()
{
    for (const Watch &watch : this->watches)
        watch.exchange->abort();
    this->watches.clear();
}

void SoakStore::dropHistory()
{
    this->droppedUpTo = this->revision;
    this->history.clear();
    this->closeWatches();
}

SoakStore::Copy SoakStore::copy() const
{
    return {this->revision, this->droppedUpTo, this->objects};
}

void SoakStore::restore(const Copy &earlier)
{
    this->objects = earlier.objects;
    this->revision = earlier.revision;
    this->droppedUpTo = std::min(earlier.droppedUpTo, earlier.revision);
    this->history.erase(std::remove_if(this->history.begin(), this->history.end(),
                                       [&earlier](const Change &change) {
                                           return change.revision > earlier.revision;
                                       }),
                        this->history.end());
    this->previousLists.clear();
    this->eraHeader = std::to_string(++this->era);
    this->closeWatches();
}

HttpHeaders SoakStore::eraHeaders() const
{
    if (this->eraHeader.empty())
        return {};
    return {{"Store-Era", this->eraHeader}};
}

void SoakStore::handleRequest(const HttpExchangePtr &exchange)
{
    ++this->calls;
    if (this->fault == StoreFault::RejectRequests)
        return exchange->reply(503, this->eraHeaders(), "");
    if (this->fault == StoreFault::CloseConnections)
        return exchange->abort();
    if (this->fault != StoreFault::DelayCalls)
        return this->executeCall(exchange);
    const auto position = this->delayTimers.emplace(this->delayTimers.end());
    *position = this->loop.after(CallDelay, [this, exchange, position] {
        this->executeCall(exchange);
        this->delayTimers.erase(position);
    });
}

void SoakStore::reply(const HttpExchangePtr &exchange, int status, const Json &body)
{
    if (this->fault == StoreFault::DropResponses)
        return exchange->abort();
    HttpHeaders headers = this->eraHeaders();
    headers.emplace_back("Content-Type", "application/json");
    std::string text = this->serialize(body);
    if (this->fault == StoreFault::OddResponses) {
        const std::vector<std::string> odd = support::oddStoreBodies();
        const std::size_t number = this->oddResponses++ % (odd.size() + CutResponses);
        text = number < odd.size()
                       ? odd[number]
                       : text.substr(0, text.size() * (number - odd.size()) / CutResponses);
    }
    exchange->reply(status, headers, text);
}

void SoakStore::executeCall(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    if (path.rfind(ObjectsPath, 0) != 0)
        return this->reply(exchange, 404, {});
    const std::string objectPath = path.substr(ObjectsPath.size());
    const std::size_t slash = objectPath.find('/');
    const std::string kind = objectPath.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : objectPath.substr(slash + 1);
    const std::string method = exchange->method();
    if (method == "GET")
        return exchange->query("watch").empty() ? this->list(exchange, kind)
                                                : this->watch(exchange, kind);
    if (method == "DELETE") {
        const bool exists = this->objects[kind].count(name) > 0;
        this->remove(kind, name);
        return this->reply(exchange, exists ? 200 : 404, {});
    }
    const Json body = Json::parse(exchange->takeBody(), nullptr, false);
    if (body.is_discarded())
        return this->reply(exchange, 400, {});
    const std::string objectName =
            method == "POST" ? body.at("metadata").at("name").get<std::string>() : name;
    const bool exists = this->objects[kind].count(objectName) > 0;
    if (exists == (method == "POST"))
        return this->reply(exchange, exists ? 409 : 404, {});
    if (!exists || this->objects[kind][objectName].at("spec") != body.at("spec"))
        this->put(kind, objectName, body.at("spec"));
    this->reply(exchange, exists ? 200 : 201, this->objects[kind][objectName]);
}

void SoakStore::list(const HttpExchangePtr &exchange, const std::string &kind)
{
    Json items = Json::array();
    for (const auto &[name, object] : this->objects[kind])
        items.push_back(object);
    const Json currentList = {{"items", items}, {"more", false}, {"at", this->revision}};
    const bool mayBeStale = !exchange->query("serializable").empty();
    const Json response = mayBeStale && this->previousLists.count(kind) > 0
                                  ? this->previousLists[kind]
                                  : currentList;
    this->previousLists[kind] = currentList;
    this->reply(exchange, 200, response);
}

void SoakStore::watch(const HttpExchangePtr &exchange, const std::string &kind)
{
    Watch watch{exchange, kind, std::stoull(exchange->query("watch")), nullptr};
    if (watch.afterRevision < this->droppedUpTo || watch.afterRevision > this->revision)
        return this->reply(exchange, 410, {});
    if (this->completeWatch(watch, false))
        return;
    const auto waitTime = std::chrono::milliseconds(std::stoll("0" + exchange->query("wait_ms")));
    const auto position = this->watches.insert(this->watches.end(), std::move(watch));
    position->timeout = this->loop.after(waitTime, [this, position] {
        this->completeWatch(*position, true);
        this->watches.erase(position);
    });
    exchange->onClosed([this, closedExchange = exchange.get()] {
        this->watches.remove_if([closedExchange](const Watch &candidate) {
            return candidate.exchange.get() == closedExchange;
        });
    });
}

bool SoakStore::completeWatch(const Watch &watch, bool respondsIfEmpty)
{
    Json events = Json::array();
    for (const Change &change : this->history) {
        if (change.kind == watch.kind && change.revision > watch.afterRevision)
            events.push_back(change.event);
    }
    if (events.empty() && !respondsIfEmpty)
        return false;
    this->reply(watch.exchange, 200, {{"events", events}, {"at", this->revision}});
    return true;
}

} // namespace dotterel::soak
