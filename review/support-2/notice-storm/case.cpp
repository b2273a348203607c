// A request that crashes servers comes to three machines within 20 ms and takes four servers or
// more, while another machine is frozen. That one goes on after 3.5 s and reads what the others
// have told it meanwhile. From then on the machines tell each other of these crashes without end.
// Rule Fault: a program hands back the processor.
#include "../standins.h"

#include <iterator>

using namespace review;

namespace {

constexpr int GatewayCount = 9;
constexpr int ServerCount = 12;
constexpr double FreezeMs = 3500; // As node_freeze of the site file.
constexpr double ContactMs = 3000;
constexpr double ObservedMs = 15e3;
constexpr double MachineCores = 0.25; // As the sheet has it.
constexpr double RequestGapMs = 10;
const std::string DeadlyTarget = "/stock/deadly";

/// Processor time that the process \a pid has taken.
double processorMs(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    const std::size_t end = text.rfind(')');
    double user = 0;
    double system = 0;
    if (end == std::string::npos
        || std::sscanf(text.c_str() + end + 2,
                       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lf %lf", &user, &system)
                   != 2)
        return 0;
    return (user + system) * 1e3 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct Order
{
    double sentAt = 0;
    double tookMs = 0;
    bool answered = false;
};

std::string summary(const std::vector<Order> &orders, double from, double to)
{
    int sent = 0;
    int answered = 0;
    double slowest = 0;
    for (const Order &order : orders) {
        if (order.sentAt < from || order.sentAt >= to)
            continue;
        ++sent;
        answered += order.answered ? 1 : 0;
        slowest = std::max(slowest, order.tookMs);
    }
    return std::to_string(answered) + " of " + std::to_string(sent) + " answered, the slowest in "
           + std::to_string(int(slowest)) + " ms";
}

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = optionsFrom(argc, argv);
    Record record(options.record);
    Store store(record);
    std::mutex mutex;
    std::set<std::string> crashed;
    const auto handler = [&](Server &server, const Message &request,
                             const std::shared_ptr<Stream> &stream) {
        sleepMs(30);
        if (request.target != DeadlyTarget)
            return stream->write(responseText(200, server.sealed(request), "answer"));
        {
            const std::lock_guard<std::mutex> guard(mutex);
            if (!crashed.insert(server.name()).second)
                return false;
        }
        record.line(server.name() + " crashes under " + request.header("X-Request-Id"));
        server.crashAndReturn();
        return false;
    };
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    std::vector<std::unique_ptr<Server>> servers;
    servers.reserve(ServerCount);
    for (int number = 0; number < ServerCount; ++number)
        servers.push_back(std::make_unique<Server>(store, "app-" + std::to_string(number + 1),
                                                   "app", zones[number % 3], 6, handler));
    store.put("config", "main", smallConfiguration(7));
    for (auto &server : servers)
        server->announce();
    Gateways gateways;
    if (!startGateways(gateways, GatewayCount, store.port(), options.folder, options.program))
        finish(gateways, ExitCouldNotRun);
    sleepMs(5000);

    std::atomic<bool> stop{false};
    std::vector<Order> orders;
    std::vector<std::thread> clients;
    clients.reserve(GatewayCount);
    for (int number = 0; number < GatewayCount; ++number)
        clients.emplace_back([&, number] {
            while (!stop) {
                const std::string id = newId();
                const Answer answer = ask(
                        gateways[number]->callers(), "POST", "/order/cake",
                        {{"Host", "shop.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2500"}},
                        "order " + id, 2500);
                {
                    const std::lock_guard<std::mutex> guard(mutex);
                    orders.push_back({answer.sentAt, answer.endedAt - answer.sentAt,
                                      answer.status == 200 && answer.whole});
                }
                sleepMs(150);
            }
        });
    const double startedAt = nowMs();
    sleepMs(3000);
    Gateway &frozen = *gateways.back();
    const double frozenAt = nowMs();
    if (options.trouble) {
        frozen.signal(SIGSTOP);
        record.line(frozen.name + " is frozen");
    }
    sleepMs(500);
    std::vector<std::thread> callers;
    for (int number = 0; number < 3; ++number) {
        callers.emplace_back([&, number] {
            const std::string id = newId();
            record.line("client: deadly request " + id + " to " + gateways[number]->name);
            const Answer answer =
                    ask(gateways[number]->callers(), "GET", DeadlyTarget,
                        {{"Host", "shop.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2500"}},
                        "", 2500);
            record.line("client: deadly request " + id + " answered "
                        + std::to_string(answer.status));
        });
        sleepMs(RequestGapMs);
    }
    for (std::thread &caller : callers)
        caller.join();
    sleepMs(frozenAt + FreezeMs - nowMs());
    if (options.trouble) {
        frozen.signal(SIGCONT);
        record.line(frozen.name + " goes on");
    }
    sleepMs(ContactMs);

    const double from = nowMs();
    std::vector<double> before;
    before.reserve(GatewayCount);
    for (auto &gateway : gateways)
        before.push_back(processorMs(gateway->processId()));
    sleepMs(ObservedMs);
    const double to = nowMs();
    int overloaded = 0;
    for (int number = 0; number < GatewayCount; ++number) {
        const double used = (processorMs(gateways[number]->processId()) - before[number]);
        overloaded += used > MachineCores * (to - from) ? 1 : 0;
        record.line(gateways[number]->name + " took " + std::to_string(int(used))
                    + " ms of processor in " + std::to_string(int(to - from))
                    + " ms; its machine has " + std::to_string(int(MachineCores * (to - from))));
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();
    record.line("orders before: " + summary(orders, startedAt, frozenAt)
                + "; orders then: " + summary(orders, from, to));
    record.line("servers crashed: " + std::to_string(crashed.size())
                + "; gateways that want more processor than their machine has, for "
                + std::to_string(int(to - from)) + " ms: " + std::to_string(overloaded) + " of "
                + std::to_string(GatewayCount));
    if (crashed.size() < 4)
        finish(gateways, ExitCouldNotRun);
    finish(gateways, overloaded > 0 ? ExitBroken : ExitHeld);
}
