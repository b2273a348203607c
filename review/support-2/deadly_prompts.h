// Prompts with a part that crashes each server that begins to write an answer on it, beside sound
// prompts of the same caller. Used by the cases 8 and 9.
#pragma once

#include "standins.h"

namespace review {

constexpr double ContactMs = 3000;
constexpr std::size_t CrashesBeforeBound = 5;
constexpr int MaxDeadlyRequests = 3;

struct DeadlyOptions
{
    int eventsBeforeCrash = 0; ///< Events that a server sends before it crashes.
    double deadlyEveryMs = 4000;
    bool crashes = true; ///< False: the part is sound.
};

/// Servers that crash, clients that send sound and deadly prompts, and the count of the rule.
class DeadlyPrompts
{
public:
    DeadlyPrompts(Store &store, Record &record, const DeadlyOptions &options)
        : record(record)
        , options(options)
    {
        const auto handler = [this](Server &server, const Message &request,
                                    const std::shared_ptr<Stream> &stream) {
            return this->serve(server, request, stream);
        };
        const char *zones[] = {"zone-a", "zone-b", "zone-c"};
        for (int number = 0; number < ServerCount; ++number)
            this->servers.push_back(
                    std::make_unique<Server>(store, "llm-" + std::to_string(number + 1), "llm",
                                             zones[number % 3], 16, handler));
        store.put("config", "main", smallConfiguration(7));
        for (auto &server : this->servers)
            server->announce();
    }

    /// Starts the clients of \a gateways, which have just become ready.
    void start(const Gateways &gateways)
    {
        this->gateways = &gateways;
        this->inTouchFrom.assign(gateways.size(), nowMs() + ContactMs);
        for (int number = 0; number < SoundClients; ++number)
            this->threads.emplace_back([this, number] {
                while (!this->stopped) {
                    const Answer answer = this->send(number % int(this->gateways->size()),
                                                     "50000001:40," + newId() + ":4920");
                    this->servedPrompts += answer.status == 200 && answer.whole ? 1 : 0;
                    sleepMs(250);
                }
            });
        this->threads.emplace_back([this] {
            for (int number = 0; !this->stopped; ++number) {
                const double next = nowMs() + this->options.deadlyEveryMs;
                const Answer answer =
                        this->send(number % int(this->gateways->size()),
                                   "50000001:40," + DeadlyPart + ":900," + newId() + ":4020");
                this->record.line("client: deadly prompt answered " + std::to_string(answer.status)
                                  + (answer.whole ? "" : ", broken off"));
                ++this->deadlyAnswers;
                while (!this->stopped && nowMs() < next)
                    sleepMs(20);
            }
        });
    }

    void stop()
    {
        this->stopped = true;
        for (std::thread &thread : this->threads)
            thread.join();
    }

    /// Sets from when on the gateways are in touch again.
    void setInTouchFrom(double time)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->inTouchFrom.assign(this->inTouchFrom.size(), time);
    }

    std::size_t crashCount()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return this->crashedAt.size();
    }

    int answeredDeadly() const { return this->deadlyAnswers; }
    int served() const { return this->servedPrompts; }

    /// Deadly requests that reached servers from machines in touch later than ContactMs after the
    /// fifth crash.
    int counted()
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        return static_cast<int>(this->countedRequests.size());
    }

private:
    static constexpr int ServerCount = 12;
    static constexpr int SoundClients = 6;
    static constexpr int EventCount = 12;
    static constexpr double PrefillMs = 35;
    static constexpr double EventPauseMs = 20;
    inline static const std::string DeadlyPart = "dead0001";

    Answer send(int gateway, const std::string &parts)
    {
        const std::string id = newId();
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->gatewayOf[id] = gateway;
        }
        return ask((*this->gateways)[gateway]->callers(), "POST", "/ask/question",
                   {{"Host", "shop.example"},
                    {"X-Request-Id", id},
                    {"X-Deadline-Ms", "10000"},
                    {"X-Model", "m"},
                    {"X-Token-Counts", "4960,400"},
                    {"X-Prompt-Prefix", parts}},
                   "question " + id, 10000);
    }

    bool serve(Server &server, const Message &request, const std::shared_ptr<Stream> &stream)
    {
        const bool isDeadly =
                this->options.crashes
                && request.header("X-Prompt-Prefix").find(DeadlyPart) != std::string::npos;
        if (!isDeadly) {
            sleepMs(PrefillMs);
            return writeChunkedStream(*stream, server.sealed(request), request, EventCount,
                                      EventPauseMs);
        }
        this->countArrival(server, request.header("X-Request-Id"));
        sleepMs(PrefillMs);
        stream->write(streamHead(server.sealed(request), true));
        const int after = std::atoi(request.header("Last-Event-Id").c_str());
        for (int number = 1; number <= this->options.eventsBeforeCrash; ++number)
            stream->write(chunkOf(eventText(after + number)));
        sleepMs(5);
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->crashedAt.push_back(nowMs());
            this->record.line(server.name() + " crashes, crash "
                              + std::to_string(this->crashedAt.size()));
        }
        server.crashAndReturn();
        return false;
    }

    void countArrival(const Server &server, const std::string &id)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        const double now = nowMs();
        const int gateway = this->gatewayOf[id];
        const bool isLate = this->crashedAt.size() >= CrashesBeforeBound
                            && now > this->crashedAt[CrashesBeforeBound - 1] + ContactMs;
        const bool inTouch = now > this->inTouchFrom[gateway];
        if (isLate && inTouch)
            this->countedRequests.insert(id);
        this->record.line("deadly request " + id + " from " + (*this->gateways)[gateway]->name
                          + " reaches " + server.name()
                          + (isLate && inTouch ? ": COUNTED"
                             : isLate          ? ", not in touch"
                                               : ""));
    }

    Record &record;
    DeadlyOptions options;
    std::mutex mutex;
    std::vector<double> crashedAt;
    std::vector<double> inTouchFrom;       ///< By gateway.
    std::map<std::string, int> gatewayOf;  ///< By request.
    std::set<std::string> countedRequests; ///< By id: a resend is the same request.
    std::atomic<bool> stopped{false};
    std::atomic<int> servedPrompts{0};
    std::atomic<int> deadlyAnswers{0};
    std::vector<std::unique_ptr<Server>> servers;
    const Gateways *gateways = nullptr;
    std::vector<std::thread> threads;
};

} // namespace review
