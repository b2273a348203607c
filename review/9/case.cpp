// A part of prompts crashes each server that begins to write an answer on it: the server sends the
// head of its answer, and is gone. Long after the fifth crash, when the part is refused, all
// gateways are killed at the same moment and start again.
// Rule BUDGET: not more than three requests with the part reach servers, sent by machines in touch
// later than contact_ms after the fifth crash.
#include "../support-2/deadly_prompts.h"

using namespace review;

namespace {

constexpr double RestartMs = 500;
constexpr int RefusalsBeforeKill = 2;

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = optionsFrom(argc, argv);
    Record record(options.record);
    Store store(record);
    DeadlyOptions deadly;
    deadly.deadlyEveryMs = 6000;
    DeadlyPrompts prompts(store, record, deadly);
    Gateways gateways;
    if (!startGateways(gateways, 3, store.port(), options.folder, options.program))
        finish(gateways, ExitCouldNotRun);
    sleepMs(4000);
    prompts.start(gateways);
    const double limit = nowMs() + 40e3;
    while (prompts.crashCount() < CrashesBeforeBound && nowMs() < limit)
        sleepMs(20);
    const int answered = prompts.answeredDeadly();
    while (prompts.answeredDeadly() <= answered + RefusalsBeforeKill && nowMs() < limit)
        sleepMs(20);
    if (options.trouble) {
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
    sleepMs(32e3);
    prompts.stop();
    record.line("sound prompts served: " + std::to_string(prompts.served())
                + "; crashes: " + std::to_string(prompts.crashCount())
                + "; deadly requests that count: " + std::to_string(prompts.counted())
                + " (at most " + std::to_string(MaxDeadlyRequests) + ")");
    if (prompts.served() < 100 || prompts.crashCount() < CrashesBeforeBound)
        finish(gateways, ExitCouldNotRun);
    finish(gateways, prompts.counted() > MaxDeadlyRequests ? ExitBroken : ExitHeld);
}
