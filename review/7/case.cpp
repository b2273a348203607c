// A question crashes each server that begins to run it. The first one has sent five events when it
// crashes, in the middle of the next; the second one has sent the head of its answer. Servers
// answer without a length and without chunks, so that answers end with their connections.
// Rule ORDER: the stream must not end as complete before its last piece.
#include "../support-2/standins.h"

using namespace review;

namespace {

constexpr int GatewayCount = 3;
constexpr int ServerCount = 12;
constexpr int Questions = 5;
constexpr int EventCount = 38;
constexpr int EventsBeforeCrash = 5;
constexpr double EventPauseMs = 20;

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = optionsFrom(argc, argv);
    Record record(options.record);
    Store store(record);
    const auto crash = [&](Server &server) {
        record.line(server.name() + " crashes");
        server.crashAndReturn();
        return false;
    };
    const auto handler = [&](Server &server, const Message &request,
                             const std::shared_ptr<Stream> &stream) {
        const int after = std::atoi(request.header("Last-Event-Id").c_str());
        const bool isDeadly = request.body.find("deadly") != std::string::npos;
        record.line(server.name() + " runs " + request.header("X-Request-Id") + " after event "
                    + std::to_string(after));
        stream->write(streamHead(server.sealed(request), false));
        sleepMs(EventPauseMs);
        if (isDeadly && after > 0)
            return crash(server);
        for (int number = after + 1; number <= EventCount; ++number) {
            if (isDeadly && number > EventsBeforeCrash) {
                stream->write(eventText(number).substr(0, 12));
                return crash(server);
            }
            if (!stream->write(eventText(number)))
                return false;
            sleepMs(EventPauseMs);
        }
        return false; // The connection ends the answer.
    };
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    std::vector<std::unique_ptr<Server>> servers;
    servers.reserve(ServerCount);
    for (int number = 0; number < ServerCount; ++number)
        servers.push_back(std::make_unique<Server>(store, "llm-" + std::to_string(number + 1),
                                                   "llm", zones[number % 3], 16, handler));
    store.put("config", "main", smallConfiguration(7));
    for (auto &server : servers)
        server->announce();
    Gateways gateways;
    if (!startGateways(gateways, GatewayCount, store.port(), options.folder, options.program))
        finish(gateways, ExitCouldNotRun);
    sleepMs(4000);

    const std::string lastEvent = "id: " + std::to_string(EventCount) + "\n";
    int complete = 0;
    int torn = 0;
    for (int number = 0; number < Questions; ++number) {
        const std::string id = newId();
        const std::string body = (options.trouble ? "deadly question " : "question ") + id;
        const Answer answer =
                ask(gateways[number % GatewayCount]->callers(), "POST", "/ask/question",
                    {{"Host", "shop.example"},
                     {"X-Request-Id", id},
                     {"X-Deadline-Ms", "10000"},
                     {"X-Model", "m"},
                     {"X-Token-Counts", "4960,1292"},
                     {"X-Prompt-Prefix", "50000001:40," + id + ":4920"}},
                    body, 10000);
        const bool endsAsComplete = answer.status == 200 && answer.whole;
        const bool hasLast = answer.body.find(lastEvent) != std::string::npos;
        std::size_t events = 0;
        for (std::size_t at = answer.body.find("id: "); at != std::string::npos;
             at = answer.body.find("id: ", at + 1))
            ++events;
        complete += endsAsComplete && hasLast ? 1 : 0;
        torn += endsAsComplete && !hasLast ? 1 : 0;
        record.line("client: " + id + " answered " + std::to_string(answer.status) + " with "
                    + std::to_string(events) + " of " + std::to_string(EventCount) + " events, "
                    + (endsAsComplete ? "ended as complete" : "broken off")
                    + (endsAsComplete && !hasLast ? ": BROKEN" : ""));
        sleepMs(4000);
    }
    record.line("streams with all pieces: " + std::to_string(complete)
                + "; ended as complete before the last piece: " + std::to_string(torn));
    if (!options.trouble && complete < Questions)
        finish(gateways, ExitCouldNotRun);
    finish(gateways, torn > 0 ? ExitBroken : ExitHeld);
}
