#include "fakes/fake_platform.h"

#include <nlohmann/json.hpp>

namespace dotterel::fakes {

namespace {

const std::string ObjectPrefix = "/v1/objects/";
constexpr std::size_t MostValueBytes = 1'000'000;

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(
                    static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

} // namespace

FakePlatform::FakePlatform(EventLoop &loop, const Endpoint &endpoint)
    : loop(loop)
    , server(loop, endpoint, 4 * MostValueBytes,
             [this](const HttpExchangePtr &exchange) { this->handle(exchange); })
{}

void FakePlatform::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/test/faults") {
        this->setFaultsFrom(exchange);
        return;
    }
    ++this->callCount;
    const bool isList = exchange->path() == "/v1/hosts";
    if (this->faults.down || (this->faults.objectsDown && !isList)) {
        exchange->abort();
        return;
    }
    if (this->faults.delay == Duration::zero()) {
        this->answer(exchange);
        return;
    }
    const auto place = this->delays.emplace(this->delays.end());
    *place = this->loop.after(this->faults.delay, [this, exchange, place] {
        this->answer(exchange);
        this->delays.erase(place);
    });
}

void FakePlatform::answer(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    if (path.compare(0, ObjectPrefix.size(), ObjectPrefix) == 0)
        this->handleObject(exchange, decoded(path.substr(ObjectPrefix.size())));
    else if (path == "/v1/list")
        this->list(exchange);
    else if (path == "/v1/watch")
        this->watch(exchange);
    else if (path == "/v1/hosts" && exchange->method() == "GET")
        exchange->reply(200, {}, this->hosts);
    else if (path == "/v1/hosts") {
        this->hosts = exchange->takeBody();
        exchange->reply(200, {}, "");
    } else
        exchange->reply(404, {}, "");
}

void FakePlatform::handleObject(const HttpExchangePtr &exchange, const std::string &key)
{
    if (exchange->method() == "GET")
        this->replyObject(exchange, key);
    else
        this->write(exchange, key);
}

void FakePlatform::replyObject(const HttpExchangePtr &exchange, const std::string &key)
{
    const auto object = this->objects.find(key);
    if (object == this->objects.end()) {
        exchange->reply(404, {}, "");
        return;
    }
    const bool stale = this->faults.stale;
    if (stale && object->second.previousVersion == 0) {
        exchange->reply(404, {}, "");
        return;
    }
    const std::uint64_t version = stale ? object->second.previousVersion : object->second.version;
    exchange->reply(200, {{"X-Version", std::to_string(version)}},
                    stale ? object->second.previousValue : object->second.value);
}

void FakePlatform::write(const HttpExchangePtr &exchange, const std::string &key)
{
    const std::uint64_t expected = number(exchange->header("X-Expected-Version"));
    const auto found = this->objects.find(key);
    const std::uint64_t current = found == this->objects.end() ? 0 : found->second.version;
    if (expected != current) {
        exchange->reply(412, {}, "");
        return;
    }
    const std::string value = exchange->takeBody();
    if (value.size() > MostValueBytes) {
        exchange->reply(413, {}, "");
        return;
    }
    ++this->writeCount;
    if (exchange->method() == "DELETE") {
        this->objects.erase(key);
    } else {
        Object &object = this->objects[key];
        object.previousValue = object.value;
        object.previousVersion = object.version;
        object.value = value;
        object.version = ++this->revision;
    }
    if (this->faults.loseWriteAnswers)
        exchange->abort();
    else
        exchange->reply(200, {{"X-Version", std::to_string(this->revision)}}, "");
    this->wakeWatches(key);
}

void FakePlatform::list(const HttpExchangePtr &exchange)
{
    const std::string prefix = exchange->query("prefix");
    nlohmann::json items = nlohmann::json::array();
    for (auto object = this->objects.lower_bound(prefix); object != this->objects.end(); ++object) {
        if (object->first.compare(0, prefix.size(), prefix) != 0)
            break;
        items.push_back({{"key", object->first},
                         {"value", object->second.value},
                         {"version", object->second.version}});
    }
    exchange->reply(200, {}, items.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void FakePlatform::watch(const HttpExchangePtr &exchange)
{
    const std::string key = exchange->query("key");
    const std::uint64_t version = number(exchange->query("version"));
    const auto object = this->objects.find(key);
    if (object != this->objects.end() && object->second.version > version) {
        this->replyObject(exchange, key);
        return;
    }
    const auto place = this->watches.emplace(this->watches.end());
    place->key = key;
    place->version = version;
    place->exchange = exchange;
    const Duration wait = std::chrono::milliseconds(number(exchange->query("wait_ms")));
    place->timeout = this->loop.after(wait, [this, place] {
        place->exchange->reply(404, {}, "");
        this->watches.erase(place);
    });
    exchange->onClosed([this, place] { this->watches.erase(place); });
}

void FakePlatform::wakeWatches(const std::string &key)
{
    int woken = 0;
    for (auto place = this->watches.begin(); place != this->watches.end();) {
        const auto current = place++;
        if (current->key != key)
            continue;
        if (woken++ >= this->faults.wokenWatches)
            continue;
        if (this->faults.down)
            current->exchange->abort();
        else
            this->replyObject(current->exchange, key);
        this->watches.erase(current);
    }
}

void FakePlatform::setFaultsFrom(const HttpExchangePtr &exchange)
{
    this->faults.down = exchange->query("down") == "1";
    this->faults.loseWriteAnswers = exchange->query("lose") == "1";
    this->faults.stale = exchange->query("stale") == "1";
    this->faults.delay = std::chrono::milliseconds(number(exchange->query("delay_ms")));
    exchange->reply(200, {}, "");
}

} // namespace dotterel::fakes
