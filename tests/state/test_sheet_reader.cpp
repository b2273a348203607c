#include "state/sheet_reader.h"

#include "state/sheet_text.h"

#include <catch2/catch.hpp>
#include <random>

using namespace dotterel;

namespace {

const std::string Header = "tipo;nombre;cuota;plazo_s;idempotente;exportado\r\n";
const std::string Utf8Sheet = Header
                              + "planilla;;;;;2026-12-03T06:00:00-03:00\r\n"
                                "espacio;Paysandú;2,5;;;\r\n"
                                "clase;consulta;;0,5;;\r\n"
                                "clase;pedido;;20;;\r\n"
                                "marca;pedido;;;no;\r\n";

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    for (std::size_t at = text.find(what); at != std::string::npos;
         at = text.find(what, at + with.size()))
        text.replace(at, what.size(), with);
    return text;
}

void checkIsTheSheet(const tl::expected<Sheet, std::vector<SheetFault>> &sheet)
{
    if (!sheet)
        FAIL(sheet.error().front().text());
    CHECK(sheet->exportedAt == parseIsoTime("2026-12-03T09:00:00Z"));
    REQUIRE(sheet->workspaces.size() == 1);
    CHECK(sheet->workspaces[0].name == "Paysandú");
    CHECK(sheet->workspaces[0].share == 2.5);
    REQUIRE(sheet->classes.size() == 2);
    CHECK(sheet->classes[0].deadline == std::chrono::milliseconds(500));
    REQUIRE(sheet->marks.size() == 1);
    CHECK_FALSE(sheet->marks[0].idempotent);
}

} // namespace

TEST_CASE("The planners' sheet is read as they export it", "[State][SheetReader]")
{
    SECTION("in UTF-8, with or without a byte-order mark")
    {
        checkIsTheSheet(readSheet(Utf8Sheet, "sheet.csv"));
        checkIsTheSheet(readSheet("\xEF\xBB\xBF" + Utf8Sheet, "sheet.csv"));
    }
    SECTION("in Windows-1252")
    {
        checkIsTheSheet(readSheet(replaced(Utf8Sheet, "ú", "\xFA"), "sheet.csv"));
    }
    SECTION("with a decomposed accent, which is the same name")
    {
        checkIsTheSheet(readSheet(replaced(Utf8Sheet, "ú", "u\xCC\x81"), "sheet.csv"));
    }
    SECTION("with line feeds only, blank rows and quoted cells")
    {
        std::string text = replaced(Utf8Sheet, "\r\n", "\n") + "\n;;;;;\n";
        checkIsTheSheet(readSheet(replaced(text, "Paysandú", "\"Paysandú\""), "sheet.csv"));
    }
    SECTION("with commas, a decimal comma in quotation marks and words in English")
    {
        std::string text = replaced(replaced(Utf8Sheet, "2,5", "\"2,5\""), "0,5", "0.5");
        text = replaced(text, ";", ",");
        text = replaced(text, "tipo,nombre,cuota,plazo_s,idempotente,exportado",
                        "Kind,NAME,share,deadline_s,idempotent,exported");
        checkIsTheSheet(readSheet(replaced(text, "espacio", "workspace"), "sheet.csv"));
    }
}

TEST_CASE("Each fault of a sheet is named by row and column", "[State][SheetReader]")
{
    struct Row
    {
        std::string text;
        std::string fault; ///< Part of the message.
    };
    const std::string columns = "columns are kind or tipo, name or nombre";
    const std::vector<Row> rows = {
            {"", "sheet.csv: is empty; its first row must name the columns"},
            {"\xFF\xFEt", "sheet.csv: is UTF-16; save it as UTF-8 or Windows-1252"},
            {std::string("tipo;nombre\n\0", 13), "sheet.csv: has control characters"},
            {"tipo;nombre;color\n",
             "row 1, column C (color): unknown column \"color\"; " + columns},
            {"tipo;nombre;tipo\n", "row 1, column C (tipo): the column is given twice"},
            {"tipo;cuota\n", "row 1: the column name or nombre is missing"},
            {"tipo;nombre\nplaza;a\n", "row 2, column A (tipo): must be sheet or planilla"},
            {"tipo;nombre;cuota\nespacio;a;1;2\n", "row 2: has 4 cells; the header names 3"},
            {"tipo;nombre;cuota\n\nespacio;;1\n", "row 3, column B (nombre): must not be empty"},
            {"tipo;nombre;cuota\nespacio;a;\"1.000,5\"\n", "column C (cuota): must be a number"},
            {"tipo;nombre;cuota\nespacio;a;-1\n", "column C (cuota): must be a number from 0"},
            {"tipo;nombre;cuota\nespacio;a;0x1\n", "not \"0x1\""},
            {"tipo;nombre;cuota\nespacio;a;1\nespacio;a;2\n", "\"a\" stands in row 2 already"},
            {"tipo;nombre;cuota\nclase;a;1\n", "column C (cuota): must be empty in a row of kind"},
            {"tipo;nombre\nclase;a\n", "row 2: needs the column deadline_s or plazo_s"},
            {"tipo;nombre;plazo_s\nclase;a;0\n", "must be a number from 0,1 to 86400"},
            {"tipo;nombre;idempotente\nmarca;a;quizás\n", "must be yes, sí or no, not \"quizás\""},
            {"tipo;nombre;exportado\nplanilla;;ayer\n", "must be a time with its zone"},
            {"tipo;nombre;exportado\nplanilla;;2026-13-03T06:00:00Z\n", "must be a time"},
            {"tipo;nombre\nespacio;\"a\n", "a quotation mark is not closed"},
            {"tipo;nombre\nespacio;\"a\nb\"\n", "must be one line without tabs"},
            {"tipo;nombre\nespacio;" + std::string(200, 'a') + "\n", "at most 128 bytes"},
            {std::string(9UL * 1024 * 1024, 'a'), "at most 8388608 are read"},
    };
    for (const Row &row : rows) {
        const auto sheet = readSheet(row.text, "sheet.csv");
        REQUIRE_FALSE(sheet);
        std::string texts;
        for (const SheetFault &fault : sheet.error())
            texts += fault.text() + "\n";
        CHECK_THAT(texts, Catch::Contains(row.fault));
    }
    SECTION("all at once")
    {
        const auto sheet = readSheet("tipo;nombre;cuota\nespacio;a;x\nespacio;;y\n", "sheet.csv");
        REQUIRE_FALSE(sheet);
        CHECK(sheet.error().size() == 3);
    }
}

TEST_CASE("No bytes harm the reader of sheets", "[State][SheetReader][Fuzz]")
{
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        std::string bytes = Utf8Sheet;
        for (int i = 0; i < 4; ++i) {
            const std::size_t at = random() % bytes.size();
            if (random() % 2 == 0)
                bytes[at] = static_cast<char>(random());
            else
                bytes.erase(at, random() % 8);
        }
        INFO("seed " << seed);
        const auto sheet = readSheet(bytes, "sheet.csv");
        REQUIRE((sheet || !sheet.error().empty()));
    }
}
