// An entry of another writer among the servers, whose address is not an IPv4 address.

#include "../stand/stand.h"

using namespace stand;

namespace {

constexpr int Hosts = 3;
constexpr double RestartDelay = 0.5; ///< The platform restarts what ended by itself.
constexpr double WatchedSeconds = 25;
/// Fault: on a tenth of the machines, two at least, processes end by themselves three times.
constexpr int MinMachines = 2;
constexpr int EndsOfMachine = 3;

std::atomic<int> answered{0};
std::atomic<int> unanswered{0};

/// A sound server of the plain service.
void runServer(int descriptor, const std::string &id)
{
    Reader reader(descriptor);
    Message request;
    while (reader.read(request, now() + 20, false) == ReadEnd::Whole) {
        if (request.header("X-Request-Id").empty()) {
            if (!sendAll(descriptor, plainAnswer(id, reportBody())))
                return;
            continue;
        }
        const std::string body(800, 'x');
        sleepFor(0.03);
        record("server %s ran %s", id.c_str(), request.header("X-Request-Id").c_str());
        if (!sendAll(descriptor, answerHead(200, request.header("X-Request-Id"), id, 6)
                                         + "Content-Length: 800\r\n\r\n" + body))
            return;
    }
}

void runClient(int port, const char *host, const std::atomic<bool> &stop)
{
    while (!stop) {
        sleepFor(0.2);
        const std::string id = newRequestId();
        const int descriptor = connectTo(port);
        Message answer;
        ReadEnd end = ReadEnd::Closed;
        if (descriptor >= 0) {
            sendAll(descriptor, requestHead("GET", "/look/" + id, id, 2500, 0));
            end = Reader(descriptor).read(answer, now() + 2.5, true);
            close(descriptor);
        }
        const bool isWhole = end == ReadEnd::Whole;
        ++(isWhole ? answered : unanswered);
        record("client at %s: %s %s", host, id.c_str(),
               isWhole          ? std::to_string(answer.status()).c_str()
               : descriptor < 0 ? "connection refused"
                                : readEndName(end));
    }
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc > 1 ? argv[1] : "review/1", 110);
    static Store store;
    store.put("config", "main", configuration(1));
    const char *zones[] = {"centro-a", "centro-b", "centro-c"};
    for (int index = 0; index < 3; ++index) {
        int port = 0;
        const std::string id = "i-app-" + std::to_string(index + 1);
        serve(listenOn(port), [id](int descriptor) { runServer(descriptor, id); });
        store.put("servers", id,
                  serverEntry(PlainPool, "127.0.0.1:" + std::to_string(port), zones[index], 6));
    }
    std::vector<Gateway> gateways(Hosts);
    for (int index = 0; index < Hosts; ++index) {
        gateways[index].name = "front-" + std::string(zones[index]) + "-1";
        gateways[index].zone = zones[index];
        gateways[index].start(store.port);
    }
    for (const Gateway &gateway : gateways) {
        if (!gateway.waitUntilReady(15))
            finish(ExitCannotRun, gateway.name + " did not become ready");
    }
    static std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    clients.reserve(Hosts);
    for (const Gateway &gateway : gateways)
        clients.emplace_back(runClient, gateway.callers(), gateway.name.c_str(), std::cref(stop));
    sleepFor(3);
    record("before the entry: %d answered, %d unanswered", answered.load(), unanswered.load());
    const int answeredBefore = answered.exchange(0);
    unanswered = 0;
    if (answeredBefore < 10)
        finish(ExitCannotRun, "the requests before the entry were not answered");
    if (withTrouble()) {
        // A server's entry of another writer: the address is that of the IPv6 loopback interface.
        // Fields are missing, too.
        store.put("servers", "i-other",
                  {{"service", PlainPool},
                   {"address", "::1:9"},
                   {"zone", zones[0]},
                   {"slots", 6},
                   {"state", "ready"}});
        record("another writer wrote servers/i-other with the address ::1:9, without version, seq, "
               "cold_left_ms and born");
    }
    std::vector<int> ends(Hosts, 0);
    std::vector<double> restartAt(Hosts, 0);
    for (const double until = now() + WatchedSeconds; now() < until; sleepFor(0.05)) {
        for (int index = 0; index < Hosts; ++index) {
            Gateway &gateway = gateways[index];
            const std::string how = gateway.ended();
            if (!how.empty()) {
                ++ends[index];
                record("%s ended by itself: %s", gateway.name.c_str(), how.c_str());
                restartAt[index] = now() + RestartDelay;
            }
            if (gateway.pid == 0 && now() >= restartAt[index]) {
                gateway.start(store.port);
                record("%s started again", gateway.name.c_str());
            }
        }
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();
    int machines = 0;
    std::string counts;
    for (int index = 0; index < Hosts; ++index) {
        machines += ends[index] >= EndsOfMachine ? 1 : 0;
        counts += (index > 0 ? ", " : "") + std::to_string(ends[index]);
    }
    const std::string summary = "processes ended by themselves on the three machines: " + counts
                                + " times; " + std::to_string(answered.load())
                                + " requests answered, " + std::to_string(unanswered.load())
                                + " without an answer, in "
                                + std::to_string(static_cast<int>(WatchedSeconds)) + " s";
    finish(machines >= MinMachines ? ExitBroken : ExitHeld, summary);
}
