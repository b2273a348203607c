#pragma once

#include "operator_tools/command_line.h"
#include "operator_tools/configuration_merge.h"
#include "operator_tools/deployment.h"

#include <iosfwd>

namespace dotterel {

/// The commands of dotterelctl. What they say goes to two streams; nothing else is printed.
class OperatorCommands
{
public:
    /// The other objects must outlive this one.
    OperatorCommands(Deployment &deployment, const Clock &clock, std::ostream &output,
                     std::ostream &errors);

    /// Does what \a line says.
    ExitCode run(const CommandLine &line);

private:
    ExitCode apply(const CommandLine &line);
    ExitCode diff(const CommandLine &line);
    ExitCode sheet(const CommandLine &line);
    ExitCode get(const CommandLine &line);
    ExitCode status(const CommandLine &line);
    ExitCode drain(const CommandLine &line);
    ExitCode drainHost(const HostListEntry &host);
    ExitCode setDraining(const ServerId &server, bool draining);

    tl::expected<std::string, ExitCode> readFile(const std::string &path);
    tl::expected<Configuration, ExitCode> loadStored();
    tl::expected<Merge, ExitCode> mergeFileAt(const std::string &path, const Configuration &stored,
                                              MissingObjects missing);
    void showMerge(const Configuration &stored, const Merge &merge, MissingObjects missing);
    ExitCode store(const Configuration &stored, const Merge &merge, bool dryRun);
    ExitCode reportFailedStore(const Configuration &stored, const Configuration &wanted,
                               const std::string &error);
    ExitCode fail(ExitCode code, const std::string &message);

    Deployment &deployment;
    const Clock &clock;
    std::ostream &output;
    std::ostream &errors;
};

} // namespace dotterel
