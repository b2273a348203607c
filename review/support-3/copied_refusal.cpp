// Two engines of a service are full now and then. One of them asks for a pause when it is, as it
// may; the other one then gets what it has refused once more, on the same connection. It writes a
// late copy of 3 in 100 of its refusals. Streams of the route may not be resumed.

#include "stream_parts.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr int EngineQueue = 2;
constexpr double CopiedShare = 0.03;
constexpr int EventIntervalMs = 10;
constexpr int Gateways = 9;
constexpr int Callers = 110; ///< Each stands for a row of users, who ask once.
constexpr int PauseBetweenUsersMs = 20;
constexpr std::int64_t LoadMs = 10'000;
/// When the engine writes copies, from the start of the load on.
constexpr std::int64_t CopiesFromMs = 2'000;
constexpr std::int64_t CopiesUntilMs = 7'000;
/// One way between two zones.
constexpr std::chrono::microseconds LinkDelay{500};
const std::string CopyingEngine = "i-7f3a91c2";
const std::string PausingEngine = "i-02d9e6b4";
const std::string PauseSeconds = "1";

struct Trace
{
    int runs = 0;
    int status = 0; ///< What the caller got; 0 until then, and if it got no answer.
};

/// What the engine and the callers saw, by request.
class Observations
{
public:
    explicit Observations(Record &record)
        : record(record)
    {}

    int refused() const { return static_cast<int>(this->refusedRequests.size()); }
    int repeated() const { return static_cast<int>(this->repeatedRequests.size()); }

    void onRun(const std::string &id, const std::string &engine)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Trace &trace = this->traces[id];
        ++trace.runs;
        this->record.write(engine + " runs " + id);
        this->judge(id, trace);
    }

    void onAnswer(const std::string &id, const Message &answer)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        Trace &trace = this->traces[id];
        trace.status = answer.status;
        ++this->answers[answer.status];
        this->record.write("caller of " + id + " gets " + std::to_string(answer.status)
                           + (answer.complete ? "" : ", cut off"));
        this->judge(id, trace);
    }

    std::string summary()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::string text = std::to_string(this->traces.size()) + " requests;";
        for (const auto &[status, count] : this->answers)
            text += " " + std::to_string(status) + ": " + std::to_string(count) + ";";
        return text + " refused and run all the same: " + std::to_string(this->refused())
               + "; run twice: " + std::to_string(this->repeated());
    }

private:
    void judge(const std::string &id, const Trace &trace)
    {
        const bool isPromised = trace.status == 503 || trace.status == 429 || trace.status == 408
                                || trace.status == 421;
        if (trace.runs > 1 && this->repeatedRequests.insert(id).second)
            this->record.write("TWICE broken: " + id + " has run twice");
        if (isPromised && trace.runs > 0 && this->refusedRequests.insert(id).second)
            this->record.write("REFUSED broken: " + id + " got " + std::to_string(trace.status)
                               + " and has run");
    }

    Record &record;
    std::mutex mutex;
    std::map<std::string, Trace> traces;
    std::map<int, int> answers;
    std::set<std::string> refusedRequests;
    std::set<std::string> repeatedRequests;
};

/// A model server that is sound but for the copies.
class Engine
{
public:
    Engine(std::string id, Observations &observations, Record &record, bool copies, bool pauses)
        : id(std::move(id))
        , observations(observations)
        , record(record)
        , copies(copies)
        , pauses(pauses)
        , stand([this](Connection &connection) { this->serve(connection); })
    {}

    void onLoadStarted() { this->loadStartedAt = nowMs(); }

    std::string address() const { return this->stand.address(); }

private:
    void serve(Connection &connection)
    {
        std::string copy;
        while (const std::optional<Message> request = connection.readRequest()) {
            std::this_thread::sleep_for(LinkDelay);
            const std::string requestId = request->header("X-Request-Id");
            if (!copy.empty())
                this->note("writes a late copy before its answer to", requestId);
            if (!copy.empty() && !connection.write(copy))
                return;
            copy.clear();
            if (requestId.empty()) {
                if (!connection.write(formatResponse(200, {}, engineReport())))
                    return;
                continue;
            }
            const bool isExpected = request->header("X-Expect-Instance") == this->id;
            if (isExpected && this->enter()) {
                const bool open = sendStream(connection, requestId, "", EventIntervalMs, [&] {
                    this->observations.onRun(requestId, this->id);
                });
                this->leave();
                if (!open)
                    return;
                continue;
            }
            Headers headers = {{"X-Request-Id", requestId},
                               {"X-Not-Executed", "1"},
                               {"X-Instance-Id", this->id}};
            if (isExpected && this->pauses)
                headers.emplace_back("Retry-After", PauseSeconds);
            const std::string refusal = formatResponse(isExpected ? 503 : 421, headers, "");
            this->note("refuses", requestId);
            std::this_thread::sleep_for(LinkDelay);
            if (!connection.write(refusal))
                return;
            if (this->isCopying() && this->draw() < CopiedShare)
                copy = refusal;
        }
    }

    void note(const std::string &what, const std::string &requestId)
    {
        this->record.write(this->id + " " + what + " " + requestId);
    }

    /// Waits for a slot, or returns false if too many wait already.
    bool enter()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        if (this->running == EngineSlots && this->waiting == EngineQueue)
            return false;
        ++this->waiting;
        this->slotFree.wait(lock, [this] { return this->running < EngineSlots; });
        --this->waiting;
        ++this->running;
        return true;
    }

    void leave()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        --this->running;
        this->slotFree.notify_one();
    }

    bool isCopying() const
    {
        const std::int64_t sinceLoad = nowMs() - this->loadStartedAt;
        return this->copies && sinceLoad >= CopiesFromMs && sinceLoad < CopiesUntilMs;
    }

    double draw()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return std::uniform_real_distribution<>(0, 1)(this->random);
    }

    std::string id;
    Observations &observations;
    Record &record;
    bool copies;
    bool pauses;
    std::atomic<std::int64_t> loadStartedAt = INT64_MAX / 2;
    std::mutex mutex;
    std::condition_variable slotFree;
    int running = 0;
    int waiting = 0;
    std::mt19937 random{1};
    HttpStand stand;
};

/// What a case judges.
struct CaseRule
{
    std::size_t maxAttempts = 2;
    int (Observations::*broken)() const = &Observations::refused;
};

int play(Record &record, const CaseOptions &options)
{
    const CaseRule rule =
            options.variant == "twice" ? CaseRule{3, &Observations::repeated} : CaseRule{};
    // The threads of the stand-ins use them until the process ends.
    static Observations observations(record);
    static Engine copying(CopyingEngine, observations, record, options.trouble, false);
    static Engine pausing(PausingEngine, observations, record, false, true);
    static StoreStand store;
    store.put("config", "main", streamConfiguration(false, rule.maxAttempts));
    store.put("servers", CopyingEngine, engineEntry(copying.address(), "centro-b"));
    store.put("servers", PausingEngine, engineEntry(pausing.address(), "centro-b"));
    const auto gateways = startGateways(Gateways, store.address(), options.directory);
    if (gateways.empty())
        return 2;
    copying.onLoadStarted();
    runCallers(Callers, PauseBetweenUsersMs, LoadMs, [&](int caller, const std::string &id) {
        const auto &gateway = gateways[static_cast<std::size_t>(caller) % gateways.size()];
        observations.onAnswer(id, askForStream(gateway->callers(), id));
    });
    record.write(observations.summary());
    std::printf("%s\n", observations.summary().c_str());
    return (observations.*rule.broken)() > 0 ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, const char **argv)
{
    review::playCase(argc, argv, review::play);
}
