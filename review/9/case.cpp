// A part of prompts crashes each server that begins to write an answer on it: the server sends the
// head of its answer, and is gone. Long after the fifth crash, when the part is refused, all
// gateways are killed at the same moment and start again; once more later.
// Rule BUDGET: not more than three requests with the part reach servers, sent by machines in touch
// later than contact_ms after the fifth crash.
#include "../support-2/deadly_prompts.h"

using namespace review;

namespace {

constexpr double RestartMs = 500;
constexpr int Kills = 2;
constexpr double BeforeKillMs = 25.2e3; // Just after a prompt with the part.
constexpr double AfterKillMs = 22e3;

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = optionsFrom(argc, argv);
    Record record(options.record);
    Store store(record);
    DeadlyOptions deadly;
    deadly.deadlyEveryMs = 5000;
    DeadlyPrompts prompts(store, record, deadly);
    Gateways gateways;
    if (!startGateways(gateways, 3, store.port(), options.folder, options.program))
        finish(gateways, ExitCouldNotRun);
    sleepMs(4000);
    prompts.start(gateways);
    // Each time, the part is refused by then.
    for (int kill = 0; kill < Kills; ++kill) {
        sleepMs(BeforeKillMs);
        if (!options.trouble)
            continue;
        record.line("all gateways are killed");
        prompts.setInTouchFrom(1e12);
        for (auto &gateway : gateways)
            gateway->signal(SIGKILL);
        for (auto &gateway : gateways)
            gateway->killNow();
        sleepMs(RestartMs);
        for (auto &gateway : gateways)
            gateway->start();
        prompts.setInTouchFrom(nowMs() + ContactMs);
        record.line("all gateways have started again");
    }
    sleepMs(AfterKillMs);
    prompts.stop();
    record.line("sound prompts served: " + std::to_string(prompts.served())
                + "; crashes: " + std::to_string(prompts.crashCount())
                + "; deadly requests that count: " + std::to_string(prompts.counted())
                + " (at most " + std::to_string(MaxDeadlyRequests) + ")");
    if (prompts.served() < 100 || prompts.crashCount() < CrashesBeforeBound)
        finish(gateways, ExitCouldNotRun);
    finish(gateways, prompts.counted() > MaxDeadlyRequests ? ExitBroken : ExitHeld);
}
