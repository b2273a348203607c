// A new configuration allows longer headers. Callers that kept their connections open send such
// requests on them, well after the configuration has to be in force.

#include "stream_parts.h"

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

namespace {

constexpr int Gateways = 3;
constexpr int ConnectionsOfGateway = 20;
constexpr int EventIntervalMs = 2;
constexpr int EarlierLimit = 16'384;
constexpr int NewLimit = 32'768;
constexpr std::size_t LongHeaderBytes = 20'000;
/// `config_apply_ms` of the site is 2,000.
constexpr int TimeAfterChangeMs = 4'000;
/// Requests that may be denied in all, beside one in 500.
constexpr int ToleratedDenials = 5;
constexpr int DenialsPer = 500;
const std::string EngineId = "i-7f3a91c2";

nlohmann::json configurationWith(std::uint64_t version, int maxHeaderBytes)
{
    nlohmann::json config = streamConfiguration(true, 2);
    config["version"] = version;
    config["limits"]["max_header_bytes"] = maxHeaderBytes;
    return config;
}

void serveEngine(Connection &connection)
{
    while (const std::optional<Message> request = connection.readRequest()) {
        const std::string requestId = request->header("X-Request-Id");
        const bool open = requestId.empty()
                                  ? connection.write(formatResponse(200, {}, engineReport()))
                                  : sendStream(connection, requestId, "", EventIntervalMs, [] {});
        if (!open)
            return;
    }
}

/// Asks on \a connection; \a notes is an end-to-end header of the caller's own.
int ask(Connection &connection, const std::string &requestId, const std::string &notes)
{
    connection.write(formatRequest("POST", "/lohu930/2f",
                                   {{"Host", HostName},
                                    {"X-Request-Id", requestId},
                                    {"X-Model", "m"},
                                    {"X-Token-Counts", "400,20"},
                                    {"X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:360"},
                                    {"X-Deadline-Ms", std::to_string(CallerTimeoutMs)},
                                    {"X-Notes", notes},
                                    {"Api-Key", ApiKey}},
                                   "question " + requestId));
    return connection.readResponse(CallerTimeoutMs).status;
}

int play(Record &record, const CaseOptions &options)
{
    const bool changes = options.trouble;
    // The threads of the stand-ins use them until the process ends.
    static HttpStand engine(serveEngine);
    static StoreStand store;
    store.put("config", "main", configurationWith(7, changes ? EarlierLimit : NewLimit));
    store.put("servers", EngineId, engineEntry(engine.address(), "centro-a"));
    const auto gateways = startGateways(Gateways, store.address(), options.directory);
    if (gateways.empty())
        return 2;
    std::vector<std::unique_ptr<Connection>> kept;
    for (const auto &gateway : gateways) {
        for (int number = 0; number < ConnectionsOfGateway; ++number)
            kept.push_back(std::make_unique<Connection>(Connection::open(gateway->callers())));
    }
    std::map<std::string, std::map<int, int>> answers;
    const auto note = [&](const std::string &when, int status) {
        ++answers[when][status];
        record.write("a caller " + when + " gets " + std::to_string(status));
    };
    int number = 0;
    for (const auto &connection : kept)
        note("before the change", ask(*connection, "a" + std::to_string(number++), "short"));
    if (changes)
        store.put("config", "main", configurationWith(8, NewLimit));
    record.write(changes ? "version 8 is acknowledged" : "no change");
    sleepMs(TimeAfterChangeMs);
    const std::string longNotes(LongHeaderBytes, 'n');
    for (const auto &gateway : gateways) {
        for (int fresh = 0; fresh < ConnectionsOfGateway; ++fresh) {
            Connection connection(Connection::open(gateway->callers()));
            note("with a long header on a new connection",
                 ask(connection, "b" + std::to_string(number++), longNotes));
        }
    }
    for (const auto &connection : kept)
        note("with a long header on a kept connection",
             ask(*connection, "c" + std::to_string(number++), longNotes));
    int denied = 0;
    for (const auto &[when, statuses] : answers) {
        for (const auto &[status, count] : statuses) {
            std::printf("%s: %d x %d\n", when.c_str(), count, status);
            record.write(when + ": " + std::to_string(count) + " x " + std::to_string(status));
            denied += status >= 400 && status < 500 && status != 429 ? count : 0;
        }
    }
    return denied > ToleratedDenials + number / DenialsPer ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, const char **argv)
{
    review::playCase(argc, argv, review::play);
}
