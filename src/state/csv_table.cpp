#include "state/csv_table.h"

#include <algorithm>
#include <csv.h>

namespace dotterel {

namespace {

/// Collects the cells and rows that libcsv reports to its callbacks.
struct RowCollector
{
    std::vector<CsvRow> rows;
    std::vector<std::string> cells;
    std::size_t rowNumber = 1;
};

/// Owns a libcsv parser.
class CsvParser
{
public:
    explicit CsvParser(char delimiter)
    {
        csv_init(&this->parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
        csv_set_delim(&this->parser, static_cast<unsigned char>(delimiter));
    }
    ~CsvParser() { csv_free(&this->parser); }
    CsvParser(const CsvParser &) = delete;
    CsvParser &operator=(const CsvParser &) = delete;

    bool parse(const std::string &text, RowCollector &collector)
    {
        const std::size_t parsedBytes =
                csv_parse(&this->parser, text.data(), text.size(), onCell, onRow, &collector);
        return parsedBytes == text.size()
               && csv_fini(&this->parser, onCell, onRow, &collector) == 0;
    }

private:
    static void onCell(void *bytes, std::size_t size, void *data)
    {
        static_cast<RowCollector *>(data)->cells.emplace_back(static_cast<char *>(bytes), size);
    }

    static void onRow(int /*terminator*/, void *data)
    {
        RowCollector &collector = *static_cast<RowCollector *>(data);
        const bool isBlank = std::all_of(collector.cells.begin(), collector.cells.end(),
                                         [](const std::string &cell) { return cell.empty(); });
        if (!isBlank)
            collector.rows.push_back({collector.rowNumber, collector.cells});
        collector.cells.clear();
        ++collector.rowNumber;
    }

    csv_parser parser{};
};

} // namespace

tl::expected<std::vector<CsvRow>, CsvError> readCsv(const std::string &text, char delimiter)
{
    RowCollector collector;
    CsvParser parser(delimiter);
    if (!parser.parse(text, collector))
        return tl::unexpected(CsvError{collector.rowNumber,
                                       "a quotation mark is not closed, or occurs inside a cell "
                                       "without being doubled"});
    return collector.rows;
}

} // namespace dotterel
