#include "state/csv_table.h"

#include <algorithm>
#include <csv.h>

namespace dotterel {

namespace {

/// Collects what libcsv calls back with.
struct Collector
{
    std::vector<CsvRow> rows;
    std::vector<std::string> cells;
    std::size_t rowNumber = 1;
};

/// Owns a parser of libcsv.
class Parser
{
public:
    explicit Parser(char delimiter)
    {
        csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
        csv_set_delim(&this->parser, static_cast<unsigned char>(delimiter));
    }
    ~Parser() { csv_free(&this->parser); }
    Parser(const Parser &) = delete;
    Parser &operator=(const Parser &) = delete;

    bool parse(const std::string &text, Collector &collector)
    {
        const std::size_t taken =
                csv_parse(&this->parser, text.data(), text.size(), onCell, onRow, &collector);
        return taken == text.size() && csv_fini(&this->parser, onCell, onRow, &collector) == 0;
    }

private:
    static void onCell(void *bytes, std::size_t size, void *data)
    {
        static_cast<Collector *>(data)->cells.emplace_back(static_cast<char *>(bytes), size);
    }

    static void onRow(int /*terminator*/, void *data)
    {
        Collector &collector = *static_cast<Collector *>(data);
        const bool blank = std::all_of(collector.cells.begin(), collector.cells.end(),
                                       [](const std::string &cell) { return cell.empty(); });
        if (!blank)
            collector.rows.push_back({collector.rowNumber, collector.cells});
        collector.cells.clear();
        ++collector.rowNumber;
    }

    csv_parser parser{};
};

} // namespace

tl::expected<std::vector<CsvRow>, CsvError> readCsv(const std::string &text, char delimiter)
{
    Collector collector;
    Parser parser(delimiter);
    if (!parser.parse(text, collector))
        return tl::unexpected(CsvError{collector.rowNumber,
                                       "a quotation mark is not closed, or stands inside a cell "
                                       "without being doubled"});
    return collector.rows;
}

} // namespace dotterel
