#include "operator_tools/operator_commands.h"

#include "operator_tools/fleet_report.h"
#include "operator_tools/sheet_merge.h"
#include "operator_tools/text_table.h"
#include "state/configuration_codec.h"
#include "state/sheet_text.h"
#include "state/text_file.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace dotterel {

namespace {

constexpr std::size_t MostFileBytes = 64UL * 1024 * 1024;
constexpr int DrainTries = 5;
/// How far the clocks of the planners and of this machine may differ.
constexpr WallMilliseconds ClockToleranceMilliseconds = 300'000;

MissingObjects missingOf(const CommandLine &line)
{
    return line.prune ? MissingObjects::Remove : MissingObjects::Keep;
}

std::string kindNames()
{
    std::string names;
    for (const ObjectKindInfo &info : objectKindTable())
        names += (names.empty() ? "" : ", ") + std::string(info.plural);
    return names;
}

std::string objectTable(const Configuration &configuration, ObjectKind kind)
{
    std::vector<std::vector<std::string>> rows;
    for (const ConfigurationObject &object : objectsOf(configuration)) {
        if (object.kind != kind)
            continue;
        std::vector<std::string> head = {std::string(objectKindInfo(kind).singular)};
        std::vector<std::string> row = {object.name};
        for (const Property &property : object.properties) {
            head.push_back(property.name);
            row.push_back(property.value);
        }
        if (rows.empty())
            rows.push_back(head);
        rows.push_back(row);
    }
    if (rows.empty())
        return "no " + std::string(objectKindInfo(kind).plural) + "\n";
    return textTable(rows);
}

} // namespace

OperatorCommands::OperatorCommands(Deployment &deployment, const Clock &clock, std::ostream &output,
                                   std::ostream &errors)
    : deployment(deployment)
    , clock(clock)
    , output(output)
    , errors(errors)
{}

ExitCode OperatorCommands::run(const CommandLine &line)
{
    switch (line.command) {
    case Command::Apply:
        return this->apply(line);
    case Command::Diff:
        return this->diff(line);
    case Command::Sheet:
        return this->sheet(line);
    case Command::Get:
        return this->get(line);
    case Command::Status:
        return this->status(line);
    case Command::Drain:
        return this->drain(line);
    case Command::Undrain:
        break;
    }
    return this->setDraining(line.arguments.at(0), false);
}

ExitCode OperatorCommands::apply(const CommandLine &line)
{
    const auto stored = this->loadStored();
    if (!stored)
        return stored.error();
    const auto merge = this->mergeFileAt(line.arguments.at(0), *stored, missingOf(line));
    if (!merge)
        return merge.error();
    this->showMerge(*stored, *merge, missingOf(line));
    return this->store(*stored, *merge, line.dryRun);
}

