#include "state/text_file.h"

#include <fstream>
#include <unicode/ustring.h>

namespace dotterel {

tl::expected<std::string, std::string> readTextFile(const std::string &path, std::size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::unexpected(std::string("cannot be opened"));
    // Reads one byte more than allowed in order to detect a file that is too long.
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof()))
        return tl::unexpected(std::string("cannot be read"));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxBytes)
        return tl::unexpected("is too long; at most " + std::to_string(maxBytes)
                              + " bytes are allowed");
    if (text.empty())
        return tl::unexpected(std::string("is empty"));
    return text;
}

bool isUtf8(std::string_view bytes)
{
    UErrorCode status = U_ZERO_ERROR;
    std::int32_t length = 0;
    u_strFromUTF8(nullptr, 0, &length, bytes.data(), static_cast<std::int32_t>(bytes.size()),
                  &status);
    return U_SUCCESS(status) || status == U_BUFFER_OVERFLOW_ERROR;
}

} // namespace dotterel
