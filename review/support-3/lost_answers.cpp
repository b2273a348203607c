// Three of five engines lose the answers of 4 in 10 of the requests that they run: the connection
// is reset. No request may run on more servers than its route allows.

#include "stream_parts.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace review {

namespace {

constexpr int Engines = 5;
constexpr int LosingEngines = 3;
constexpr double LostShare = 0.4;
constexpr std::size_t MaxAttempts = 2;
/// More such requests break the rule.
constexpr int ToleratedRequests = 3;
constexpr int Gateways = 3;
/// Prefill of a prompt of 1,400 tokens, at 154 tokens in a ms, and pause between two events.
constexpr int PrefillMs = 9;
constexpr int Callers = 48; ///< Each stands for a row of users, who ask once.
constexpr int PauseBetweenUsersMs = 10;
constexpr std::int64_t LoadMs = 8'000;
/// When answers are lost, from the start of the load on.
constexpr std::int64_t LossFromMs = 2'000;
constexpr std::int64_t LossUntilMs = 6'000;

/// Which engines ran which request.
class Runs
{
public:
    explicit Runs(Record &record)
        : record(record)
    {}

    void onRun(const std::string &request, const std::string &engine)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::set<std::string> &engines = this->enginesByRequest[request];
        engines.insert(engine);
        this->record.write(engine + " runs " + request);
        if (engines.size() != MaxAttempts + 1)
            return;
        ++this->exceeding;
        this->record.write("over max_attempts: " + request + " has run on "
                           + std::to_string(engines.size()) + " servers");
    }

    void onAnswer(const std::string &request, const Message &answer)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->answers[answer.status];
        this->record.write("caller of " + request + " gets " + std::to_string(answer.status)
                           + (answer.complete ? "" : ", cut off"));
    }

    bool isBroken() const { return this->exceeding > ToleratedRequests; }

    std::string summary()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::string text;
        for (const auto &[status, count] : this->answers)
            text += std::to_string(status) + ": " + std::to_string(count) + "; ";
        return text + "ran on more than " + std::to_string(MaxAttempts)
               + " servers: " + std::to_string(this->exceeding) + " requests, "
               + std::to_string(ToleratedRequests) + " are allowed";
    }

private:
    Record &record;
    std::mutex mutex;
    std::map<std::string, std::set<std::string>> enginesByRequest;
    std::map<int, int> answers;
    int exceeding = 0;
};

/// A model server that stays up all the time.
class Engine
{
public:
    Engine(std::string id, Runs &runs, Record &record, bool losesAnswers)
        : id(std::move(id))
        , runs(runs)
        , record(record)
        , losesAnswers(losesAnswers)
        , stand([this](Connection &connection) { this->serve(connection); })
    {}

    void onLoadStarted() { this->loadStartedAt = nowMs(); }

    std::string address() const { return this->stand.address(); }

private:
    void serve(Connection &connection)
    {
        while (const std::optional<Message> request = connection.readRequest()) {
            const std::string requestId = request->header("X-Request-Id");
            if (requestId.empty()) {
                if (!connection.write(formatResponse(200, {}, engineReport())))
                    return;
                continue;
            }
            if (request->header("X-Expect-Instance") != this->id) {
                connection.write(formatResponse(
                        421, {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}}, ""));
                continue;
            }
            if (this->isLost()) {
                sleepMs(PrefillMs);
                if (connection.isClosedByPeer())
                    return;
                this->runs.onRun(requestId, this->id);
                this->record.write(this->id + " loses its answer to " + requestId);
                return connection.reset();
            }
            if (!sendStream(connection, requestId, request->header("Last-Event-Id"), PrefillMs,
                            [&] { this->runs.onRun(requestId, this->id); }))
                return;
        }
    }

    bool isLost()
    {
        const std::int64_t sinceLoad = nowMs() - this->loadStartedAt;
        if (!this->losesAnswers || sinceLoad < LossFromMs || sinceLoad >= LossUntilMs)
            return false;
        const std::lock_guard<std::mutex> lock(this->mutex);
        return std::uniform_real_distribution<>(0, 1)(this->random) < LostShare;
    }

    std::string id;
    Runs &runs;
    Record &record;
    bool losesAnswers;
    std::atomic<std::int64_t> loadStartedAt = INT64_MAX / 2;
    std::mutex mutex;
    std::mt19937 random{1};
    HttpStand stand;
};

int play(Record &record, const CaseOptions &options)
{
    // The threads of the stand-ins use them until the process ends.
    static Runs runs(record);
    static StoreStand store;
    store.put("config", "main", streamConfiguration(true, MaxAttempts));
    static std::vector<std::unique_ptr<Engine>> engines;
    for (int number = 1; number <= Engines; ++number) {
        const std::string id = "i-7f3a91c" + std::to_string(number);
        const bool loses = options.trouble && number > Engines - LosingEngines;
        engines.push_back(std::make_unique<Engine>(id, runs, record, loses));
        store.put("servers", id, engineEntry(engines.back()->address(), "centro-a"));
    }
    const auto gateways = startGateways(Gateways, store.address(), options.directory);
    if (gateways.empty())
        return 2;
    for (const auto &engine : engines)
        engine->onLoadStarted();
    runCallers(Callers, PauseBetweenUsersMs, LoadMs, [&](int caller, const std::string &id) {
        const auto &gateway = gateways[static_cast<std::size_t>(caller) % gateways.size()];
        runs.onAnswer(id, askForStream(gateway->callers(), id));
    });
    record.write(runs.summary());
    std::printf("%s\n", runs.summary().c_str());
    return runs.isBroken() ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, const char **argv)
{
    review::playCase(argc, argv, review::play);
}
