#include "fakes/fake_service.h"

#include <nlohmann/json.hpp>

namespace dotterel::fakes {

namespace {

constexpr std::size_t MostBodyBytes = 64UL * 1024 * 1024;

} // namespace

FakeService::FakeService(EventLoop &loop, const Endpoint &endpoint,
                         const ServiceBehaviour &behaviour)
    : loop(loop)
    , behaviour(behaviour)
    , server(loop, endpoint, MostBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handle(exchange); })
{}

std::uint64_t FakeService::count(const std::string &key) const
{
    const auto found = this->counts.find(key);
    return found == this->counts.end() ? 0 : found->second;
}

void FakeService::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/test/counts") {
        exchange->reply(200, {{"Content-Type", "application/json"}},
                        nlohmann::json(this->counts).dump());
        return;
    }
    if (this->behaviour.draining) {
        exchange->reply(503, {{"X-Not-Run", "true"}, {"X-Draining", "true"}}, "");
        return;
    }
    const std::string key = exchange->header("Idempotency-Key");
    ++this->counts[key];
    if (this->behaviour.dieAfterRunning) {
        exchange->abort();
        return;
    }
    const auto place = this->delays.emplace(this->delays.end());
    *place = this->loop.after(this->behaviour.delay, [this, exchange, key, place] {
        exchange->reply(200, {{"Content-Type", "application/json"}},
                        nlohmann::json({{"accepted", key}}).dump());
        this->delays.erase(place);
    });
}

} // namespace dotterel::fakes
