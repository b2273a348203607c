#include "core/metrics.h"
#include "state/configuration_codec.h"
#include "state/configuration_repository.h"
#include "state/http_object_store.h"

#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadUsage = 2;
constexpr int ExitBadInput = 3;
constexpr dotterel::Duration CallTimeout = std::chrono::seconds(5);

struct Options
{
    std::string platformAddress = "127.0.0.1";
    int platformPort = 0;
    std::vector<std::string> arguments;
};

std::optional<Options> parseOptions(int argc, const char **argv)
{
    Options options;
    char *address = nullptr;
    const poptOption table[] = {
            {"platform-address", 'a', POPT_ARG_STRING, &address, 0, "IP of the platform", "IP"},
            {"platform-port", 'p', POPT_ARG_INT, &options.platformPort, 0, "port of the platform",
             "PORT"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelctl", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "COMMAND\n  apply FILE   store a YAML configuration");
    const int result = poptGetNextOpt(context);
    if (result < -1)
        std::cerr << "dotterelctl: " << poptBadOption(context, 0) << ": " << poptStrerror(result)
                  << '\n';
    while (const char *argument = poptGetArg(context))
        options.arguments.emplace_back(argument);
    if (address != nullptr)
        options.platformAddress = address;
    std::free(address);
    poptFreeContext(context);
    if (result < -1)
        return std::nullopt;
    return options;
}

int apply(const Options &options, const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be opened\n";
        return ExitBadInput;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto configuration = dotterel::configurationFromYaml(text.str(), path);
    if (!configuration) {
        for (const dotterel::YamlFault &fault : configuration.error())
            std::cerr << fault.text() << '\n';
        return ExitBadInput;
    }

    dotterel::EventLoop loop;
    dotterel::HttpClient client(loop);
    dotterel::NullMetrics metrics;
    const dotterel::Endpoint platform{options.platformAddress,
                                      static_cast<std::uint16_t>(options.platformPort)};
    dotterel::HttpObjectStore store(loop, client, platform, CallTimeout, metrics);
    dotterel::ConfigurationRepository repository(store);
    int exitCode = ExitFailed;
    const auto finish = [&](const tl::expected<std::uint64_t, std::string> &version) {
        if (version)
            std::cout << "configuration " << *version << " stored\n";
        else
            std::cerr << "dotterelctl: " << version.error() << '\n';
        exitCode = version ? ExitOk : ExitFailed;
        loop.stop();
    };
    repository.load([&](const tl::expected<dotterel::Configuration, std::string> &stored) {
        if (!stored)
            finish(tl::unexpected(stored.error()));
        else
            repository.replace(*configuration, stored->version, finish);
    });
    loop.run();
    return exitCode;
}

} // namespace

int main(int argc, const char **argv)
{
    const std::optional<Options> options = parseOptions(argc, argv);
    if (!options)
        return ExitBadUsage;
    const std::vector<std::string> &arguments = options->arguments;
    if (arguments.size() == 2 && arguments[0] == "apply")
        return apply(*options, arguments[1]);
    std::cerr << "dotterelctl: unknown command; see --help\n";
    return ExitBadUsage;
}
