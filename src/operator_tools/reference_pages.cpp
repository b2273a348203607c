#include "operator_tools/reference_pages.h"

#include "core/event_log.h"
#include "core/metric_catalogue.h"
#include "core/verdict.h"
#include "operator_tools/command_line.h"
#include "state/settings.h"
#include "state/sheet_reader.h"

namespace dotterel {

namespace {

std::string row(const std::vector<std::string> &cells)
{
    std::string line = "|";
    for (const std::string &cell : cells)
        line += " " + cell + " |";
    return line + "\n";
}

std::string head(const std::vector<std::string> &cells)
{
    return row(cells) + row(std::vector<std::string>(cells.size(), "---"));
}

std::string code(std::string_view text)
{
    return text.empty() ? "" : "`" + std::string(text) + "`";
}

std::string eventsPage()
{
    std::string text = head({"Number", "Name", "Severity", "Meaning"});
    for (const EventInfo &info : eventTable()) {
        text += row({std::to_string(static_cast<int>(info.event)), code(info.name),
                     std::string(severityName(info.severity)), std::string(info.meaning)});
    }
    return text;
}

std::string metricsPage()
{
    std::string text = head({"Metric", "Type", "Label", "Meaning"});
    for (const MetricInfo &info : metricCatalogue()) {
        text += row({code(info.name), std::string(metricTypeName(info.type)), code(info.label),
                     std::string(info.meaning)});
    }
    text += "\nValues of `reason` in `dotterel_refusals_total`; they are the reason codes of "
            "refusals, too:\n\n"
            + head({"Reason", "HTTP status", "`Retry-After`"});
    for (const ReasonInfo &info : reasonTable()) {
        text += row(
                {code(info.name), std::to_string(info.httpStatus), info.retryable ? "yes" : "no"});
    }
    text += "\nValues of `reason` in `dotterel_retries_total`:\n\n" + head({"Reason", "Meaning"});
    for (const RetryReason reason : allValues(retryReasonName))
        text += row({code(retryReasonName(reason)), std::string(retryReasonMeaning(reason))});
    return text;
}

std::string settingsPage()
{
    const Settings defaults;
    std::string text = head({"Key", "Allowed", "Default", "Meaning"});
    for (const SettingInfo &info : settingTable()) {
        text += row({code(info.key), allowedValuesText(info),
                     info.required ? "required" : code(settingValueText(info, defaults)),
                     std::string(info.meaning)});
    }
    return text;
}

std::string wordTable(const std::string &title, const std::vector<SheetTerm> &words)
{
    std::string text = head({title, "In Spanish", "Meaning"});
    for (const SheetTerm &word : words)
        text += row({code(word.english), code(word.spanish), std::string(word.meaning)});
    return text;
}

std::string sheetPage()
{
    return wordTable("Column", sheetColumns()) + "\n" + wordTable("Kind of row", sheetKinds());
}

std::string commandsPage()
{
    std::string text = head({"Command", "What it does"});
    for (const CommandInfo &info : commandTable()) {
        // A bar would end the cell.
        std::string arguments(info.arguments);
        if (const std::size_t bar = arguments.find('|'); bar != std::string::npos)
            arguments.replace(bar, 1, "\\|");
        text += row({code(std::string(info.name) + (arguments.empty() ? "" : " ") + arguments),
                     std::string(info.summary)});
    }
    text += "\n" + head({"Exit code", "Meaning"});
    for (const ExitCodeInfo &info : exitCodeTable())
        text += row({std::to_string(static_cast<int>(info.code)), std::string(info.meaning)});
    return text;
}

} // namespace

const std::vector<ReferencePage> &referencePages()
{
    static const std::vector<ReferencePage> pages = {
            {"EVENTS.md", "print-events", eventsPage},
            {"METRICS.md", "print-metrics", metricsPage},
            {"SETTINGS.md", "print-settings", settingsPage},
            {"SHEET.md", "print-sheet", sheetPage},
            {"OPERATIONS.md", "print-commands", commandsPage},
    };
    return pages;
}

} // namespace dotterel
