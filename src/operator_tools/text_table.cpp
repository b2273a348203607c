#include "operator_tools/text_table.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr std::size_t Gap = 2;

std::size_t characters(const std::string &utf8)
{
    return static_cast<std::size_t>(std::count_if(utf8.begin(), utf8.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
    }));
}

std::vector<std::size_t> widthsOf(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string> &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], characters(row[i]));
    }
    return widths;
}

} // namespace

std::string textTable(const std::vector<std::vector<std::string>> &rows)
{
    const std::vector<std::size_t> widths = widthsOf(rows);
    std::string text;
    for (const std::vector<std::string> &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] + Gap - characters(row[i]), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace dotterel
