#include "fakes/fake_engine.h"
#include "fakes/fake_platform.h"
#include "fakes/fake_service.h"

#include <csignal>
#include <iostream>
#include <popt.h>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitBadUsage = 2;

} // namespace

/// Runs one stand-in on 127.0.0.1 until SIGTERM: `dotterelfake platform|engine|service --port N`.
int main(int argc, const char **argv)
{
    int port = 0;
    dotterel::fakes::EngineBehaviour behaviour;
    int answerTokens = static_cast<int>(behaviour.answerTokens);
    int tokenMicroseconds = static_cast<int>(behaviour.tokenInterval.count());
    const poptOption table[] = {{"port", 'p', POPT_ARG_INT, &port, 0, "port to listen on", "PORT"},
                                {"answer-tokens", 'n', POPT_ARG_INT, &answerTokens, 0,
                                 "engine: tokens of an answer", "N"},
                                {"token-us", 't', POPT_ARG_INT, &tokenMicroseconds, 0,
                                 "engine: microseconds between tokens", "N"},
                                {"prefill-rate", 'r', POPT_ARG_DOUBLE,
                                 &behaviour.prefillTokensPerSecond, 0,
                                 "engine: prompt tokens a second", "N"},
                                POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelfake", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "platform|engine|service");
    const int result = poptGetNextOpt(context);
    const char *kindArgument = poptGetArg(context);
    const std::string kind = kindArgument == nullptr ? "" : kindArgument;
    poptFreeContext(context);
    if (result < -1 || (kind != "platform" && kind != "engine" && kind != "service")) {
        std::cerr << "dotterelfake: say platform, engine or service; see --help\n";
        return ExitBadUsage;
    }

    behaviour.answerTokens = static_cast<std::uint64_t>(answerTokens);
    behaviour.tokenInterval = dotterel::Duration(tokenMicroseconds);
    dotterel::EventLoop loop;
    const dotterel::Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(port)};
    std::unique_ptr<dotterel::fakes::FakePlatform> platform;
    std::unique_ptr<dotterel::fakes::FakeEngine> engine;
    std::unique_ptr<dotterel::fakes::FakeService> service;
    dotterel::Endpoint bound;
    if (kind == "platform") {
        platform = std::make_unique<dotterel::fakes::FakePlatform>(loop, endpoint);
        bound = platform->endpoint();
    } else if (kind == "engine") {
        engine = std::make_unique<dotterel::fakes::FakeEngine>(loop, endpoint, behaviour);
        bound = engine->endpoint();
    } else {
        service = std::make_unique<dotterel::fakes::FakeService>(
                loop, endpoint, dotterel::fakes::ServiceBehaviour{});
        bound = service->endpoint();
    }
    std::cout << bound.port << std::endl;
    const auto onTerminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return ExitOk;
}
