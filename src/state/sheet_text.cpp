#include "state/sheet_text.h"

#include "state/text_file.h"

#include <unicode/normalizer2.h>
#include <unicode/smpdtfmt.h>
#include <unicode/uchar.h>
#include <unicode/ucnv.h>
#include <unicode/unistr.h>

namespace dotterel {

namespace {

constexpr std::string_view Utf8ByteOrderMark = "\xEF\xBB\xBF";
constexpr const char *IsoTimePattern = "yyyy-MM-dd'T'HH:mm:ssXXX";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool hasUtf16ByteOrderMark(std::string_view bytes)
{
    return startsWith(bytes, "\xFF\xFE") || startsWith(bytes, "\xFE\xFF");
}

icu::UnicodeString decodeBytes(std::string_view bytes)
{
    const std::int32_t size = static_cast<std::int32_t>(bytes.size());
    if (isUtf8(bytes))
        return icu::UnicodeString::fromUTF8(icu::StringPiece(bytes.data(), size));
    return {bytes.data(), size, "windows-1252"};
}

icu::UnicodeString normalizeLineEnds(const icu::UnicodeString &text)
{
    icu::UnicodeString result(text);
    result.findAndReplace(u"\r\n", u"\n");
    result.findAndReplace(u"\r", u"\n");
    return result;
}

bool hasControlCharacter(const icu::UnicodeString &text)
{
    for (std::int32_t i = 0; i < text.length(); i = text.moveIndex32(i, 1)) {
        const UChar32 character = text.char32At(i);
        if (character != U'\n' && character != U'\t' && u_charType(character) == U_CONTROL_CHAR)
            return true;
    }
    return false;
}

icu::SimpleDateFormat isoFormat(UErrorCode &status)
{
    icu::SimpleDateFormat format(icu::UnicodeString(IsoTimePattern), icu::Locale::getRoot(),
                                 status);
    format.setLenient(false);
    format.setTimeZone(*icu::TimeZone::getGMT());
    return format;
}

} // namespace

tl::expected<std::string, std::string> decodeSheetText(std::string_view bytes)
{
    if (hasUtf16ByteOrderMark(bytes))
        return tl::unexpected(std::string("is UTF-16; save it as UTF-8 or Windows-1252"));
    if (startsWith(bytes, Utf8ByteOrderMark))
        bytes.remove_prefix(Utf8ByteOrderMark.size());
    UErrorCode status = U_ZERO_ERROR;
    const icu::Normalizer2 *normalizer = icu::Normalizer2::getNFCInstance(status);
    if (U_FAILURE(status))
        return tl::unexpected(std::string("cannot be normalized: ") + u_errorName(status));
    const icu::UnicodeString text =
            normalizer->normalize(normalizeLineEnds(decodeBytes(bytes)), status);
    if (U_FAILURE(status))
        return tl::unexpected(std::string("cannot be normalized: ") + u_errorName(status));
    if (hasControlCharacter(text))
        return tl::unexpected(
                std::string("has control characters; save it as CSV in UTF-8 or Windows-1252"));
    std::string utf8;
    text.toUTF8String(utf8);
    return utf8;
}

std::optional<WallMilliseconds> parseIsoTime(const std::string &text)
{
    UErrorCode status = U_ZERO_ERROR;
    const icu::SimpleDateFormat format = isoFormat(status);
    if (U_FAILURE(status))
        return std::nullopt;
    const icu::UnicodeString source = icu::UnicodeString::fromUTF8(text);
    icu::ParsePosition position(0);
    const UDate parsedTime = format.parse(source, position);
    const bool isComplete = position.getErrorIndex() < 0 && position.getIndex() == source.length();
    // The format also accepts years of fewer than four digits, which are typing errors.
    constexpr std::size_t MinTextLength = 20;
    if (!isComplete || text.size() < MinTextLength)
        return std::nullopt;
    return static_cast<WallMilliseconds>(parsedTime);
}

std::string formatIsoTime(WallMilliseconds time)
{
    UErrorCode status = U_ZERO_ERROR;
    const icu::SimpleDateFormat format = isoFormat(status);
    icu::UnicodeString result;
    std::string text;
    if (U_SUCCESS(status))
        format.format(static_cast<UDate>(time), result).toUTF8String(text);
    return text;
}

} // namespace dotterel
