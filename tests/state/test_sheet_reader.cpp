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

std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t position = text.find(from); position != std::string::npos;
         position = text.find(from, position + to.size()))
        text.replace(position, from.size(), to);
    return text;
}

void checkSheetContent(const tl::expected<Sheet, std::vector<SheetError>> &sheet)
{
    if (!sheet)
        FAIL(sheet.error().front().text());
    CHECK(sheet->exportedAt == parseIsoTime("2026-12-03T09:00:00Z"));
    REQUIRE(sheet->workspaces.size() == 1);
    CHECK(sheet->workspaces[0].name == "Paysandú");
    CHECK(sheet->workspaces[0].share == 2.5);
    REQUIRE(sheet->requestClasses.size() == 2);
    CHECK(sheet->requestClasses[0].deadline == std::chrono::milliseconds(500));
    REQUIRE(sheet->idempotencyMarks.size() == 1);
    CHECK_FALSE(sheet->idempotencyMarks[0].idempotent);
}

} // namespace

TEST_CASE("Exported sheets are read in all supported formats", "[State][SheetReader]")
{
    SECTION("UTF-8 with and without a byte-order mark")
    {
        checkSheetContent(readSheet(Utf8Sheet, "sheet.csv"));
        checkSheetContent(readSheet("\xEF\xBB\xBF" + Utf8Sheet, "sheet.csv"));
    }
    SECTION("Windows-1252")
    {
        checkSheetContent(readSheet(replaceAll(Utf8Sheet, "ú", "\xFA"), "sheet.csv"));
    }
    SECTION("a decomposed accent is normalized to the same name")
    {
        checkSheetContent(readSheet(replaceAll(Utf8Sheet, "ú", "u\xCC\x81"), "sheet.csv"));
    }
    SECTION("line feeds only, blank rows and quoted cells")
    {
        std::string text = replaceAll(Utf8Sheet, "\r\n", "\n") + "\n;;;;;\n";
        checkSheetContent(readSheet(replaceAll(text, "Paysandú", "\"Paysandú\""), "sheet.csv"));
    }
    SECTION("comma as delimiter, a quoted decimal comma and English names")
    {
        std::string text = replaceAll(replaceAll(Utf8Sheet, "2,5", "\"2,5\""), "0,5", "0.5");
        text = replaceAll(text, ";", ",");
        text = replaceAll(text, "tipo,nombre,cuota,plazo_s,idempotente,exportado",
                          "Kind,NAME,share,deadline_s,idempotent,exported");
        checkSheetContent(readSheet(replaceAll(text, "espacio", "workspace"), "sheet.csv"));
    }
}

TEST_CASE("Errors in a sheet are reported with row and column", "[State][SheetReader]")
{
    struct ErrorCase
    {
        std::string text;
        std::string expectedError; ///< Expected part of the message.
    };
    const std::string columns = "columns are kind or tipo, name or nombre";
    const std::vector<ErrorCase> errorCases = {
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
            {"tipo;nombre;cuota\nespacio;a;1\nespacio;a;2\n", "\"a\" is already defined (row 2)"},
            {"tipo;nombre;cuota\nclase;a;1\n", "column C (cuota): must be empty in a row of kind"},
            {"tipo;nombre\nclase;a\n", "row 2: needs the column deadline_s or plazo_s"},
            {"tipo;nombre;plazo_s\nclase;a;0\n", "must be a number from 0,1 to 86400"},
            {"tipo;nombre;idempotente\nmarca;a;quizás\n", "must be yes, sí or no, not \"quizás\""},
            {"tipo;nombre;exportado\nplanilla;;ayer\n", "must be a time with a time zone"},
            {"tipo;nombre;exportado\nplanilla;;2026-13-03T06:00:00Z\n", "must be a time"},
            {"tipo;nombre\nespacio;\"a\n", "a quotation mark is not closed"},
            {"tipo;nombre\nespacio;\"a\nb\"\n", "must be one line without tabs"},
            {"tipo;nombre\nespacio;" + std::string(200, 'a') + "\n", "at most 128 bytes"},
            {std::string(9UL * 1024 * 1024, 'a'), "at most 8388608 are allowed"},
    };
    for (const ErrorCase &errorCase : errorCases) {
        const auto sheet = readSheet(errorCase.text, "sheet.csv");
        REQUIRE_FALSE(sheet);
        std::string messages;
        for (const SheetError &error : sheet.error())
            messages += error.text() + "\n";
        CHECK_THAT(messages, Catch::Contains(errorCase.expectedError));
    }
    SECTION("all errors are reported at once")
    {
        const auto sheet = readSheet("tipo;nombre;cuota\nespacio;a;x\nespacio;;y\n", "sheet.csv");
        REQUIRE_FALSE(sheet);
        CHECK(sheet.error().size() == 3);
    }
}

TEST_CASE("The sheet reader handles damaged input", "[State][SheetReader][Fuzz]")
{
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        std::string bytes = Utf8Sheet;
        for (int i = 0; i < 4; ++i) {
            const std::size_t position = random() % bytes.size();
            if (random() % 2 == 0)
                bytes[position] = static_cast<char>(random());
            else
                bytes.erase(position, random() % 8);
        }
        INFO("seed " << seed);
        const auto sheet = readSheet(bytes, "sheet.csv");
        REQUIRE((sheet || !sheet.error().empty()));
    }
}
