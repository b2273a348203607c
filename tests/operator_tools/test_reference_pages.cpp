#include "operator_tools/reference_pages.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace dotterel;

TEST_CASE("The pages say what the code says", "[OperatorTools][ReferencePages]")
{
    for (const ReferencePage &page : referencePages()) {
        INFO("docs/" << page.file << " is out of date; run scripts/pages");
        std::ifstream file(std::string(DOTTEREL_SOURCE_DIR) + "/docs/" + std::string(page.file));
        std::ostringstream text;
        text << file.rdbuf();
        const std::string marked = "<!-- begin " + std::string(page.option) + " -->\n\n"
                                   + page.text() + "\n<!-- end " + std::string(page.option)
                                   + " -->\n";
        CHECK(text.str().find(marked) != std::string::npos);
    }
}
