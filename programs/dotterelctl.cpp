#include "operator_tools/command_line.h"
#include "operator_tools/deployment.h"
#include "operator_tools/operator_commands.h"

#include <iostream>

int main(int argc, const char **argv)
{
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    const auto line = dotterel::parseCommandLine(arguments);
    if (!line) {
        const bool done = line.error().code == dotterel::ExitCode::Done;
        (done ? std::cout : std::cerr) << line.error().text;
        return static_cast<int>(line.error().code);
    }
    dotterel::EventLoop loop;
    dotterel::HttpClient client(loop);
    dotterel::Deployment deployment(loop, client, line->platform, line->timeout);
    dotterel::OperatorCommands commands(deployment, loop, std::cout, std::cerr);
    return static_cast<int>(commands.run(*line));
}
