#include "state/sheet_reader.h"

#include "state/csv_table.h"
#include "state/sheet_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <map>
#include <set>

namespace dotterel {

namespace {

constexpr std::size_t MaxFileBytes = 8UL * 1024 * 1024;
constexpr std::size_t MaxNameBytes = 128;
constexpr double MaxShare = 1e6;
constexpr double MinDeadlineSeconds = 0.1;
constexpr double MaxDeadlineSeconds = 86'400;

/// Columns in the order of sheetColumns().
enum class Column {
    Kind,
    Name,
    Share,
    Deadline,
    Idempotent,
    Exported,
};

/// Row kinds in the order of sheetKinds().
enum class Kind {
    Sheet,
    Workspace,
    Class,
    Mark,
};

std::string asciiLowercase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(character < 0x80 ? std::tolower(character) : character);
    });
    return text;
}

template <typename Enum>
std::optional<Enum> enumFromText(const std::vector<SheetTerm> &terms, const std::string &text)
{
    const std::string lowercaseText = asciiLowercase(text);
    for (std::size_t i = 0; i < terms.size(); ++i) {
        if (terms[i].english == lowercaseText || terms[i].spanish == lowercaseText)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

std::string termList(const std::vector<SheetTerm> &terms)
{
    std::string text;
    for (const SheetTerm &term : terms)
        text += (text.empty() ? "" : ", ") + std::string(term.english) + " or "
                + std::string(term.spanish);
    return text;
}

std::string columnLetter(std::size_t index)
{
    constexpr std::size_t Letters = 26;
    std::string letter(1, static_cast<char>('A' + index % Letters));
    return index < Letters ? letter : columnLetter(index / Letters - 1) + letter;
}

/// Detects the delimiter: a semicolon if the first line has one outside quotation marks, else a
/// comma.
char detectDelimiter(const std::string &text)
{
    bool quoted = false;
    for (const char character : text.substr(0, text.find('\n'))) {
        if (character == '"')
            quoted = !quoted;
        if (character == ';' && !quoted)
            return ';';
    }
    return ',';
}

/// Parses a number with a decimal comma or point and without thousands separators.
std::optional<double> parseDecimal(std::string text)
{
    if (text.empty() || text.find_first_not_of("0123456789.,-") != std::string::npos)
        return std::nullopt;
    if (std::count_if(text.begin(), text.end(), [](char c) { return c == ',' || c == '.'; }) > 1)
        return std::nullopt;
    std::replace(text.begin(), text.end(), ',', '.');
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<bool> parseYesOrNo(const std::string &text)
{
    const std::string lowercaseText = asciiLowercase(text);
    for (const char *yes : {"yes", "sí", "sÍ", "si", "true", "verdadero"}) {
        if (lowercaseText == yes)
            return true;
    }
    for (const char *no : {"no", "false", "falso"}) {
        if (lowercaseText == no)
            return false;
    }
    return std::nullopt;
}

class SheetReader
{
public:
    explicit SheetReader(const std::string &file)
        : file(file)
    {}

    tl::expected<Sheet, std::vector<SheetError>> read(std::string_view bytes)
    {
        this->readFile(bytes);
        if (!this->errors.empty())
            return tl::unexpected(this->errors);
        return this->sheet;
    }

private:
    void readFile(std::string_view bytes)
    {
        if (bytes.size() > MaxFileBytes) {
            this->addError(0, "has " + std::to_string(bytes.size()) + " bytes; at most "
                                      + std::to_string(MaxFileBytes) + " are allowed");
            return;
        }
        const auto text = decodeSheetText(bytes);
        if (!text) {
            this->addError(0, text.error());
            return;
        }
        const auto rows = readCsv(*text, detectDelimiter(*text));
        if (!rows)
            this->addError(rows.error().row, rows.error().message);
        else if (rows->empty())
            this->addError(0, "is empty; its first row must name the columns "
                                      + termList(sheetColumns()));
        else if (this->readHeader(rows->front()))
            this->readRows(*rows);
    }

    bool readHeader(const CsvRow &row)
    {
        for (const std::string &cell : row.cells) {
            const auto column = enumFromText<Column>(sheetColumns(), cell);
            this->headers.push_back(cell);
            if (!column)
                this->addError(row.number, this->headers.size() - 1,
                               "unknown column \"" + cell + "\"; columns are "
                                       + termList(sheetColumns()));
            else if (!this->columnIndices.emplace(*column, this->headers.size() - 1).second)
                this->addError(row.number, this->headers.size() - 1, "the column is given twice");
        }
        for (const Column requiredColumn : {Column::Kind, Column::Name}) {
            if (this->columnIndices.count(requiredColumn) == 0)
                this->addError(row.number,
                               "the column "
                                       + termList({sheetColumns().at(
                                               static_cast<std::size_t>(requiredColumn))})
                                       + " is missing");
        }
        return this->errors.empty();
    }

    void readRows(const std::vector<CsvRow> &rows)
    {
        for (std::size_t i = 1; i < rows.size(); ++i)
            this->readRow(rows[i]);
    }

    void readRow(const CsvRow &row)
    {
        if (row.cells.size() > this->headers.size()) {
            this->addError(row.number, "has " + std::to_string(row.cells.size())
                                               + " cells; the header" + " names "
                                               + std::to_string(this->headers.size()));
            return;
        }
        const std::string kindText = this->cell(row, Column::Kind);
        const auto kind = enumFromText<Kind>(sheetKinds(), kindText);
        if (!kind) {
            this->addError(row, Column::Kind,
                           "must be " + termList(sheetKinds()) + ", not \"" + kindText + "\"");
            return;
        }
        switch (*kind) {
        case Kind::Sheet:
            this->readExportTime(row);
            break;
        case Kind::Workspace:
            this->readWorkspace(row);
            break;
        case Kind::Class:
            this->readClass(row);
            break;
        case Kind::Mark:
            this->readMark(row);
            break;
        }
    }

    void readExportTime(const CsvRow &row)
    {
        this->rejectOtherCells(row, {Column::Exported});
        const std::string text = this->cell(row, Column::Exported);
        const auto time = parseIsoTime(text);
        if (!time)
            this->addError(
                    row, Column::Exported,
                    "must be a time with a time zone, such as 2026-12-03T06:00:00-03:00, not \""
                            + text + "\"");
        else if (this->sheet.exportedAt)
            this->addError(row, Column::Exported, "the export time is given twice");
        else
            this->sheet.exportedAt = time;
    }

    void readWorkspace(const CsvRow &row)
    {
        this->rejectOtherCells(row, {Column::Name, Column::Share});
        const std::string name = this->readName(row, Kind::Workspace);
        const auto share = this->readNumber(row, Column::Share, 0, MaxShare);
        if (share)
            this->sheet.workspaces.push_back({row.number, name, *share});
    }

    void readClass(const CsvRow &row)
    {
        this->rejectOtherCells(row, {Column::Name, Column::Deadline});
        const std::string name = this->readName(row, Kind::Class);
        const auto seconds =
                this->readNumber(row, Column::Deadline, MinDeadlineSeconds, MaxDeadlineSeconds);
        if (seconds)
            this->sheet.requestClasses.push_back({row.number, name, fromSeconds(*seconds)});
    }

    void readMark(const CsvRow &row)
    {
        this->rejectOtherCells(row, {Column::Name, Column::Idempotent});
        const std::string name = this->readName(row, Kind::Mark);
        const std::string text = this->cell(row, Column::Idempotent);
        const auto idempotent = parseYesOrNo(text);
        if (!idempotent)
            this->addError(row, Column::Idempotent, "must be yes, sí or no, not \"" + text + "\"");
        else
            this->sheet.idempotencyMarks.push_back({row.number, name, *idempotent});
    }

    std::string readName(const CsvRow &row, Kind kind)
    {
        std::string name = this->cell(row, Column::Name);
        if (name.empty())
            this->addError(row, Column::Name, "must not be empty");
        else if (name.size() > MaxNameBytes)
            this->addError(row, Column::Name,
                           "is too long; a name has at most " + std::to_string(MaxNameBytes)
                                   + " bytes");
        else if (name.find_first_of("\n\t") != std::string::npos)
            this->addError(row, Column::Name, "must be one line without tabs");
        else if (const auto insertion = this->names.emplace(std::make_pair(kind, name), row.number);
                 !insertion.second)
            this->addError(row, Column::Name,
                           "\"" + name + "\" is already defined (row "
                                   + std::to_string(insertion.first->second) + ")");
        return name;
    }

    std::optional<double> readNumber(const CsvRow &row, Column column, double minimum,
                                     double maximum)
    {
        const std::string text = this->cell(row, column);
        const std::optional<double> value = parseDecimal(text);
        if (value && *value >= minimum && *value <= maximum)
            return value;
        const std::string minimumText = minimum == 0 ? "0" : "0,1";
        this->addError(row, column,
                       "must be a number from " + minimumText + " to "
                               + std::to_string(static_cast<std::int64_t>(maximum))
                               + " without thousands separators, not \"" + text + "\"");
        return std::nullopt;
    }

    void rejectOtherCells(const CsvRow &row, const std::set<Column> &allowed)
    {
        for (const auto &[column, columnIndex] : this->columnIndices) {
            if (column == Column::Kind || allowed.count(column) > 0)
                continue;
            if (!this->cell(row, column).empty())
                this->addError(row, column,
                               "must be empty in a row of kind " + this->cell(row, Column::Kind));
        }
    }

    std::string cell(const CsvRow &row, Column column) const
    {
        const auto columnIndex = this->columnIndices.find(column);
        if (columnIndex == this->columnIndices.end() || columnIndex->second >= row.cells.size())
            return {};
        return row.cells[columnIndex->second];
    }

    void addError(const CsvRow &row, Column column, const std::string &message)
    {
        const auto columnIndex = this->columnIndices.find(column);
        if (columnIndex != this->columnIndices.end()) {
            this->addError(row.number, columnIndex->second, message);
            return;
        }
        const SheetTerm &term = sheetColumns().at(static_cast<std::size_t>(column));
        this->addError(row.number, "needs the column " + termList({term}));
    }

    void addError(std::size_t row, std::size_t columnIndex, const std::string &message)
    {
        this->errors.push_back(
                {this->file, row,
                 columnLetter(columnIndex) + " (" + this->headers.at(columnIndex) + ")", message});
    }

    void addError(std::size_t row, const std::string &message)
    {
        this->errors.push_back({this->file, row, "", message});
    }

    std::string file;
    std::vector<std::string> headers;
    std::map<Column, std::size_t> columnIndices;
    std::map<std::pair<Kind, std::string>, std::size_t> names;
    std::vector<SheetError> errors;
    Sheet sheet;
};

} // namespace

std::string SheetError::text() const
{
    std::string text = this->file;
    if (this->row > 0)
        text += ": row " + std::to_string(this->row);
    if (!this->column.empty())
        text += ", column " + this->column;
    return text + ": " + this->message;
}

const std::vector<SheetTerm> &sheetColumns()
{
    static const std::vector<SheetTerm> terms = {
            {"kind", "tipo", "Kind of the row."},
            {"name", "nombre", "Name of the workspace or request class."},
            {"share", "cuota", "Workspace: fair-share weight under overload, 0 to 1000000."},
            {"deadline_s", "plazo_s",
             "Class: deadline in seconds, from arrival to the end of the response, 0,1 to 86400."},
            {"idempotent", "idempotente", "Mark: whether requests are idempotent: yes, sí or no."},
            {"exported", "exportado", "Sheet: export time with a time zone."},
    };
    return terms;
}

const std::vector<SheetTerm> &sheetKinds()
{
    static const std::vector<SheetTerm> terms = {
            {"sheet", "planilla", "Export time of the sheet."},
            {"workspace", "espacio", "Share of a workspace."},
            {"class", "clase", "Deadline of a request class."},
            {"mark", "marca", "Whether the requests of a request class are idempotent."},
    };
    return terms;
}

tl::expected<Sheet, std::vector<SheetError>> readSheet(std::string_view bytes,
                                                       const std::string &file)
{
    return SheetReader(file).read(bytes);
}

} // namespace dotterel