ExitCode OperatorCommands::diff(const CommandLine &line)
{
    const auto stored = this->loadStored();
    if (!stored)
        return stored.error();
    const auto merge = this->mergeFileAt(line.arguments.at(0), *stored, missingOf(line));
    if (!merge)
        return merge.error();
    this->showMerge(*stored, *merge, missingOf(line));
    return differences(*stored, merge->merged).empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode OperatorCommands::sheet(const CommandLine &line)
{
    const std::string &path = line.arguments.at(0);
    const auto bytes = this->readFile(path);
    if (!bytes)
        return bytes.error();
    tl::expected<Sheet, std::vector<SheetError>> sheet = readSheet(*bytes, path);
    if (!sheet) {
        for (const SheetError &fault : sheet.error())
            this->errors << fault.text() << '\n';
        return ExitCode::BadInput;
    }
    if (!line.exported.empty() && sheet->exportedAt)
        return this->fail(ExitCode::BadUsage, "--exported: the sheet carries its export time");
    if (!line.exported.empty())
        sheet->exportedAt = parseIsoTime(line.exported);
    if (!sheet->exportedAt)
        return this->fail(ExitCode::BadInput,
                          path
                                  + ": the export time is missing or malformed; give a row of kind "
                                    "planilla or --exported, such as 2026-12-03T06:00:00-03:00");
    if (*sheet->exportedAt > this->clock.wallTime() + ClockToleranceMilliseconds)
        return this->fail(
                ExitCode::BadInput,
                path + ": the export time " + formatIsoTime(*sheet->exportedAt)
                        + " lies in the future; check the clock of the exporting machine");
    const auto stored = this->loadStored();
    if (!stored)
        return stored.error();
    const auto merge = mergeSheet(*stored, *sheet, path, {missingOf(line), line.keepNewer});
    if (!merge) {
        for (const SheetError &fault : merge.error().faults)
            this->errors << fault.text() << '\n';
        return merge.error().tooOld ? ExitCode::TooOld : ExitCode::BadInput;
    }
    for (const std::string &kept : merge->kept)
        this->output << "kept: " << kept << '\n';
    this->showMerge(*stored, merge->merge, missingOf(line));
    return this->store(*stored, merge->merge, line.dryRun);
}

ExitCode OperatorCommands::get(const CommandLine &line)
{
    std::optional<ObjectKind> wanted;
    if (!line.arguments.empty()) {
        wanted = objectKindFromPlural(line.arguments.front());
        if (!wanted)
            return this->fail(ExitCode::BadUsage, "\"" + line.arguments.front()
                                                          + "\" is no kind; kinds are "
                                                          + kindNames());
    }
    const auto stored = this->loadStored();
    if (!stored)
        return stored.error();
    if (line.json) {
        const nlohmann::json all = configurationToJson(*stored);
        const nlohmann::json shown =
                wanted ? all.at(std::string(objectKindInfo(*wanted).jsonKey)) : all;
        this->output << shown.dump(2) << '\n';
        return ExitCode::Done;
    }
    if (!wanted)
        this->output << "configuration version " << stored->version << '\n';
    for (const ObjectKindInfo &info : objectKindTable()) {
        if (!wanted)
            this->output << '\n';
        if (!wanted || *wanted == info.kind)
            this->output << objectTable(*stored, info.kind);
    }
    return ExitCode::Done;
}

ExitCode OperatorCommands::status(const CommandLine &line)
{
    const auto list = this->deployment.hosts();
    if (!list)
        return this->fail(ExitCode::Failed, list.error());
    std::vector<HostListEntry> entryHosts;
    for (const HostListEntry &host : *list) {
        if (host.role == "entry")
            entryHosts.push_back(host);
    }
    FleetReport report;
    const auto stored = this->deployment.load();
    if (stored)
        report.storedVersion = stored->version;
    else
        report.storedVersionError = stored.error();
    report.hosts = this->deployment.readStatus(entryHosts);
    this->output << (line.json ? report.json() : report.text());
    return ExitCode::Done;
}

ExitCode OperatorCommands::drain(const CommandLine &line)
{
    const std::string &name = line.arguments.at(0);
    const auto stored = this->deployment.load();
    const bool isServer = stored && stored->servers.count(name) > 0;
    const auto list = this->deployment.hosts();
    if (!stored && !list)
        return this->fail(ExitCode::Failed, stored.error());
    for (const HostListEntry &listed : list.value_or(std::vector<HostListEntry>{})) {
        if (listed.id == name && listed.role == "entry")
            return isServer ? this->fail(ExitCode::BadInput,
                                         "\"" + name
                                                 + "\" names both a backend server and an entry "
                                                   "host; rename one of them")
                            : this->drainHost(listed);
    }
    if (!isServer)
        return this->fail(ExitCode::BadInput, "there is no backend server and no entry host \""
                                                      + name + "\"; see `dotterelctl status`");
    return this->setDraining(name, true);
}

ExitCode OperatorCommands::drainHost(const HostListEntry &host)
{
    const auto asked = this->deployment.drain(host);
    if (!asked)
        return this->fail(ExitCode::Failed, host.id + ": " + asked.error());
    this->output << "entry host " << host.id << " finishes its requests and ends\n";
    return ExitCode::Done;
}

ExitCode OperatorCommands::setDraining(const ServerId &server, bool draining)
{
    // The change touches one flag of one server, so that it can be made again on top of whatever
    // another operator stored meanwhile.
    std::string error;
    for (int i = 0; i < DrainTries; ++i) {
        const auto stored = this->loadStored();
        if (!stored)
            return stored.error();
        Configuration next = *stored;
        const auto found = next.servers.find(server);
        if (found == next.servers.end())
            return this->fail(ExitCode::BadInput, "there is no backend server \"" + server
                                                          + "\"; see `dotterelctl get servers`");
        if (found->second.draining == draining) {
            this->output << "no change: server " << server
                         << (draining ? " drains already\n" : " does not drain\n");
            return ExitCode::Done;
        }
        found->second.draining = draining;
        const auto version = this->deployment.replace(next, stored->version);
        if (version) {
            this->output << "configuration " << *version << " stored: server " << server
                         << (draining ? " gets no new work\n" : " gets new work\n");
            return ExitCode::Done;
        }
        error = version.error();
        const auto current = this->deployment.load();
        if (!current || current->version == stored->version)
            return this->fail(ExitCode::Failed, error);
    }
    return this->fail(ExitCode::Conflict, error);
}

tl::expected<std::string, ExitCode> OperatorCommands::readFile(const std::string &path)
{
    const auto text = readTextFile(path, MostFileBytes);
    if (!text)
        return tl::unexpected(this->fail(ExitCode::BadInput, path + ": " + text.error()));
    return *text;
}

tl::expected<Configuration, ExitCode> OperatorCommands::loadStored()
{
    const auto stored = this->deployment.load();
    if (!stored)
        return tl::unexpected(this->fail(ExitCode::Failed, stored.error()));
    return *stored;
}

tl::expected<Merge, ExitCode> OperatorCommands::mergeFileAt(const std::string &path,
                                                            const Configuration &stored,
                                                            MissingObjects missing)
{
    const auto text = this->readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    const auto file = configurationFromYaml(*text, path, stored);
    if (!file) {
        for (const YamlError &fault : file.error())
            this->errors << fault.text() << '\n';
        return tl::unexpected(ExitCode::BadInput);
    }
    Merge merge = mergeFile(stored, *file, missing, this->clock.wallTime());
    for (const auto &[id, server] : merge.merged.servers) {
        if (merge.merged.pools.count(server.pool) > 0)
            continue;
        this->errors << path << ": server " << id << " would be left without its pool "
                     << server.pool << '\n';
        return tl::unexpected(ExitCode::BadInput);
    }
    return merge;
}

void OperatorCommands::showMerge(const Configuration &stored, const Merge &merge,
                                 MissingObjects missing)
{
    for (const Change &change : differences(stored, merge.merged))
        this->output << change.text() << '\n';
    if (missing == MissingObjects::Remove)
        return;
    for (const ConfigurationObject &object : merge.missing)
        this->output << "kept, not in the file: " << object.title() << '\n';
}

ExitCode OperatorCommands::store(const Configuration &stored, const Merge &merge, bool dryRun)
{
    const bool same = differences(stored, merge.merged).empty();
    const bool newerSheet = merge.merged.sheetExportedAt > stored.sheetExportedAt;
    if (same && !newerSheet) {
        this->output << "no change to configuration " << stored.version << '\n';
        return ExitCode::Done;
    }
    if (dryRun) {
        this->output << "dry run: nothing was written\n";
        return ExitCode::Done;
    }
    const auto version = this->deployment.replace(merge.merged, stored.version);
    if (!version)
        return this->reportFailedStore(stored, merge.merged, version.error());
    this->output << "configuration " << *version << " stored\n";
    return ExitCode::Done;
}

ExitCode OperatorCommands::reportFailedStore(const Configuration &stored,
                                             const Configuration &wanted, const std::string &error)
{
    const auto current = this->deployment.load();
    if (!current || current->version == stored.version)
        return this->fail(ExitCode::Failed, error);
    // The answer to a write may be lost; what is stored tells whether it took effect.
    const bool tookEffect = differences(wanted, *current).empty()
                            && current->sheetExportedAt == wanted.sheetExportedAt;
    if (tookEffect) {
        this->output << "configuration " << current->version << " stored\n";
        return ExitCode::Done;
    }
    this->fail(ExitCode::Conflict, error + "; configuration " + std::to_string(current->version)
                                           + " is stored now, with these changes:");
    for (const Change &change : differences(stored, *current))
        this->errors << "  " << change.text() << '\n';
    return ExitCode::Conflict;
}

ExitCode OperatorCommands::fail(ExitCode code, const std::string &message)
{
    this->errors << "dotterelctl: " << message << '\n';
    return code;
}

} // namespace dotterel
